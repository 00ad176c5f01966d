// The division of a fleet into cells.
#include "model/cells.hpp"

#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"
#include "fakes/fakeworkers.hpp"
#include "node/shardhost.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

TEST_CASE("small fleets and small pools are not divided")
{
    CHECK(cellsFor(49, 4).count == 1);
    CHECK(cellsFor(95, 4).count == 1);
    CHECK(cellsFor(350, 4).count == 2);
    CHECK(cellsFor(540, 4).count == 3);
    // 153 pools of three or four VMs each.
    CHECK(cellsFor(510, 153).count == 1);
    CHECK(cellsFor(0, 0).count == 1);
    CHECK(cellsFor(100'000, 1).count == 8);
}

TEST_CASE("every id belongs to one cell, and the cells are about equally large")
{
    const Cells cells{3};
    int sizes[3] = {};
    for (int i = 0; i < 3'000; ++i) {
        ++sizes[cellOf(cells, "m-" + std::to_string(i))];
    }
    for (const int it : sizes) {
        CHECK(it > 900);
        CHECK(it < 1'100);
    }
    CHECK(shardName(cells, "pool", 2) == "pool/2");
    CHECK(shardName({1}, "pool", 0) == "pool");
}

namespace
{

/// Entries that only hold shards, with a VM list that may fail.
struct Hosts {
    FakeLoop loop;
    FakeStore store{loop};
    FakeWorkers workers{loop};
    std::size_t vms = 0;
    bool listed = true;
    std::map<std::string, std::unique_ptr<ShardHost>> hosts;

    void start(const std::string &name)
    {
        EntrySettings settings{.name = name};
        settings.peerAddress = name;
        ShardHost::Ports ports{.store = store.port(name),
                               .workers = workers.port(name),
                               .timers = loop.timers(),
                               .clock = loop.clock(),
                               .workerTable = "servers"};
        ports.vms.list = [this](Millis, std::function<void(VmListResult)> done) {
            VmListResult result{.answered = listed};
            for (std::size_t i = 0; listed && i < vms; ++i) {
                result.vms.push_back({.vm = "m" + std::to_string(i), .pool = "spare", .state = VmState::Up});
            }
            loop.post([done = std::move(done), result = std::move(result)] { done(result); });
        };
        ports.vms.move = [this](const std::string &,
                                const std::string &,
                                const VmActionHolder &,
                                Millis,
                                const std::function<bool()> &,
                                std::function<void(VmActionOutcome)> done) {
            loop.post([done = std::move(done)] { done(VmActionOutcome::Refused); });
        };
        ports.decodeWorker = [](const Row &) {
            return std::nullopt;
        };
        ports.requestPeerReport = [](const std::string &,
                                     const std::string &,
                                     const std::set<std::string> &,
                                     const std::function<void(std::optional<PoolReport>)> &done) {
            done(std::nullopt);
        };
        Configuration configuration{.version = 1, .queues = {{.name = "r", .host = "h", .pathPrefix = "/", .pool = "pool"}}};
        configuration.pools = {{.name = "pool"}, {.name = "spare", .standby = true}};
        auto &host = hosts[name];
        host = std::make_unique<ShardHost>(settings, std::move(ports));
        host->setConfiguration(configuration);
        host->start();
    }
};

} // namespace

TEST_CASE("all entries use the division that the first fleet owner stored, whatever the fleet's size later")
{
    Hosts fleet;
    fleet.vms = 85;
    fleet.start("e0");
    fleet.start("e1");
    fleet.loop.advance({3'000});
    CHECK(fleet.hosts["e0"]->cells().count == 2);
    CHECK(fleet.hosts["e1"]->cells().count == 2);
    fleet.vms = 400;
    fleet.hosts.clear();
    fleet.store.discardHistory();
    fleet.start("e2");
    fleet.loop.advance({6'000});
    CHECK(fleet.hosts["e2"]->cells().count == 2);
    CHECK(fleet.hosts["e2"]->leases().held() == std::set<std::string>{"pool/0", "pool/1", "~fleet"});
}

TEST_CASE("a new fleet whose VMs can't be listed is not divided")
{
    Hosts fleet;
    fleet.listed = false;
    fleet.start("e0");
    fleet.loop.advance({2'000});
    CHECK(fleet.hosts["e0"]->cells().count == 0);
    fleet.loop.advance({4'000});
    CHECK(fleet.hosts["e0"]->cells().count == 1);
    CHECK(fleet.hosts["e0"]->leases().held().contains("pool"));
}

TEST_CASE("a configuration never reverts to an older version")
{
    Hosts fleet;
    fleet.start("e0");
    auto &host = *fleet.hosts["e0"];
    host.setConfiguration({.version = 7, .pools = {{.name = "spare"}}});
    host.setConfiguration({.version = 3, .queues = {{.name = "r", .host = "h", .pathPrefix = "/", .pool = "pool"}}});
    CHECK(host.configuration()->version == 7);
    CHECK(host.configuration()->queues.empty());
}
