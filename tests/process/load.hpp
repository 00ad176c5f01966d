// Callers behind a balancer that sends work to ready entries, on a thread of their own.
#pragma once

#include "ports/target.hpp"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hibiscusbridge
{

/// One request of a caller with all its attempts.
struct Exchange {
    std::string method;
    std::string path;
    /// Also the body; empty for a request without a key.
    std::string key;
    std::vector<TargetResult> attempts;
};

struct LoadOptions {
    std::string path = "/svc0/sleep/20";
    std::size_t callers = 12;
    /// Percentage of POST requests with an Idempotency-Key; the others are GET.
    std::size_t keyedShare = 100;
    /// Also repeats after a broken connection. Otherwise only "not run" and refused connections are retried.
    bool repeatBroken = false;
    /// Time after which an exchange is given up.
    Millis patience{10'000};
};

class Load
{
public:
    /// `entries` are caller addresses.
    Load(const std::vector<std::string> &entries, LoadOptions options);
    ~Load();

    void addEntry(const std::string &address);
    /// Waits for the exchanges in progress and returns all of them.
    std::vector<Exchange> stop();

private:
    struct Run;

    void run();

    LoadOptions m_options;
    std::mutex m_mutex;
    std::vector<std::string> m_entries;
    std::atomic<bool> m_stopping = false;
    std::vector<Exchange> m_finished;
    std::thread m_thread;
};

bool isNotRun(const TargetResult &result);
bool isFinished(const TargetResult &result);

} // namespace hibiscusbridge
