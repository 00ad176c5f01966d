// A small fleet with two managers on a faulty table; checks the invariants after every commit.
#include "fleet_world.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <spdlog/fmt/fmt.h>

namespace hibiscusbridge
{

Entry::Entry(World &owner, std::string name)
    : world(owner)
    , id(std::move(name))
{
    manager = std::make_unique<FleetManager>(id, ports());
    manager->start();
    poll();
}

void Entry::run(const std::function<void()> &fn)
{
    if (paused) {
        deferred.push_back(fn);
    } else if (!dead) {
        fn();
    }
}

void Entry::poll()
{
    const auto sentAt = world.loop.now();
    if (world.readFaults > 0) {
        --world.readFaults;
        world.table.faults.push_front(world.test.tableFault);
    }
    world.table.port().read({"view/", view.version}, [this, sentAt](absl::StatusOr<ReadResult> result) {
        run([this, sentAt, result] {
            if (!result.ok() || result->version < view.version) {
                return;
            }
            const auto held = view.documentVersion;
            applyRows(view, result->version, result->rows);
            if (view.documentVersion != held) {
                view.document = world.documents[view.documentVersion];
            }
            readAt = sentAt;
        });
    });
    world.loop.timers().after({1'000}, [this] { run([this] { poll(); }); });
}

FleetPorts Entry::ports()
{
    FleetPorts ports;
    ports.table.commit = [this](Transaction transaction, TablePort::CommitCallback callback) {
        world.onManagerCommit(*this);
        world.table.port().commit(std::move(transaction), [this, callback](const absl::StatusOr<std::uint64_t> &version) {
            run([callback, version] { callback(version); });
        });
    };
    ports.timers.after = [this](Millis delay, std::function<void()> fn) {
        world.loop.timers().after(delay, [this, fn] { run(fn); });
    };
    ports.vms.list = [this](const auto &callback) {
        std::vector<PlatformVm> list;
        for (const auto &[vm, state] : world.platform) {
            if (world.loop.now() >= state.downUntil) {
                list.push_back({.id = vm, .bootCount = state.boots});
            }
        }
        callback(list);
    };
    ports.vms.reboot = [this](const std::string &vm, const auto &callback) {
        world.reboot(vm);
        callback(absl::OkStatus());
    };
    ports.clock = world.loop.clock();
    ports.view = [this]() -> const View & {
        return view;
    };
    ports.viewAge = [this] {
        return world.loop.now() - readAt;
    };
    ports.health = [this] {
        return world.health;
    };
    ports.confirmations = [this](const VmRow &vm) {
        // Confirmations concern one version of the row, whenever it was written.
        const auto age = world.loop.now() - world.committedAt[vm.version];
        return Confirmations{.announcement = age >= announceTime, .drain = age >= drainTime, .waitingFor = "e9"};
    };
    ports.liveMembers = [this] {
        std::vector<std::string> live{id};
        for (const auto &entry : world.entries) {
            if (!world.test.race && !entry.dead && !entry.paused && entry.id != id) {
                live.push_back(entry.id);
            }
        }
        return live;
    };
    return ports;
}

static Document smallDocument()
{
    Document document;
    document.weights = {.bufferCost = 1, .rollOutTime = 4, .moves = 1};
    for (const std::string pool : {"a", "b"}) {
        document.pools[pool] = {.name = pool, .minHealthy = 2, .mayLose = 1};
        for (const std::string n : {"1", "2", "3"}) {
            const auto id = fmt::format("{}{}", pool, n);
            document.vms[id] = {.id = id, .pool = pool, .zone = "z" + n, .rack = "r" + n};
        }
    }
    document.pools["s"] = {.name = "s", .mayLose = 1, .spare = true};
    document.vms["s1"] = {.id = "s1", .pool = "s", .zone = "z4", .rack = "r4"};
    return document;
}

World::World(Case testCase)
    : test(std::move(testCase))
{
    declare(smallDocument());
    for (const auto &[id, vm] : smallDocument().vms) {
        platform[id] = {};
        table.put(
            fmt::format("view/vm/{}", id),
            encodeVm({.id = id, .pool = vm.pool, .zone = vm.zone, .rack = vm.rack, .slots = vm.slots, .connections = vm.connections}));
    }
    before = vms();
    table.onCommit = [this] {
        check();
    };
    startOperation();
    entries.emplace_back(*this, "e1");
    entries.emplace_back(*this, "e2");
}

void World::declare(const Document &document)
{
    table.put(std::string(documentVersionKey), "{}");
    documents[table.version()] = document;
}

void World::startOperation()
{
    auto document = smallDocument();
    if (test.operation == "drain") {
        document.vms.erase("a1");
        declare(document);
    } else if (test.operation == "move") {
        document.vms["a1"].pool = std::string("b");
        declare(document);
    } else if (test.operation == "repair") {
        health.failed.insert("a1");
    } else if (test.operation == "reboot") {
        View view;
        applyRows(view, table.version(), table.rows("view/"));
        view.document = document;
        const OperationStart start{"a1", {.kind = OperationKind::Reboot, .reason = "operator"}};
        const auto transaction = startOperations({view, health, {}, "operator", loop.now()}, std::span(&start, 1));
        REQUIRE(transaction.ok());
        table.port().commit(*transaction, [](const auto &) {});
    } else {
        table.put("view/wave/w1", encodeWave({.id = "w1", .pools = {"a"}, .startedAt = loop.now()}));
        table.put("view/wave/w2", encodeWave({.id = "w2", .pools = {"a", "b"}, .startedAt = loop.now()}));
    }
}

void World::onManagerCommit(Entry &entry)
{
    const auto n = managerCommits++;
    if (test.fault == Fault::Commit && n >= test.step && n < test.step + test.times) {
        table.faults.push_front(test.tableFault);
    }
    if (n != test.step) {
        return;
    }
    if (test.fault == Fault::Read) {
        readFaults = test.times;
    } else if (test.fault == Fault::VmFails) {
        health.failed.insert("b2");
    } else if (test.fault == Fault::Dies) {
        entry.dead = true;
        loop.timers().after({0}, [&entry] { entry.manager.reset(); });
    } else if (test.fault == Fault::Pauses) {
        entry.paused = true;
        loop.timers().after({30'000}, [&entry] {
            entry.paused = false;
            for (const auto &fn : std::exchange(entry.deferred, {})) {
                fn();
            }
        });
    }
}

void World::checkReboot(const std::string &vm)
{
    const auto rows = vms();
    const auto it = rows.find(vm);
    const bool out = it != rows.end() && (it->second.state == VmState::Rebooting || it->second.state == VmState::Verifying);
    if (!out) {
        violations.insert("reboot of a VM that is not drained");
    }
}

void World::reboot(const std::string &vm)
{
    const auto deliver = [this, vm] {
        checkReboot(vm);
        ++platform[vm].boots;
        platform[vm].downUntil = loop.now() + Millis{5'000};
        health.failed.erase(vm);
    };
    // A process that is suspended between its check of the view and the send.
    loop.timers().after(test.fault == Fault::LateReboot ? Millis{4'000} : Millis{5}, deliver);
}

std::map<std::string, VmRow> World::vms() const
{
    std::map<std::string, VmRow> out;
    for (const auto &row : table.rows("view/vm/")) {
        const auto id = row.key.substr(vmPrefix.size());
        const auto held = before.find(id);
        const bool isSame = held != before.end() && held->second.version == row.version;
        auto &vm = out[id] = isSame ? held->second : *parseVm(*row.value);
        vm.version = row.version;
    }
    return out;
}

void World::check()
{
    const auto rows = vms();
    committedAt[table.version()] = loop.now();
    std::map<std::string, std::set<std::string>> out;
    std::map<std::string, unsigned> healthy;
    std::map<std::string, unsigned> inbound;
    std::set<std::string> grew;
    unsigned spares = 0;
    for (const auto &[id, vm] : rows) {
        const auto old = before[id];
        const bool planned = vm.state != VmState::Active && vm.state != VmState::Failed && vm.operation->kind != OperationKind::Repair;
        if (planned) {
            out[vm.pool].insert(id);
        }
        if (planned && vm.operation->kind == OperationKind::Move) {
            ++inbound[vm.operation->destinationPool];
        }
        healthy[vm.pool] += vm.state == VmState::Active ? 1 : 0;
        spares += vm.pool == "s" && vm.state == VmState::Active ? 1 : 0;
        if (planned && old.state == VmState::Active) {
            grew.insert(vm.pool);
        }
        if (vm.state != old.state) {
            const auto age = loop.now() - enteredAt[id];
            enteredAt[id] = loop.now();
            if (vm.state == VmState::Draining && (old.state != VmState::Announced || age < announceTime)) {
                violations.insert("draining without a confirmed announcement");
            }
            if (vm.state == VmState::Drained && ((old.state != VmState::Draining && old.state != VmState::Failed) || age < drainTime)) {
                violations.insert("drained without confirmation");
            }
        }
        if (vm.pool != old.pool && old.state != VmState::Drained && old.state != VmState::Verifying) {
            violations.insert("pool changed while in service");
        }
    }
    for (const auto &[key, text] : std::map<std::string, std::string>{{"a", ""}, {"b", ""}, {"s", ""}}) {
        const auto row = table.row(fmt::format("view/pool/{}", key));
        const auto ledger = row.value ? parseLedger(*row.value)->out : std::vector<std::string>{};
        if (std::set<std::string>(ledger.begin(), ledger.end()) != out[key] || ledger.size() != out[key].size()) {
            violations.insert("ledger differs from the VM rows");
        }
        if (out[key].size() > 1) {
            violations.insert("more planned removals than mayLose");
        }
        if (grew.contains(key) && key != "s" && healthy[key] < 2) {
            violations.insert("planned removal below minHealthy");
        }
    }
    for (const std::string rack : {"r1", "r2", "r3"}) {
        unsigned needed = 0;
        for (const std::string pool : {"a", "b"}) {
            const auto lost = std::ranges::count_if(rows, [&](const auto &it) {
                return it.second.pool == pool && it.second.rack == rack && it.second.state == VmState::Active;
            });
            const auto left = healthy[pool] + inbound[pool] - static_cast<unsigned>(lost);
            needed += left < 2 ? 2 - left : 0;
        }
        if ((grew.contains("a") || grew.contains("b")) && needed > spares) {
            violations.insert("spares promised twice");
        }
    }
    before = rows;
}

bool World::finished() const
{
    const auto &rows = before;
    const bool idle = std::ranges::all_of(rows, [](const auto &it) { return it.second.state == VmState::Active; });
    if (!idle || !health.failed.empty()) {
        return false;
    }
    if (test.operation == "drain") {
        return rows.size() == 6;
    }
    if (test.operation == "move") {
        return rows.at("a1").pool == "b";
    }
    if (test.operation == "wave") {
        const auto done = [&](const char *key) {
            return parseWave(*table.row(key).value)->state == WaveState::Finished;
        };
        return done("view/wave/w1") && done("view/wave/w2");
    }
    return rows.at("a1").maintainedAt.count > 0;
}

void World::run()
{
    const auto end = loop.now() + runLimit;
    while (loop.now() < end && !finished()) {
        loop.advance({1'000});
    }
    // Late writes and paused processes still have to do no harm.
    loop.advance({40'000});
    if (!finished()) {
        violations.insert("not completed");
    }
}

} // namespace hibiscusbridge
