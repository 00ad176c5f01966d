// Text output of the command line.
#include "cli/render.hpp"

#include <algorithm>
#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

std::string renderTable(const std::vector<std::vector<std::string>> &rows)
{
    std::vector<std::size_t> widths;
    for (const auto &row : rows) {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string out;
    for (const auto &row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i) {
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

std::string renderTime(std::int64_t wallMs)
{
    const std::time_t seconds = wallMs / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> buf{};
    std::strftime(buf.data(), buf.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return buf.data();
}

static std::string numberOf(const json &object, const char *key)
{
    return object.at(key).dump();
}

static std::string textOf(const json &object, const char *key)
{
    return object.at(key).get<std::string>();
}

std::string renderStatus(const json &status)
{
    std::string out = "entry " + textOf(status, "entry") + " in zone " + textOf(status, "zone") + ": " + textOf(status, "servingReason")
                      + "\n" + "view version " + numberOf(status, "viewVersion") + ", document version "
                      + numberOf(status, "documentVersion") + ", requests in flight " + numberOf(status, "inFlight") + "\n\n";
    std::vector<std::vector<std::string>> members{{"MEMBER", "ZONE", "INCARNATION", "HEARD"}};
    for (const auto &it : status.at("members")) {
        members.push_back({textOf(it, "id"), textOf(it, "zone"), numberOf(it, "incarnation"), it.at("heard").get<bool>() ? "yes" : "no"});
    }
    std::vector<std::vector<std::string>> pools{{"POOL", "HEALTHY", "MIN", "MAY LOSE", "PLANNED OUT", "FAILED"}};
    for (const auto &it : status.at("pools")) {
        pools.push_back({textOf(it, "pool"),
                         numberOf(it, "healthy"),
                         numberOf(it, "minHealthy"),
                         numberOf(it, "mayLose"),
                         numberOf(it, "planned"),
                         numberOf(it, "failed")});
    }
    return out + renderTable(members) + "\n" + renderTable(pools);
}

std::string renderWaves(const json &answer)
{
    std::string out;
    for (const auto &wave : answer.at("waves")) {
        out += "wave " + textOf(wave, "id") + " " + textOf(wave, "state") + ": " + numberOf(wave, "maintained") + " of "
               + numberOf(wave, "total") + " VMs done, started by " + textOf(wave, "startedBy") + " at "
               + renderTime(wave.at("startedAtMs")) + " (" + textOf(wave, "reason") + ")\n";
        if (const auto paused = textOf(wave, "pausedBecause"); !paused.empty()) {
            out += "  held up: " + paused + "\n";
        }
        for (const auto &it : wave.at("waiting")) {
            out += "  " + textOf(it, "vm") + " waits: " + textOf(it, "reason") + "\n";
        }
    }
    return out.empty() ? "no waves\n" : out;
}

std::string renderAudit(const json &answer)
{
    std::string out;
    for (const auto &it : answer.at("entries")) {
        out += renderTime(it.at("atMs")) + " " + textOf(it, "actor") + " " + textOf(it, "action") + " " + textOf(it, "subject");
        if (const auto before = textOf(it, "before"), after = textOf(it, "after"); !before.empty() || !after.empty()) {
            out += ": " + before + " -> " + after;
        }
        const auto reason = textOf(it, "reason");
        out += reason.empty() ? "\n" : " (" + reason + ")\n";
    }
    return out.empty() ? "no audit entries\n" : out;
}

std::string renderExplanation(const json &answer)
{
    std::string out = textOf(answer, "subject") + "\n";
    for (const auto &[key, value] : answer.at("facts").items()) {
        out += "  " + key + ": " + (value.is_string() ? value.get<std::string>() : value.dump()) + "\n";
    }
    if (const auto reason = textOf(answer, "waitReason"); !reason.empty()) {
        out += "  waits: " + reason + "\n";
    }
    return out + renderAudit(answer);
}

std::string renderSections(const json &answer)
{
    std::vector<std::vector<std::string>> rows{{"SECTION", "OWNER", "VERSION", "BYTES"}};
    for (const auto &it : answer.at("sections")) {
        rows.push_back({textOf(it, "name"), textOf(it, "owner"), numberOf(it, "version"), std::to_string(textOf(it, "text").size())});
    }
    return "document version " + numberOf(answer, "version") + "\n" + renderTable(rows);
}

} // namespace hibiscusbridge
