// Stand-in of the platform: table service, VM list and VM actions over HTTP, with faults switched on by requests.
// POST /control {"outage":bool,"slowMs":n,"loseReplies":n,"olderReads":bool,"leaving":[ids],"gone":[ids]}
#include "adapters/httpserver.hpp"
#include "helpers/url.hpp"

#include <charconv>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>

using namespace hibiscusbridge;
using nlohmann::json;

namespace
{

struct StoredRow {
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// How long a VM is away after a reboot.
constexpr Millis rebootTime{1'000};

struct Platform {
    EventLoop &loop;
    std::map<std::string, StoredRow> rows;
    std::uint64_t version = 0;
    std::map<std::string, std::uint64_t> bootCounts;
    std::set<std::string> leaving;
    std::set<std::string> gone;
    bool outage = false;
    bool olderReads = false;
    Millis slow;
    int loseReplies = 0;
    std::uint64_t reads = 0;
    std::uint64_t commits = 0;
    std::vector<HttpResponder> unanswered;
};

json conflictsOf(const Platform &platform, const json &preconditions)
{
    json conflicts = json::array();
    for (const auto &it : preconditions) {
        const auto row = platform.rows.find(it.at("key"));
        const bool absent = row == platform.rows.end() || !row->second.value;
        if ((absent ? 0 : row->second.version) != it.at("version")) {
            conflicts.push_back(it.at("key"));
        }
    }
    return conflicts;
}

HttpResponse jsonResponse(int status, const json &object)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = object.dump()};
}

HttpResponse transact(Platform &platform, const std::string &body)
{
    ++platform.commits;
    const auto request = json::parse(body);
    if (const auto conflicts = conflictsOf(platform, request.at("preconditions")); !conflicts.empty()) {
        return jsonResponse(409, {{"conflicts", conflicts}});
    }
    ++platform.version;
    for (const auto &it : request.at("writes")) {
        StoredRow row{.version = platform.version};
        if (!it.at("value").is_null()) {
            row.value = it.at("value").get<std::string>();
        }
        platform.rows.insert_or_assign(it.at("key").get<std::string>(), row);
    }
    return jsonResponse(200, {{"version", platform.version}});
}

HttpResponse readRows(Platform &platform, const std::string &query)
{
    ++platform.reads;
    const auto prefix = queryValue(query, "prefix");
    std::uint64_t since = 0;
    const auto text = queryValue(query, "since");
    std::from_chars(text.data(), text.data() + text.size(), since);
    const auto upTo = platform.olderReads && platform.version > 0 ? platform.version - 1 : platform.version;
    json rows = json::array();
    for (auto it = platform.rows.lower_bound(prefix); it != platform.rows.end() && it->first.starts_with(prefix); ++it) {
        const auto &[value, version] = it->second;
        if (version > since && version <= upTo) {
            rows.push_back({{"key", it->first}, {"value", value ? json(*value) : json()}, {"version", version}});
        }
    }
    return jsonResponse(200, {{"version", upTo}, {"rows", rows}});
}

/// VMs with a row, and entries with a registration.
HttpResponse listVms(const Platform &platform)
{
    json vms = json::array();
    for (const auto &[key, row] : platform.rows) {
        if ((!key.starts_with("view/vm/") && !key.starts_with("registration/")) || !row.value) {
            continue;
        }
        const auto id = key.substr(key.rfind('/') + 1);
        if (platform.gone.contains(id)) {
            continue;
        }
        const auto boots = platform.bootCounts.find(id);
        vms.push_back({{"id", id},
                       {"state", platform.leaving.contains(id) ? "leaving" : "live"},
                       {"bootCount", boots == platform.bootCounts.end() ? 1 : boots->second}});
    }
    return jsonResponse(200, {{"vms", vms}});
}

HttpResponse control(Platform &platform, const std::string &body)
{
    const auto request = json::parse(body);
    platform.outage = request.value("outage", platform.outage);
    platform.olderReads = request.value("olderReads", platform.olderReads);
    platform.slow = {request.value("slowMs", platform.slow.count)};
    platform.loseReplies = request.value("loseReplies", platform.loseReplies);
    for (const auto &it : request.value("leaving", json::array())) {
        platform.leaving.insert(it.get<std::string>());
    }
    for (const auto &it : request.value("gone", json::array())) {
        platform.gone.insert(it.get<std::string>());
    }
    return jsonResponse(200, {{"version", platform.version}, {"reads", platform.reads}, {"commits", platform.commits}});
}

HttpResponse reboot(Platform &platform, const std::string &path)
{
    constexpr std::string_view prefix = "/v1/vms/";
    const auto id = path.substr(prefix.size(), path.rfind('/') - prefix.size());
    platform.loop.timers().after(rebootTime, [&platform, id] {
        auto &boots = platform.bootCounts[id];
        boots = boots == 0 ? 2 : boots + 1;
        platform.leaving.erase(id);
    });
    return jsonResponse(202, {{"accepted", id}});
}

HttpResponse handle(Platform &platform, const HttpRequest &request)
{
    if (request.path == "/v1/transact") {
        return transact(platform, request.body);
    }
    if (request.path == "/v1/rows") {
        return readRows(platform, request.query);
    }
    if (request.path == "/v1/vms") {
        return listVms(platform);
    }
    if (request.path.starts_with("/v1/vms/") && request.path.ends_with("/reboot")) {
        return reboot(platform, request.path);
    }
    return {.status = 404};
}

void serve(Platform &platform, const HttpRequest &request, HttpResponder respond)
{
    if (request.path == "/control") {
        return respond(control(platform, request.body));
    }
    if (platform.outage) {
        return respond({.status = 503});
    }
    auto response = handle(platform, request);
    if (request.path == "/v1/transact" && platform.loseReplies > 0) {
        --platform.loseReplies;
        platform.unanswered.push_back(std::move(respond)); // Keeps the connection open and silent.
        return;
    }
    platform.loop.timers().after(platform.slow, [respond, response] { respond(response); });
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: platform-standin ADDRESS\n";
        return 2;
    }
    EventLoop loop;
    Platform platform{.loop = loop};
    const auto server =
        HttpServer::listen(loop, {.address = argv[1], .maxBodyBytes = 16 << 20}, [&](const HttpRequest &request, HttpResponder respond) {
            serve(platform, request, std::move(respond));
        });
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return 1;
    }
    loop.onStopSignal([&](int) { loop.stop(); });
    loop.run();
    return 0;
}
