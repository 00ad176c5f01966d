// The store's answer to a submission is lost, and the write is done seconds later. The caller, who got 504, has cancelled the job by then.
// case-7 PROGRAM BINARIES FOLDER RECORD
#include "world.hpp"

#include <algorithm>
#include <cstdio>

using namespace hibiscusbridge;
using namespace review;

constexpr const char *job = "00000000000000e1";
constexpr const char *body = R"({"spec":"12000","steps":[{"count":2,"cpu":1000,"mem_mb":100,"estimate_ms":12000}]})";
constexpr std::int64_t callerDeadlineMs = 1'500;
constexpr std::int64_t cancelMs = 3'000;
constexpr std::int64_t stopTimeoutMs = 200;

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    World world(argv[1], argv[2], argv[3], argv[4]);
    world.configure(1, {"press"}, {{.name = "q", .prefix = "/q/", .service = "press"}});
    for (int i = 0; i < 2; ++i) {
        world.startWorker(world.addMachine("m" + std::to_string(i), "r" + std::to_string(i), "press"));
    }
    world.startEntries(3);
    if (!world.waitReady(Millis{15'000})) {
        world.note("the entries are not ready");
        return 2;
    }
    pause(5'000);
    if (troubleWanted()) {
        world.controlStore(R"({"silentTables":"jobs-","lateMs":6000})");
    }
    const auto submitted = world.call("POST", std::string("/q/") + job, body, 0, callerDeadlineMs);
    if (troubleWanted()) {
        world.controlStore(R"({"silentTables":"","lateMs":0})");
    }
    if (submitted.status != 200 && submitted.status != 504 && submitted.status != 0) {
        world.note("rejected: the job may not run at all");
    }
    pause(50);
    const auto cancelled = world.call("DELETE", std::string("/q/") + job, {}, 1);
    const auto cancelledAt = unixMs();
    if (cancelled.status != 200 && cancelled.status != 410) {
        world.note("the cancelling was not acknowledged");
        return 2;
    }
    pause(14'000);
    world.stateOf("/q/", job, 2);
    bool broken = false;
    for (const auto &it : world.runs()) {
        const auto end = it.to == 0 ? unixMs() : it.to;
        world.note("run " + std::to_string(it.run) + " of " + it.task + " from " + std::to_string(it.from - cancelledAt) + " to "
                   + std::to_string(end - cancelledAt) + " ms after the cancelling was acknowledged: " + (it.to == 0 ? "at work" : it.how));
        broken = broken || it.from - cancelledAt > cancelMs || end - cancelledAt > cancelMs + stopTimeoutMs;
    }
    world.note(std::string("a cancelled job was started or ran on: ") + (broken ? "yes" : "no"));
    return broken ? 1 : 0;
}
