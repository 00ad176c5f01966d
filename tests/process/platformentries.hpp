// Runs `entry` processes against a stand-in of the platform's store, and callers that keep their connections open.
#pragma once

#include "process/harness.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace hibiscusbridge
{

struct PlatformEntry {
    std::string name;
    std::string callers;
    std::string ready;
    std::string peers;
    std::string metrics;
    std::string settingsPath;
    std::unique_ptr<Process> process;
};

/// A store with the configuration of one queue, and its entries.
class PlatformEntries
{
public:
    explicit PlatformEntries(std::size_t entries);
    ~PlatformEntries();

    /// Starts or restarts the process of an entry.
    void start(PlatformEntry &entry) const;
    bool isReady(const PlatformEntry &entry) const;
    /// Changes the faults of the store; returns the ids of all stored submissions.
    std::set<std::string> controlStore(const nlohmann::json &faults) const;
    /// Writes a configuration with this version.
    void configure(std::int64_t version) const;
    void writeSettings(const PlatformEntry &entry) const;
    /// Replaces the settings file of the entry by one that can't be read.
    static void breakSettings(const PlatformEntry &entry);

    std::vector<PlatformEntry> entries;

private:
    std::string m_store;
    std::unique_ptr<Process> m_storeProcess;
};

/// The SIGTERM grace period in the settings of the entries.
constexpr Millis stopGrace{6'000};

/// A blocking HTTP connection of one caller.
class Connection
{
public:
    explicit Connection(const std::string &address);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    bool isOpen() const
    {
        return m_open;
    }
    bool send(const std::string &text);
    /// Status of the response; 0 if the connection ends or times out first.
    int receive();

private:
    int m_fd;
    bool m_open = false;
};

/// One request of a caller. Status 0: the connection ended without a whole response.
struct Submission {
    std::string method;
    std::string id;
    std::string entry;
    Millis sentAt;
    Millis endedAt;
    int status = 0;
};

struct CallerOptions {
    /// Also reads and cancels jobs.
    bool mixed = false;
    Millis pause{20};
};

/// Callers that submit jobs one after the other, each on a connection that it keeps until the entry closes it.
class KeepAliveCallers
{
public:
    KeepAliveCallers(const std::vector<PlatformEntry> &entries, std::size_t callers, CallerOptions options = {});
    ~KeepAliveCallers();
    KeepAliveCallers(const KeepAliveCallers &) = delete;
    KeepAliveCallers &operator=(const KeepAliveCallers &) = delete;

    /// Ends the callers after their present request and returns all submissions.
    std::vector<Submission> finish();
    std::size_t count() const;

private:
    void run(const std::string &address, std::size_t number);

    CallerOptions m_options;
    mutable std::mutex m_mutex;
    std::vector<Submission> m_submissions;
    std::atomic<bool> m_stop = false;
    std::vector<std::thread> m_threads;
};

/// Submissions whose connection ended without a response, later than a request may wait unread.
std::vector<Submission> unanswered(const std::vector<Submission> &submissions);

} // namespace hibiscusbridge
