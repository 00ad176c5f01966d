// Starts entries and stand-ins as processes on loopback and talks to them as a caller or an operator.
#pragma once

#include "adapters/httpserver.hpp"

#include <csignal>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

/// Answer of an HTTP exchange; status 0 when there was none.
struct Answer {
    int status = 0;
    std::vector<Header> headers;
    std::string body;

    std::string outcome() const
    {
        return std::string(headerValue(headers, "X-Outcome"));
    }
};

/// Sends one request and waits for the answer.
Answer exchange(const std::string &method,
                const std::string &url,
                const std::string &body = {},
                const std::vector<Header> &headers = {},
                Millis timeout = {10'000});

/// One request of `exchangeAll`.
struct Call {
    std::string method;
    std::string url;
    std::string body;
    std::vector<Header> headers;
};

/// Sends all requests at the same time and returns the answers in the same order.
std::vector<Answer> exchangeAll(const std::vector<Call> &calls, Millis timeout = {10'000});

/// A child process; killed when the object goes.
class Process
{
public:
    Process(std::vector<std::string> arguments, std::vector<std::string> environment = {});
    ~Process();
    Process(Process &&other) noexcept;
    Process &operator=(Process &&) = delete;

    int pid() const
    {
        return m_pid;
    }
    void signal(int number) const;
    /// Waits for the end; the exit code, or -1 when it ended by a signal or not within the time.
    int waitExit(Millis timeout);
    /// Exit code once it has ended, -1 if it ended by a signal; empty while it runs.
    std::optional<int> pollExit();

private:
    int m_pid = -1;
};

struct EntryProcess {
    std::string id;
    std::string callers;
    std::string operators;
    std::string peers;
    std::unique_ptr<Process> process;
};

/// Platform, targets and entries on free ports of loopback.
struct Fleet {
    std::string platform;
    std::vector<std::string> targets;
    std::unique_ptr<Process> platformProcess;
    std::unique_ptr<Process> targetProcess;
    std::vector<EntryProcess> entries;

    /// Extra flags for every entry that is started.
    std::vector<std::string> entryFlags;

    void startEntry(const std::string &id);
    Answer control(const nlohmann::json &faults) const;
    nlohmann::json targetReport() const;
    /// Submits a section through the first entry.
    Answer submit(const std::string &section, const std::string &text, const std::string &token, std::uint64_t baseVersion = 0) const;
    /// True when each entry's member list has as many members as there are entries.
    bool allJoined() const;
    Answer call(std::size_t entry,
                const std::string &method,
                const std::string &path,
                const std::string &body = {},
                const std::vector<Header> &headers = {}) const;
};

/// A running fleet with `pools` pools of `vmsPerPool` VMs; services are named like their pools: svc0, svc1, ...
Fleet startFleet(std::size_t entries, std::size_t pools, std::size_t vmsPerPool, std::vector<std::string> entryFlags = {});

/// The document's sections of such a fleet.
std::string fleetSection();
std::string poolSection(const Fleet &fleet, std::size_t pools, std::size_t vmsPerPool, std::size_t minHealthy = 1);

/// An address on loopback with a port that was free a moment ago.
std::string freeAddress();

/// Polls until the condition holds; false when it does not within the time.
bool waitFor(const std::function<bool()> &condition, Millis timeout);

} // namespace hibiscusbridge
