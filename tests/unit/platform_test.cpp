// Guards against acting on malformed platform rows and job submissions, and against stored values that do not survive an
// encode/decode round trip.
#include "callers.hpp"
#include "decode.hpp"
#include "jobs/codec.hpp"
#include "upkeep/poolreport.hpp"
#include "workers.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;
using namespace hibiscusbridge::jobs;

TEST_CASE("a worker row that is malformed or incomplete is rejected")
{
    const auto decode = [](const std::string &value) {
        return platform::decodeWorker({.key = {"servers", "", "w"}, .value = value});
    };
    const std::string valid =
        R"({"service":"s","address":"1.2.3.4:5","zone":"z","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq_no":4,)"
        R"("machine":"m","born":17,)"
        R"("capacity":{"cpu":1000,"mem_mb":10,"gpu":0},"labels":["a","r1"]})";
    REQUIRE(decode(valid));
    CHECK(decode(valid)->vm == "m");
    CHECK(rackOf(*decode(valid)) == "r1");
    CHECK_FALSE(decode("\xff\xfe"));
    CHECK_FALSE(decode("[]"));
    CHECK_FALSE(decode(R"({"service":"s","address":"1.2.3.4:5","state":"odd","capacity":{}})"));
    CHECK_FALSE(decode(R"({"service":7,"address":"1.2.3.4:5","state":"ready","capacity":{}})"));
    CHECK_FALSE(decode(R"({"service":"s","address":"1.2.3.4:5","state":"ready"})"));
}

TEST_CASE("a valid job submission is decoded and an invalid one is rejected")
{
    const auto spec = platform::decodeJob(R"({"spec":"x","steps":[{"count":2,"cpu":500},{"count":1,"after":[0],"may_miss":1}]})");
    REQUIRE(spec.ok());
    CHECK(spec->steps[1].after == std::vector<int>{0});
    CHECK(spec->steps[1].maxUnavailable == 1);
    CHECK_FALSE(platform::decodeJob("no json").ok());
    CHECK_FALSE(platform::decodeJob(R"({"spec":"x"})").ok());
    CHECK_FALSE(platform::decodeJob(R"({"steps":[{"count":1,"after":[0]}]})").ok());
    CHECK_FALSE(platform::decodeJob(R"({"steps":[{"count":0}]})").ok());
}

TEST_CASE("subtask names survive a round trip and malformed names are rejected")
{
    const SubtaskId id{"5c0e7a21d94b36f8", 2, 1, 17};
    CHECK(platform::subtaskName(id) == "5c0e7a21d94b36f8.2.1.17");
    CHECK(platform::parseSubtaskName(platform::subtaskName(id)) == id);
    CHECK_FALSE(platform::parseSubtaskName("5c0e.1.x.2"));
    CHECK_FALSE(platform::parseSubtaskName("5c0e"));
}

TEST_CASE("each kind of answer maps to its own HTTP status, and a refusal sets Retry-After")
{
    CHECK(platform::encodeAnswer({.kind = AnswerKind::Refused, .retryAfter = {1'200}}).status == 503);
    CHECK(platform::encodeAnswer({.kind = AnswerKind::Unknown}).status == 504);
    CHECK(platform::encodeAnswer({.kind = AnswerKind::NoJob}).status == 410);
    CHECK(headerValue(platform::encodeAnswer({.kind = AnswerKind::Refused, .retryAfter = {1'200}}).headers, "Retry-After") == "2");
}

TEST_CASE("stored jobs, progress and pool reports survive a round trip and malformed values are rejected")
{
    JobSpec spec{.id = "5c0e7a21d94b36f8", .route = "r", .payload = "p"};
    spec.steps = {{.count = 2, .need = {500, 100, 1}, .estimate = {700}}, {.count = 1, .after = {0}}};
    spec.steps[0].requiredLabel = "a";
    spec.policy = {.priority = 1, .maxAttempts = 3, .stretch = 1.6, .latencyTarget = {600}};
    CHECK(decodeSpec(spec.id, encodeSpec(spec)) == spec);
    auto record = emptyRecord(spec);
    record.phase = JobPhase::Running;
    record.occurrences[0][0][1] = {.failedRuns = {1, 2}, .lastRun = 3, .checkpoint = "c", .runs = {{3, "w", 17}}};
    CHECK(decodeRecord(spec, encodeRecord(record)) == record);
    CHECK(decodePhase(encodeRecord(record)) == JobPhase::Running);
    CHECK_FALSE(decodeRecord(spec, "[1,0,[]]"));
    CHECK_FALSE(decodeSpec(spec.id, "{}"));
    PoolReport report{.drained = {"v"}, .arrivingCpu = 5, .urgentCpu = 7, .expiredBacklog = 8, .expiredRunnableCpu = 9};
    report.vms["v"] = {1, 2, 3};
    CHECK(decodeReport(encodeReport(report)) == report);
    CHECK_FALSE(decodeReport("{}"));
}
