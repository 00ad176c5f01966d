// A small fleet with two managers on a faulty table; checks the invariants after every commit.
#pragma once

#include "fakes/faketable.hpp"
#include "fleet/manager.hpp"

#include <list>

namespace hibiscusbridge
{

inline constexpr Millis announceTime{2'000};
inline constexpr Millis drainTime{3'000};
inline constexpr Millis runLimit{3'600'000};

enum class Fault {
    Commit,
    Read,
    Dies,
    Pauses,
    VmFails,
    LateReboot,
};

struct Case {
    std::string operation;
    int step = 0;
    Fault fault = Fault::Commit;
    TableFault tableFault = TableFault::None;
    int times = 1;
    bool race = false;
};

struct World;

/// One entry: polls the table into its own view and runs a manager on it.
struct Entry {
    World &world;
    std::string id;
    View view;
    Millis readAt;
    bool dead = false;
    bool paused = false;
    std::vector<std::function<void()>> deferred;
    std::unique_ptr<FleetManager> manager;

    Entry(World &owner, std::string name);
    void run(const std::function<void()> &fn);
    void poll();
    FleetPorts ports();
};

struct PlatformState {
    std::uint64_t boots = 1;
    Millis downUntil;
};

struct World {
    explicit World(Case testCase);

    Case test;
    FakeLoop loop;
    FakeTable table{loop};
    std::map<std::uint64_t, Document> documents;
    std::map<std::string, PlatformState> platform;
    FleetHealth health;
    std::list<Entry> entries;
    int managerCommits = 0;
    int readFaults = 0;
    std::map<std::string, VmRow> before;
    std::map<std::string, Millis> enteredAt;
    std::map<std::uint64_t, Millis> committedAt;
    std::set<std::string> violations;

    void declare(const Document &document);
    void startOperation();
    void onManagerCommit(Entry &entry);
    void reboot(const std::string &vm);
    void checkReboot(const std::string &vm);
    void check();
    std::map<std::string, VmRow> vms() const;
    bool finished() const;
    void run();
};

} // namespace hibiscusbridge
