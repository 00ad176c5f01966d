// Stand-in of the platform's transactional store and of an empty VM list over HTTP, with faults switched on by requests.
// POST /control {"partMs":n,"silentTables":"prefix","lateMs":n,"silent":bool,"refuse":bool}; the answer lists the keys of all submissions
// and cancellations. A tombstone is no submission.
#include "adapters/httpserver.hpp"
#include "helpers/url.hpp"
#include "shards/rows.hpp"

#include <charconv>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <tuple>

using namespace hibiscusbridge;
using nlohmann::json;

namespace
{

/// Longest wait for earlier transactions of a part; further ones are refused with status 429.
constexpr Millis maxPartWait{1'000};
constexpr Millis feedPollInterval{5};
constexpr const char *submissionTablePrefix = "jobs-";

using Key = std::tuple<std::string, std::string, std::string>; // table, part, key

/// Returns an empty text for one that is not base64.
std::string fromBase64(const std::string &text)
{
    std::string out(text.size(), '\0');
    std::size_t size = 0;
    const int result = sodium_base642bin(reinterpret_cast<unsigned char *>(out.data()),
                                         out.size(),
                                         text.data(),
                                         text.size(),
                                         nullptr,
                                         &size,
                                         nullptr,
                                         sodium_base64_VARIANT_ORIGINAL);
    out.resize(result == 0 ? size : 0);
    return out;
}

struct StoredRow {
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
};

struct Store {
    EventLoop &loop;
    Clock clock = systemClock();
    std::map<Key, StoredRow> rows;
    std::uint64_t version = 0;
    /// When the last transaction of each part ends.
    std::map<std::string, Millis> partBusyUntil;
    Millis partTime{4};
    /// Version of the last change of each table.
    std::map<std::string, std::uint64_t> tableVersions;
    /// Transactions on tables with this prefix get no answer and are not applied; empty for none.
    std::string silentTables;
    /// If positive, those transactions are applied so much later, if their condition still holds.
    Millis lateTime{0};
    /// No call gets an answer.
    bool silent = false;
    bool refuse = false;
    std::vector<HttpResponder> unanswered;
};

HttpResponse jsonResponse(int status, const json &object)
{
    return {.status = status, .headers = {{"Content-Type", "application/json"}}, .body = object.dump()};
}

Key keyOf(const json &row)
{
    return {row.value("table", ""), row.value("part", ""), row.value("key", "")};
}

json rowJson(const Key &key, const StoredRow &row)
{
    const auto &[table, part, name] = key;
    json out{{"table", table}, {"part", part}, {"key", name}, {"row_version", row.removed ? 0 : row.version}};
    row.removed ? out["removed"] = true : out["value"] = row.value;
    return out;
}

json state(const Store &store)
{
    return {{"rows", json::array()}, {"row_version", store.version}, {"now_ms", store.clock.boot().count}};
}

HttpResponse apply(Store &store, const json &tx)
{
    auto answer = state(store);
    bool met = true;
    for (const auto &it : tx.at("expected_rev")) {
        const auto found = store.rows.find(keyOf(it));
        const bool exists = found != store.rows.end() && !found->second.removed;
        met = met && (exists ? found->second.version : 0) == it.at("row_version").get<std::uint64_t>();
        if (exists) {
            answer["rows"].push_back(rowJson(found->first, found->second));
        }
    }
    if (!met) {
        return jsonResponse(412, answer);
    }
    ++store.version;
    for (const auto &it : tx.at("puts")) {
        store.rows[keyOf(it)] = {it.at("value"), store.version, false};
        store.tableVersions[std::get<0>(keyOf(it))] = store.version;
    }
    for (const auto &it : tx.at("remove")) {
        store.tableVersions[std::get<0>(keyOf(it))] = store.version;
        store.rows[keyOf(it)] = {"", store.version, true};
    }
    return jsonResponse(200, {{"row_version", store.version}});
}

void transact(Store &store, const HttpRequest &request, HttpResponder respond)
{
    const auto tx = json::parse(request.body);
    const auto [table, part, key] = keyOf(tx.at("puts").empty() ? tx.at("remove").at(0) : tx.at("puts").at(0));
    if (!store.silentTables.empty() && table.starts_with(store.silentTables)) {
        store.unanswered.push_back(std::move(respond));
        if (store.lateTime > Millis{0}) {
            store.loop.timers().after(store.lateTime, [&store, tx] { apply(store, tx); });
        }
        return;
    }
    const auto now = store.clock.boot();
    auto &busyUntil = store.partBusyUntil[part];
    if (store.refuse || busyUntil - now > maxPartWait) {
        return respond({.status = store.refuse ? 503 : 429});
    }
    busyUntil = std::max(busyUntil, now) + store.partTime;
    store.loop.timers().after(busyUntil - now, [&store, tx, respond] { respond(apply(store, tx)); });
}

HttpResponse read(const Store &store, const std::string &query)
{
    const auto table = queryValue(query, "table");
    const auto part = queryValue(query, "part");
    const auto to = queryValue(query, "target");
    auto answer = state(store);
    answer["has_more"] = false;
    for (auto it = store.rows.lower_bound({table, part, queryValue(query, "from")}); it != store.rows.end(); ++it) {
        const auto &[rowTable, rowPart, key] = it->first;
        if (rowTable != table || rowPart != part || (!to.empty() && key >= to)) {
            break;
        }
        if (!it->second.removed) {
            answer["rows"].push_back(rowJson(it->first, it->second));
        }
    }
    return jsonResponse(200, answer);
}

std::uint64_t numberIn(const std::string &query, std::string_view name)
{
    const auto text = queryValue(query, name);
    std::uint64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

void feed(Store &store, const std::string &table, std::uint64_t after, Millis until, const HttpResponder &respond)
{
    std::map<std::uint64_t, std::vector<json>> changed;
    if (store.tableVersions[table] <= after && store.clock.boot() < until) {
        return store.loop.timers().after(feedPollInterval,
                                         [&store, table, after, until, respond] { feed(store, table, after, until, respond); });
    }
    for (auto it = store.rows.lower_bound({table, "", ""}); it != store.rows.end() && std::get<0>(it->first) == table; ++it) {
        if (const auto &[key, row] = *it; row.version > after) {
            changed[row.version].push_back(rowJson(key, row));
            changed[row.version].back()["row_version"] = row.version;
        }
    }
    auto answer = state(store);
    for (auto &[version, rows] : changed) {
        for (auto &row : rows) {
            answer["rows"].push_back(std::move(row));
        }
    }
    respond(jsonResponse(200, answer));
}

HttpResponse control(Store &store, const std::string &body)
{
    const auto request = json::parse(body);
    store.partTime = {request.value("partMs", store.partTime.count)};
    store.silentTables = request.value("silentTables", store.silentTables);
    store.lateTime = {request.value("lateMs", store.lateTime.count)};
    store.silent = request.value("silent", store.silent);
    store.refuse = request.value("refuse", store.refuse);
    for (const auto &it : request.value("puts", json::array())) {
        store.rows[keyOf(it)] = {it.at("value"), ++store.version, false};
        store.tableVersions[std::get<0>(keyOf(it))] = store.version;
    }
    json submissions = json::array();
    for (const auto &[key, row] : store.rows) {
        if (std::get<0>(key).starts_with(submissionTablePrefix) && !row.removed && !jobs::decodeTombstone(fromBase64(row.value))) {
            submissions.push_back(std::get<2>(key));
        }
    }
    return jsonResponse(200, {{"submissions", submissions}});
}

void serve(Store &store, const HttpRequest &request, HttpResponder respond)
{
    if (request.path == "/control") {
        return respond(control(store, request.body));
    }
    if (store.silent) {
        store.unanswered.push_back(std::move(respond));
        return;
    }
    if (request.path == "/-/machines") {
        return respond(jsonResponse(200, {{"machines", json::array()}}));
    }
    if (request.path == "/-/rows-tx") {
        return transact(store, request, std::move(respond));
    }
    if (request.path == "/-/rows-get") {
        return respond(store.refuse ? HttpResponse{.status = 503} : read(store, request.query));
    }
    if (request.path == "/-/rows-feed") {
        const Millis wait{static_cast<std::int64_t>(numberIn(request.query, "wait_ms"))};
        return feed(store, queryValue(request.query, "table"), numberIn(request.query, "after"), store.clock.boot() + wait, respond);
    }
    respond({.status = 404});
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2) {
        std::cerr << "usage: store-standin ADDRESS\n";
        return 2;
    }
    EventLoop loop;
    Store store{.loop = loop};
    const auto server =
        HttpServer::listen(loop, {.address = argv[1], .maxBodyBytes = 16 << 20}, [&](const HttpRequest &request, HttpResponder respond) {
            serve(store, request, std::move(respond));
        });
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return 1;
    }
    loop.onStopSignal([&](int) { loop.stop(); });
    loop.run();
    return 0;
}
