// Entries with real slot managers on a manual clock, with faults of messages, clocks and processes.
#pragma once

#include "fakes/fakeloop.hpp"
#include "limits/slotmanager.hpp"

#include <algorithm>
#include <random>

namespace hibiscusbridge
{

struct LimitsCluster {
    struct Node {
        std::string id;
        std::uint64_t incarnation = 1;
        std::unique_ptr<SlotManager> manager;
        bool isAlive = true;
        bool isPaused = false;
        std::uint64_t viewVersion = 0;
        Millis readAt;
        /// Difference of the clock's rate from real time, in parts per 1000.
        std::int64_t drift = 0;
        Millis offset;
        std::vector<std::function<void()>> deferred;
    };

    explicit LimitsCluster(unsigned seed, LimitsSettings limits)
        : random(seed)
        , settings(limits)
    {
    }

    int roll(int from, int to)
    {
        return std::uniform_int_distribution<int>(from, to)(random);
    }

    void addVm(const std::string &id, const std::string &pool, std::uint32_t slots)
    {
        view.vms[id] = {.id = id, .pool = pool, .slots = slots};
        ++view.version;
    }

    Node &addNode(const std::string &id, std::uint64_t incarnation)
    {
        auto &node = *nodes.emplace_back(std::make_unique<Node>());
        node.id = id;
        node.incarnation = incarnation;
        node.drift = roll(-1, 1);
        node.offset = {roll(0, 1'000'000)};
        auto *self = &node;
        const auto boot = [this, self] {
            return Millis{loop.now().count + loop.now().count * self->drift / 1000 + self->offset.count};
        };
        const auto after = [this, self](Millis delay, std::function<void()> fn) {
            loop.timers().after(delay, [this, self, fn] { run(*self, fn); });
        };
        const auto send = [this, self](const std::string &address, const wire::Envelope &message) {
            if (self->isAlive) {
                transmit(address, message);
            }
        };
        const auto mayServe = [this, self, boot] {
            return boot() - self->readAt < settings.viewSpread;
        };
        node.manager = std::make_unique<SlotManager>(id, incarnation, SlotManagerPorts{{boot, boot}, {after}, {send}, mayServe}, settings);
        view.members.members.push_back({id, incarnation, id + '/' + std::to_string(incarnation), "z"});
        ++view.version;
        return node;
    }

    /// Runs `fn` in the node's process: now, after its pause, or never when it is dead.
    void run(Node &node, std::function<void()> fn)
    {
        if (node.isAlive && node.isPaused) {
            node.deferred.push_back(std::move(fn));
        } else if (node.isAlive) {
            fn();
        }
    }

    void resume(Node &node)
    {
        node.isPaused = false;
        for (auto &fn : std::exchange(node.deferred, {})) {
            fn();
        }
    }

    void transmit(const std::string &address, const wire::Envelope &message)
    {
        last = message;
        const int copies = roll(0, 99) < lossPercent ? 0 : (roll(0, 99) < duplicatePercent ? 2 : 1);
        for (int i = 0; i < copies; ++i) {
            const Millis delay{roll(0, 99) < latePercent ? roll(5, 3000) : roll(0, 3)};
            loop.timers().after(delay, [this, address, message] {
                for (auto &node : nodes) {
                    if (node->id + '/' + std::to_string(node->incarnation) == address) {
                        run(*node, [target = node.get(), message] { target->manager->receive(message); });
                    }
                }
            });
        }
    }

    void read(Node &node)
    {
        run(node, [this, &node] {
            node.readAt = clockOf(node);
            if (node.viewVersion < view.version) {
                node.viewVersion = view.version;
                node.manager->applyView(view);
            }
        });
    }

    Millis clockOf(const Node &node) const
    {
        return {loop.now().count + loop.now().count * node.drift / 1000 + node.offset.count};
    }

    /// Counts the request at its VM from the callback to its end, which is at most 50 ms after its deadline, or with
    /// `runsOn` at most the longest hold later.
    void request(Node &node, const std::string &pool, Millis deadlineIn, Millis service)
    {
        SlotDemand demand{"s", pool, {}, clockOf(node) + deadlineIn};
        for (const auto &[id, vm] : view.vms) {
            if (vm.pool == pool) {
                demand.candidates.push_back(id);
            }
        }
        std::shuffle(demand.candidates.begin(), demand.candidates.end(), random);
        const auto latest = demand.deadline;
        node.manager->acquire(demand, [this, &node, latest, service](absl::StatusOr<SlotLease> lease) {
            ++answers[lease.status().code()];
            if (!lease.ok()) {
                return;
            }
            auto &count = inFlight[lease->vm];
            ++count;
            overLimit += count > allowed(lease->vm) ? 1 : 0;
            const auto busy = std::min(service, latest + Millis{50} - clockOf(node));
            const auto isLate = busy < service;
            loop.timers().after(runsOn ? std::min(service, busy + settings.longestHold) : busy, [this, vm = lease->vm] { --inFlight[vm]; });
            loop.timers().after(busy, [this, &node, held = SlotLease{lease->vm, lease->id, isLate}, busy] {
                run(node, [&node, held, busy] { node.manager->release(held, busy); });
            });
        });
    }

    std::uint32_t allowed(const std::string &vm) const
    {
        const auto it = reducing.find(vm);
        const auto slots = view.vms.at(vm).slots;
        return it != reducing.end() && it->second.second > loop.now() ? std::max(slots, it->second.first) : slots;
    }

    /// A reduction counts once the requests of the former limit have ended.
    void setSlots(const std::string &vm, std::uint32_t slots)
    {
        const auto until = loop.now() + settings.viewSpread + settings.longestDeadline + settings.leaseExtra + settings.longestHold
                           + settings.leaseMargin * 2;
        reducing[vm] = {allowed(vm), until};
        view.vms.at(vm).slots = slots;
        ++view.version;
    }

    void readAll()
    {
        for (auto &node : nodes) {
            read(*node);
        }
    }

    /// Advances in steps of 10 ms with a read of the view by every node in each.
    void advance(int millis)
    {
        for (int i = 0; i < millis; i += 10) {
            readAll();
            loop.advance({10});
        }
    }

    FakeLoop loop;
    std::mt19937 random;
    LimitsSettings settings;
    View view;
    std::vector<std::unique_ptr<Node>> nodes;
    std::map<std::string, std::uint32_t> inFlight;
    std::map<std::string, std::pair<std::uint32_t, Millis>> reducing;
    std::map<absl::StatusCode, int> answers;
    /// VMs go on with a request after its deadline.
    bool runsOn = false;
    int lossPercent = 0;
    int duplicatePercent = 0;
    int latePercent = 0;
    int overLimit = 0;
    /// The last message that any entry sent, lost ones included.
    wire::Envelope last;
};

} // namespace hibiscusbridge
