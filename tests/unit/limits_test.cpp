// No VM may get more requests than it has slots, and one pool's load must not reach another pool.
#include "limits_cluster.hpp"

#include <catch2/catch.hpp>
#include <cstdio>

using namespace hibiscusbridge;

constexpr LimitsSettings small{
    .longestDeadline = {400}, .leaseExtra = {200}, .leaseMargin = {100}, .viewSpread = {300}, .longestHold = {200}, .queueLength = 16};
/// Longer than the wait of a new entry for its share.
constexpr int startWait = 1500;

static LimitsCluster::Node &started(LimitsCluster &cluster, int entries)
{
    for (int i = 0; i < entries; ++i) {
        cluster.addNode("e" + std::to_string(i), 1);
    }
    cluster.advance(startWait);
    return *cluster.nodes.front();
}

TEST_CASE("shares sum to the limit, are even over a pool, and few move when a member leaves", "[limits]")
{
    for (const std::size_t n : {1U, 2U, 3U, 8U, 9U, 12U}) {
        std::vector<std::string> members;
        for (std::size_t i = 0; i < n; ++i) {
            members.push_back("entry" + std::to_string(i));
        }
        auto fewer = members;
        fewer.erase(fewer.begin() + static_cast<std::ptrdiff_t>(n / 2));
        std::map<std::string, std::uint32_t> perEntry;
        std::uint32_t gained = 0;
        for (int vm = 0; vm < 40; ++vm) {
            const auto id = "vm" + std::to_string(vm);
            std::uint32_t sum = 0;
            for (const auto &member : members) {
                std::uint32_t owned = 0;
                for (std::uint32_t slot = 0; slot < 8; ++slot) {
                    owned += members[slotOwner(id, slot, members)] == member ? 1 : 0;
                }
                const auto share = slotShare(id, 8, members, member);
                CHECK(share == owned);
                CHECK(share <= (8 + n - 1) / n);
                CHECK(share >= 8 / n);
                sum += share;
                perEntry[member] += share;
                const auto next = fewer.empty() ? 0 : slotShare(id, 8, fewer, member);
                gained += next > share ? next - share : 0;
            }
            CHECK(sum == 8);
        }
        for (const auto &[member, slots] : perEntry) {
            CHECK(std::abs(static_cast<double>(slots) - 320.0 / static_cast<double>(n)) < 16.0);
        }
        // Only the slots of the member that left may get a new owner; with n = 1 nobody is left to gain.
        CHECK(gained == (n == 1 ? 0 : perEntry["entry" + std::to_string(n / 2)]));
    }
}

/// One random schedule; returns the number of sends over a limit. `borrowed` adds up leases that were used.
static int runSchedule(unsigned seed, std::uint64_t &borrowed, std::uint64_t &startedRequests)
{
    LimitsCluster cluster(seed, small);
    cluster.addVm("vm0", "p", 8);
    cluster.addVm("vm1", "p", static_cast<std::uint32_t>(cluster.roll(2, 8)));
    started(cluster, 3 + static_cast<int>(seed % 3));
    cluster.lossPercent = cluster.roll(0, 30);
    cluster.duplicatePercent = cluster.roll(0, 30);
    cluster.latePercent = cluster.roll(0, 20);
    std::uint64_t incarnation = 2;
    std::size_t hot = 0;
    for (int step = 0; step < 1000; ++step) {
        if (cluster.roll(0, 39) == 0) {
            hot = static_cast<std::size_t>(cluster.roll(0, static_cast<int>(cluster.nodes.size()) - 1));
        }
        for (std::size_t i = 0; i < cluster.nodes.size(); ++i) {
            auto &node = *cluster.nodes[i];
            if (!node.isAlive || node.isPaused) {
                continue;
            }
            if (cluster.roll(0, 9) == 0) {
                cluster.read(node);
            }
            const int requests = i == hot ? cluster.roll(0, 3) : (cluster.roll(0, 9) == 0 ? 1 : 0);
            for (int r = 0; r < requests; ++r) {
                const Millis service{cluster.roll(0, 3) == 0 ? 1000 : cluster.roll(1, 60)};
                cluster.request(node, "p", {cluster.roll(50, 390)}, service);
            }
        }
        auto &victim = *cluster.nodes[static_cast<std::size_t>(cluster.roll(0, static_cast<int>(cluster.nodes.size()) - 1))];
        const int fault = cluster.roll(0, 299);
        auto &members = cluster.view.members.members;
        const auto isVictim = [&](const Member &member) {
            return member.id == victim.id && member.incarnation == victim.incarnation;
        };
        if (fault < 2 && victim.isAlive) {
            victim.isPaused = true;
            cluster.loop.timers().after({cluster.roll(10, 2000)}, [&cluster, &victim] { cluster.resume(victim); });
        } else if (fault == 2 && victim.isAlive && members.size() > 2) {
            victim.isAlive = cluster.roll(0, 1) == 0; // Otherwise the entry dies and is removed at once.
            std::erase_if(members, isVictim);
            ++cluster.view.version;
        } else if (fault == 3 && members.size() < 6) {
            cluster.addNode(victim.isAlive ? "n" + std::to_string(step) : victim.id, incarnation++);
        } else if (fault == 4) {
            cluster.setSlots("vm1", static_cast<std::uint32_t>(cluster.roll(1, 8)));
        }
        cluster.loop.advance({5});
    }
    for (const auto &node : cluster.nodes) {
        borrowed += node->manager->counters().leasesBorrowed;
        startedRequests += node->manager->counters().started;
    }
    return cluster.overLimit;
}

TEST_CASE("no schedule of faults puts more requests on a VM than it has slots", "[limits]")
{
    constexpr unsigned cases = 300;
    std::uint64_t borrowed = 0;
    std::uint64_t requests = 0;
    int failed = 0;
    for (unsigned seed = 1; seed <= cases; ++seed) {
        const auto over = runSchedule(seed, borrowed, requests);
        if (over > 0) {
            ++failed;
            std::printf("limits: seed %u sent %d requests over the limit\n", seed, over);
        }
    }
    std::printf("limits: %u schedules, %llu requests started, %llu leases borrowed, %d schedules failed\n",
                cases,
                static_cast<unsigned long long>(requests),
                static_cast<unsigned long long>(borrowed),
                failed);
    CHECK(failed == 0);
    CHECK(borrowed > cases); // Without lending the schedules would prove nothing about leases.
}
