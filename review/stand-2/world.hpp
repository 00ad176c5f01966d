// A small deployment for the cases: the stand-in of the store, entries, workers and a client, all as processes on loopback.
#pragma once

#include "process/harness.hpp"
#include "proxy.hpp"

#include <fstream>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace review
{

struct Route {
    std::string name;
    std::string prefix;
    std::string service;
    int maxAttempts = 3;
};

struct WorkerLife {
    std::string id;
    /// Where it listens.
    std::string address;
    std::unique_ptr<hibiscusbridge::Process> process;
};

/// A machine on which one worker lives at a time.
struct Machine {
    std::string name;
    std::string rack;
    std::string service;
    int cores = 8;
    int lives = 0;
    /// Id of all lives; each has an id of its own if it is empty.
    std::string fixedId;
    /// Address that the workers register, if it isn't that on which they listen.
    std::string proxyAddress;
    /// Address on which all lives listen; a free one for each if it is empty.
    std::string fixedAddress;
    WorkerLife life;
};

struct RunSeen {
    std::string task;
    int run = 0;
    std::string worker;
    std::int64_t from = 0; ///< Unix milliseconds
    std::int64_t to = 0; ///< 0 while it runs
    std::string how;
};

class World
{
public:
    /// `binaries` is the folder of the stand-ins, `program` the built hibiscusbridge; `folder` takes settings and logs.
    World(std::string program, std::string binaries, std::string folder, const std::string &record);
    ~World();

    /// With `proxies`, each entry reaches the store by a proxy of its own.
    void startEntries(std::size_t n, bool proxies = false);
    /// Name of the entry that holds the shard according to the store, and the version of its claim.
    std::pair<std::string, std::uint64_t> holderOf(const std::string &shard) const;
    bool waitReady(hibiscusbridge::Millis timeout);
    void configure(std::int64_t version, const std::vector<std::string> &services, const std::vector<Route> &routes);
    Machine &addMachine(const std::string &name, const std::string &rack, const std::string &service);
    void startWorker(Machine &machine, const std::string &mode = {});
    /// SIGKILL; the entry of the worker stays in the store, as after a crash.
    void killWorker(Machine &machine);
    hibiscusbridge::Answer call(const std::string &method,
                                const std::string &path,
                                const std::string &body = {},
                                std::size_t entry = 0,
                                std::int64_t deadlineMs = 3'000);
    /// Faults of the store's stand-in, see tests/standins/store.cpp.
    void controlStore(const std::string &faults);
    /// The state that an entry gives for the job, or `HTTP n`.
    std::string stateOf(const std::string &prefix, const std::string &id, std::size_t entry = 0);
    void note(const std::string &text);
    /// All runs that the workers have written down so far.
    std::vector<RunSeen> runs() const;
    std::vector<std::string> entryAddresses;
    std::vector<std::unique_ptr<hibiscusbridge::Process>> entries;
    std::vector<std::unique_ptr<Proxy>> storeProxies;

private:
    std::string m_program;
    std::string m_binaries;
    std::string m_folder;
    std::ofstream m_record;
    std::string m_store;
    std::unique_ptr<hibiscusbridge::Process> m_storeProcess;
    std::vector<std::unique_ptr<Machine>> m_machines;
    std::vector<std::string> m_ready;
    std::int64_t m_startedAt;
    std::map<std::string, std::int64_t> m_killedAt;
};

std::int64_t unixMs();
void pause(std::int64_t ms);
bool troubleWanted();

} // namespace review
