// Interface of the platform's VM inventory and VM actions.
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

/// An item of the platform's VM list, which lags behind the actual state by seconds.
struct PlatformVm {
    std::string id;
    PlatformVmState state = PlatformVmState::Live;
    /// Incremented by each reboot or replacement.
    std::uint64_t bootCount = 0;
};

/// `reboot` succeeds once the platform has accepted the action; the VM is then down for a while.
struct VmPort {
    std::function<void(std::function<void(absl::StatusOr<std::vector<PlatformVm>>)>)> list;
    std::function<void(const std::string &id, std::function<void(absl::Status)>)> reboot;
};

} // namespace hibiscusbridge
