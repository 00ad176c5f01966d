// The platform's list of VMs and its actions on them.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

enum class PlatformVmState {
    Live,
    Leaving,
};

/// A line of the platform's list, which lags behind the VMs by seconds.
struct PlatformVm {
    std::string id;
    PlatformVmState state = PlatformVmState::Live;
    /// Grows by one with each reboot or replacement.
    std::uint64_t bootCount = 0;
};

/// `reboot` succeeds when the platform has accepted the action; the VM is down for a while after it.
struct VmPort {
    std::function<void(std::function<void(absl::StatusOr<std::vector<PlatformVm>>)>)> list;
    std::function<void(const std::string &id, std::function<void(absl::Status)>)> reboot;
};

} // namespace hibiscusbridge
