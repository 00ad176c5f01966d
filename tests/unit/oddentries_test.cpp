// Entries that other programs leave among those of the workers: they name no worker to use, and the others stay in use.
#include "decode.hpp"
#include "fakes/fakeloop.hpp"
#include "fakes/fakestore.hpp"
#include "helpers/json.hpp"
#include "shards/workerdirectory.hpp"
#include "unit/jobcluster.hpp"
#include "vms.hpp"
#include "workers.hpp"

#include <catch2/catch.hpp>
#include <stdexcept>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

namespace
{

constexpr Millis startupTime{3'000};

Json validEntry()
{
    return {{"service", "pool"},
            {"address", "10.128.0.9:8080"},
            {"zone", "a"},
            {"version", "v1"},
            {"slots", 8},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"capacity", {{"cpu", 16'000}, {"mem_mb", 32'768}, {"gpu", 0}}},
            {"labels", {"a", "r1-3"}},
            {"machine", "m-1"},
            {"born", 1'770'000'000'000},
            {"seq_no", 4}};
}

std::optional<WorkerRegistration> decode(const std::string &text, const std::string &key = "i-7f3a91c2")
{
    return platform::decodeWorker({.key = {std::string(platform::workerTable), "", key}, .value = text});
}

/// A JSON text that is nested to the size of a row.
std::string nested(const std::string &open, const std::string &close)
{
    constexpr std::size_t depth = 30'000;
    std::string text;
    for (std::size_t i = 0; i < depth; ++i) {
        text += open;
    }
    text += "1";
    for (std::size_t i = 0; i < depth; ++i) {
        text += close;
    }
    return text;
}

/// The valid entry with one value replaced by a JSON text, which may be no JSON.
std::string withValue(const Json::json_pointer &field, const std::string &text)
{
    auto entry = validEntry();
    entry[field] = "REPLACED";
    auto value = entry.dump();
    return value.replace(value.find("\"REPLACED\""), std::string("\"REPLACED\"").size(), text);
}

} // namespace

