// Routing of a service to the VMs of its pool.
#include "routing/route.hpp"

namespace hibiscusbridge
{

Route routeService(const View &view, std::string_view service)
{
    Route route;
    const auto it = view.document.services.find(service);
    if (it == view.document.services.end()) {
        return route;
    }
    route.pool = it->second.pool;
    route.deadline = it->second.deadline;
    for (const auto &[id, vm] : view.vms) {
        if (vm.pool == route.pool && vm.state == VmState::Active) {
            route.vms.push_back(&vm);
        }
    }
    return route;
}

bool receivesWork(const View &view, std::string_view vm, std::string_view pool)
{
    const auto it = view.vms.find(vm);
    return it != view.vms.end() && it->second.pool == pool && it->second.state == VmState::Active;
}

} // namespace hibiscusbridge
