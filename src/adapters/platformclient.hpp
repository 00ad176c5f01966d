// The platform's table service, VM list and VM actions over HTTP and JSON.
#pragma once

#include "adapters/httpclient.hpp"
#include "ports/table.hpp"
#include "ports/vm.hpp"

#include <cstdint>
#include <string>

namespace hibiscusbridge
{

/// Calls and their results since the start of the process.
struct PlatformCounters {
    std::uint64_t reads = 0;
    std::uint64_t commits = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t errors = 0;
    std::uint64_t timeouts = 0;
    std::uint64_t bytesSent = 0;
    std::uint64_t bytesReceived = 0;
};

struct PlatformOptions {
    /// IP number and port.
    std::string address;
    /// Time for one call.
    Millis timeout{2'000};
};

class PlatformClient
{
public:
    PlatformClient(HttpClient &client, PlatformOptions options);

    TablePort table();
    VmPort vms();
    const PlatformCounters &counters() const
    {
        return m_counters;
    }

private:
    void call(std::string method, std::string path, std::string body, std::function<void(absl::StatusOr<TargetResult>)> callback);

    HttpClient &m_client;
    PlatformOptions m_options;
    PlatformCounters m_counters;
};

} // namespace hibiscusbridge