TEST_CASE("an odd entry of the workers' table names no worker")
{
    REQUIRE(decode(validEntry().dump()));
    const std::vector<std::pair<std::string, std::string>> odd{
        {"/address", R"("10.128.0.9:70000")"},
        {"/address", R"("10.128.0.9:0")"},
        {"/address", R"("10.128.0.9:-1")"},
        {"/address", R"("10.128.0.9:99999999999999999999")"},
        {"/address", R"("10.128.0.9")"},
        {"/address", R"("worker-9.example:8080")"},
        {"/address", R"("10.128.0.9:80/../x")"},
        {"/address", nested("[", "]")},
        {"/capacity/cpu", "1e400"},
        {"/capacity/cpu", "1e18"},
        {"/capacity/cpu", "99999999999999999999999999"},
        {"/capacity/cpu", "-9223372036854775808"},
        {"/capacity/cpu", "-1"},
        {"/capacity/cpu", R"("much")"},
        {"/capacity/mem_mb", "18446744073709551615"},
        {"/capacity/gpu", "-4"},
        {"/capacity/gpu", nested("[", "]")},
        {"/capacity", nested(R"({"cpu":)", "}")},
        {"/born", "9223372036854775807"},
        {"/born", "-5"},
        {"/born", "1e300"},
        {"/machine", "7"},
        {"/machine", nested("[", "]")},
        {"/labels", R"(["a", 7])"},
        {"/zone", "7"},
        {"/version", "null"},
        {"/slots", R"("8")"},
        {"/cold_left_ms", "true"},
        {"/seq_no", "-1"},
        {"/labels", nested("[", "]")},
    };
    for (const auto &[field, text] : odd) {
        CAPTURE(field, text.substr(0, 60));
        CHECK_FALSE(decode(withValue(Json::json_pointer(field), text)));
    }
    for (const auto *const field :
         {"service", "address", "zone", "version", "slots", "state", "cold_left_ms", "capacity", "labels", "seq_no"}) {
        CAPTURE(field);
        auto entry = validEntry();
        entry.erase(field);
        CHECK_FALSE(decode(entry.dump()));
    }
    CHECK_FALSE(decode(nested("[", "]")));
    CHECK_FALSE(decode(nested("{\"a\":", "}")));
    CHECK_FALSE(decode(std::string(60'000, '[')));
    // The id is part of a header of each call.
    CHECK_FALSE(decode(validEntry().dump(), "i-1\r\nHost: other"));
    CHECK_FALSE(decode(validEntry().dump(), ""));
}

TEST_CASE("odd entries beside and over those of busy workers neither stop the pool nor break a limit")
{
    const auto oddText = GENERATE(withValue(Json::json_pointer("/capacity/cpu"), "-9223372036854775808"),
                                  withValue(Json::json_pointer("/capacity/cpu"), "9223372036854775807"),
                                  withValue(Json::json_pointer("/address"), R"("10.128.0.9:70000")"),
                                  withValue(Json::json_pointer("/labels"), nested("[", "]")),
                                  withValue(Json::json_pointer("/born"), "9223372036854775807"),
                                  nested("{\"a\":", "}"));
    CAPTURE(oddText.substr(0, 300));
    JobCluster cluster(2, 3);
    cluster.loop.advance(startupTime);
    const auto genuine = cluster.workers.registrationOf("w0");
    for (int i = 0; i < 40; ++i) {
        cluster.submit("e0", makeJob(jobId(i), {makeStep(6, 1'500, {400})}));
        if (i % 4 == 1) {
            cluster.store.put({std::string(platform::workerTable), "", "a-inventory"}, oddText);
            cluster.store.put({std::string(platform::workerTable), "", "w0"}, oddText);
        } else if (i % 4 == 3) {
            cluster.registerWorker(genuine); // The next heartbeat.
        }
        cluster.loop.advance({250});
    }
    cluster.loop.advance({10'000});
    CHECK(cluster.accepted.size() == 40);
    CHECK(cluster.allFinal());
    CHECK(cluster.workers.violations.empty());
}

TEST_CASE("a copy of a live worker's entry does not take the worker out of use")
{
    // Subtasks ran twice: the copy of another program counted as the newer worker of the VM, so that the runs of the live one were
    // taken for ended.
    const bool complete = GENERATE(false, true);
    CAPTURE(complete);
    JobCluster cluster(1, 3);
    cluster.loop.advance(startupTime);
    cluster.submit("e0", makeJob(jobId(1), {makeStep(24, 1'000, {8'000})}));
    cluster.loop.advance({1'500});
    REQUIRE(cluster.workers.runningOn("w1") == 8);
    const RowKey original{std::string(platform::workerTable), "", "w1"};
    auto copy = Json::parse(cluster.store.value(original));
    if (!complete) {
        for (const auto *const field : {"zone", "version", "slots", "cold_left_ms", "seq_no", "labels"}) {
            copy.erase(field);
        }
    }
    cluster.store.put({original.table, "", "a-inventory"}, copy.dump());
    cluster.loop.advance({12'000});
    CHECK(cluster.workers.starts == 24);
    CHECK(cluster.workers.violations.empty());
    CHECK(cluster.allFinal());
}

TEST_CASE("an entry that a decoder fails on does not end the following of the table")
{
    FakeLoop loop;
    FakeStore store(loop);
    const auto put = [&](const std::string &id) {
        auto entry = validEntry();
        entry["machine"] = "m-" + id;
        store.put({"servers", "", id}, entry.dump());
    };
    put("a-odd");
    put("b");
    WorkerDirectory directory({.store = store.port("e"),
                               .timers = loop.timers(),
                               .clock = loop.clock(),
                               .table = "servers",
                               .decode = [](const Row &row) -> std::optional<WorkerRegistration> {
                                   if (row.key.key.ends_with("odd")) {
                                       throw std::runtime_error("unexpected");
                                   }
                                   return platform::decodeWorker(row);
                               },
                               .isService = [](const std::string &) { return true; },
                               .changed =
                                   [] {
                                   }});
    loop.advance({1'000});
    put("c-odd");
    put("d");
    loop.advance({3'000});
    put("e");
    loop.advance({3'000});
    std::vector<std::string> ids;
    for (const auto &it : directory.workersOf("pool")) {
        ids.push_back(it.id);
    }
    CHECK(ids == std::vector<std::string>{"b", "d", "e"});
}

TEST_CASE("numbers out of range in the answers of workers and of the advice service stay within the scheduler's arithmetic")
{
    const auto answering = [](const std::string &body) {
        return TargetPort{.send = [body](TargetRequest, TargetPort::Callback callback) {
            callback({.outcome = TargetOutcome::Answered, .status = 200, .body = body});
        }};
    };
    constexpr std::int64_t plausible = 1'000'000'000'000'000;
    for (const auto *const number : {"9223372036854775807", "-9223372036854775808", "1e300"}) {
        CAPTURE(number);
        const std::string body = std::string(R"({"clock_ms":)") + number + R"(,"born":)" + number
                                 + R"(,"running":[["5c0e7a21d94b36f8.0.0.1",2,"c",50,)" + number + R"(]],"ended_runs":[]})";
        platform::makeWorkers(answering(body))
            .renew(
                {},
                {100},
                [] { return true; },
                [&](const RenewResult &it) {
                    CHECK(std::abs(it.workerClock.count) < plausible);
                    REQUIRE(it.running.size() == 1);
                    CHECK(std::abs(it.running[0].metric) < plausible);
                });
        platform::makeAdvice(answering(std::string(R"({"good":[],"valid_ms":)") + number + "}"), "a")
            .query({}, {}, {100}, [&](const AdviceResult &it) { CHECK(std::abs(it.validFor.count) < plausible); });
        const std::string vms = std::string(R"({"machines":[{"machine":"m","capacity":{"cpu":)") + number + R"(}}],"next_token":null})";
        platform::makeVms(answering(vms), "a").list({100}, [&](const VmListResult &it) {
            REQUIRE(it.vms.size() == 1);
            CHECK(std::abs(it.vms[0].capacity.cpuMilli) < plausible);
        });
    }
    // The token would be printed by recursion.
    bool answered = true;
    platform::makeVms(answering(R"({"machines":[],"next_token":)" + nested("[", "]") + "}"), "a").list({100}, [&](const VmListResult &it) {
        answered = it.answered;
    });
    CHECK_FALSE(answered);
}
