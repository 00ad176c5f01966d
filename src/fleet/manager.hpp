// Carries out the operations that this entry owns.
#pragma once

#include "fleet/step.hpp"
#include "fleet/wave.hpp"
#include "ports/timer.hpp"

#include <memory>
#include <optional>

namespace hibiscusbridge
{

/// What the manager reads and calls.
struct FleetPorts {
    TablePort table;
    VmPort vms;
    TimerPort timers;
    Clock clock;
    std::function<const View &()> view;
    /// Age of the view on the boot clock, from the moment its read request was sent.
    std::function<Millis()> viewAge;
    std::function<FleetHealth()> health;
    std::function<Confirmations(const VmRow &)> confirmations;
    /// Ids of the members heard now, this entry included.
    std::function<std::vector<std::string>()> liveMembers;
};

/// Every second performs the next step of each operation that rendezvous hashing gives to this entry. Two managers that
/// act on one VM are harmless: preconditions let one commit pass, and a reboot is sent only for a VM that is out.
class FleetManager
{
public:
    FleetManager(std::string id, FleetPorts ports);

    void start();
    /// Why the VM does not move on, from the last pass; empty when unknown.
    std::string waitReason(std::string_view vm) const;

private:
    /// A commit whose effect the view does not show yet.
    struct Pending {
        /// Version that the view has to reach; 0 while unknown.
        std::uint64_t version = 0;
        /// Boot clock; afterwards the step is tried again, guarded by its preconditions.
        Millis until;
    };

    void tick();
    void updatePlatformList();
    /// True when this entry owns a VM whose next step depends on the platform's list.
    bool needsPlatformList() const;
    void act();
    void stepVms(const FleetInput &input);
    void reconcileVm(const FleetInput &input, const VmRow &vm);
    void startOne(const FleetInput &input, const OperationStart &start);
    /// Drains VMs that the platform's list shows as leaving.
    void drainLeaving(const FleetInput &input);
    void refillPools(const FleetInput &input);
    void stepWaves(const FleetInput &input);
    void startWavePlan(const FleetInput &input, const Wave &wave, const WavePlan &plan);
    void finishWave(const FleetInput &input, const Wave &wave);
    void commit(const std::string &subject, Transaction transaction);
    void reboot(const std::string &vm);
    bool owns(std::string_view subject) const;
    bool isPending(const std::string &subject);

    std::string m_id;
    FleetPorts m_ports;
    /// Empty while no owned VM needs it.
    std::vector<PlatformVm> m_platform;
    /// Boot clock of the last request for the list.
    std::optional<Millis> m_listedAt;
    std::vector<std::string> m_members;
    std::map<std::string, Pending, std::less<>> m_pending;
    std::map<std::string, Millis, std::less<>> m_rebootSentAt;
    std::map<std::string, std::string, std::less<>> m_reasons;
    /// Callbacks hold it weakly, so that they do nothing after destruction.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
