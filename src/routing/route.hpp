// Which VMs may receive a request of a service.
#pragma once

#include "model/view.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

struct Route {
    /// Empty when the document does not define the service.
    std::string pool;
    Millis deadline;
    /// Active VMs of the pool; the pointers are valid until the view changes.
    std::vector<const VmRow *> vms;
};

/// Looks the service up in the view's document and lists the VMs of its pool that receive new work.
Route routeService(const View &view, std::string_view service);

/// True when new work may be sent to the VM for the pool.
bool receivesWork(const View &view, std::string_view vm, std::string_view pool);

} // namespace hibiscusbridge
