// Settings of an entry process.
#include "config/entrysettings.hpp"

#include "adapters/httpserver.hpp"

#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace hibiscusbridge::jobs
{

namespace
{

/// Reads the values of one file and collects what is wrong with them.
class Reader
{
public:
    explicit Reader(const toml::table &root)
        : m_root(root)
    {
    }

    void text(const char *key, std::string &out, bool required)
    {
        const auto *const node = find(key);
        if (!node) {
            return missing(key, required);
        }
        if (const auto value = node->value_exact<std::string>()) {
            out = *value;
            if (required && out.empty()) {
                problem(*node, key, "must not be empty");
            }
        } else {
            problem(*node, key, "must be a text");
        }
    }

    void address(const char *key, std::string &out, bool required)
    {
        text(key, out, required);
        const auto *const node = find(key);
        if (node && !out.empty() && !parseSocketAddress(out).ok()) {
            problem(*node, key, "must be an IPv4 number and a port, not '" + out + "'");
        }
    }

    void number(const char *key, double min, double max, const std::function<void(double)> &store)
    {
        const auto *const node = find(key);
        if (!node) {
            return;
        }
        const auto value = node->value<double>();
        if (!value || node->is_boolean()) {
            return problem(*node, key, "must be a number");
        }
        if (*value < min || *value > max) {
            std::ostringstream out;
            out << "must be from " << min << " to " << max << ", not " << *value;
            return problem(*node, key, out.str());
        }
        store(*value);
    }

    /// A duration in a unit of `unit` milliseconds.
    void duration(const char *key, double unit, Millis &out)
    {
        constexpr double maxMillis = 86'400'000;
        number(key, 0, maxMillis / unit, [&](double value) { out = {static_cast<std::int64_t>(value * unit)}; });
    }

    std::vector<std::string> unknownKeys() const
    {
        std::vector<std::string> unknown;
        for (const auto &[key, node] : m_root) {
            const std::string name(key.str());
            if (const auto *const table = node.as_table()) {
                for (const auto &[inner, value] : *table) {
                    if (const auto path = name + "." + std::string(inner.str()); !m_known.contains(path)) {
                        unknown.push_back(path);
                    }
                }
            } else if (!m_known.contains(name)) {
                unknown.push_back(name);
            }
        }
        return unknown;
    }

    const std::string &problems() const
    {
        return m_problems;
    }

private:
    const toml::node *find(const char *key)
    {
        m_known.insert(key);
        return m_root.at_path(key).node();
    }
    void missing(const char *key, bool required)
    {
        if (required) {
            m_problems += (m_problems.empty() ? "" : "\n") + std::string(key) + ": is missing";
        }
    }
    void problem(const toml::node &node, const char *key, const std::string &text)
    {
        const auto at = node.source().begin;
        m_problems += (m_problems.empty() ? "" : "\n") + std::string("line ") + std::to_string(at.line) + ", column "
                      + std::to_string(at.column) + ": " + key + " " + text;
    }

    const toml::table &m_root;
    std::set<std::string> m_known;
    std::string m_problems;
};

} // namespace

absl::StatusOr<ParsedEntrySettings> parseEntrySettings(std::string_view text)
{
    constexpr double second = 1'000;
    constexpr double maxPort = 65'535;
    constexpr double maxRowBytes = 64 << 20;
    constexpr double maxRate = 1e6;
    constexpr double minCpu = 0.01;
    constexpr double maxCpu = 1'024;
    toml::table root;
    try {
        root = toml::parse(text);
    } catch (const toml::parse_error &ec) {
        const auto at = ec.source().begin;
        return absl::InvalidArgumentError("line " + std::to_string(at.line) + ", column " + std::to_string(at.column) + ": "
                                          + std::string(ec.description()));
    }
    Reader reader(root);
    ParsedEntrySettings parsed;
    auto &settings = parsed.settings;
    reader.text("name", settings.name, true);
    reader.text("zone", settings.zone, true);
    reader.text("region", settings.region, false);
    reader.address("caller_address", settings.callerAddress, true);
    reader.address("ready_address", settings.readyAddress, true);
    reader.address("peer_address", settings.peerAddress, true);
    reader.number("metrics_port", 0, maxPort, [&](double value) { settings.metricsPort = static_cast<int>(value); });
    reader.number("limits.cpu_share", minCpu, maxCpu, [&](double value) { settings.cpuShare = value; });
    reader.number("limits.cpu_speed", minCpu, maxCpu, [&](double value) { settings.cpuSpeed = value; });
    reader.address("platform.store_address", settings.storeAddress, true);
    reader.number(
        "platform.store_row_bytes", 1024, maxRowBytes, [&](double value) { settings.storeRowBytes = static_cast<std::int64_t>(value); });
    reader.address("platform.vm_address", settings.vmAddress, true);
    reader.number("platform.vm_actions_per_s", 0, maxRate, [&](double value) { settings.vmActionsPerSecond = value; });
    reader.number("platform.vm_lists_per_s", 0, maxRate, [&](double value) { settings.vmListsPerSecond = value; });
    reader.address("platform.advice_address", settings.adviceAddress, false);
    reader.duration("bounds.hold_max_ms", 1, settings.holdMax);
    reader.duration("bounds.drain_ms", 1, settings.drain);
    reader.duration("bounds.stop_timeout_ms", 1, settings.stopTimeout);
    reader.duration("bounds.job_status_s", second, settings.jobStatus);
    reader.duration("bounds.move_s", second, settings.move);
    reader.duration("bounds.maintenance_s", second, settings.maintenance);
    reader.duration("bounds.notice_ms", 1, settings.notice);
    reader.duration("bounds.stop_grace_s", second, settings.stopGrace);
    reader.duration("bounds.order_takeover_ms", 1, settings.orderTakeover);
    reader.number("bounds.remote_factor", 1, 1000, [&](double value) { settings.remoteFactor = value; });
    reader.duration("bounds.harm_ms", 1, settings.harm);
    if (!reader.problems().empty()) {
        return absl::InvalidArgumentError(reader.problems());
    }
    parsed.unknownKeys = reader.unknownKeys();
    return parsed;
}

absl::StatusOr<ParsedEntrySettings> readEntrySettings(const std::string &path)
{
    std::ifstream in(path);
    if (!in) {
        return absl::NotFoundError("cannot read settings file '" + path + "'");
    }
    std::stringstream text;
    text << in.rdbuf();
    return parseEntrySettings(text.str());
}

} // namespace hibiscusbridge::jobs
