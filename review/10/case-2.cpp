// A start order gets no answer and is carried out seconds later, when its worker has just restarted under its id. The subtask runs
// elsewhere by then. case-10 PROGRAM BINARIES FOLDER RECORD
#include "proxy.hpp"
#include "world.hpp"

#include <algorithm>
#include <cstdio>

using namespace hibiscusbridge;
using namespace review;

constexpr const char *job = "00000000000000d1";
constexpr const char *body = R"({"spec":"9000","steps":[{"count":1,"cpu":3000,"mem_mb":100,"estimate_ms":9000}]})";
/// Fits only on the larger worker, beside which the first job's second start is placed then.
constexpr const char *other = "00000000000000d2";
constexpr const char *otherBody = R"({"spec":"12000","steps":[{"count":1,"cpu":6000,"mem_mb":100,"estimate_ms":12000}]})";
constexpr std::int64_t lateMs = 3'400;
constexpr std::int64_t crashAfterMs = 3'200;
constexpr std::int64_t downMs = 400;

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    World world(argv[1], argv[2], argv[3], argv[4]);
    world.configure(1, {"press"}, {{.name = "q", .prefix = "/q/", .service = "press"}});
    auto &small = world.addMachine("a", "r0", "press");
    small.fixedId = "i-a";
    small.fixedAddress = freeAddress();
    small.proxyAddress = freeAddress();
    Proxy path(small.proxyAddress, small.fixedAddress);
    world.startWorker(small);
    auto &large = world.addMachine("b", "r1", "press");
    large.cores = 16;
    world.startWorker(large);
    world.startEntries(3);
    if (!world.waitReady(Millis{15'000})) {
        world.note("the entries are not ready");
        return 2;
    }
    pause(5'000);
    const auto begin = unixMs();
    if (troubleWanted()) {
        path.makeStartsLate(lateMs);
        world.note("start orders to worker " + small.life.id + " get no answer and are carried out " + std::to_string(lateMs)
                   + " ms later");
    }
    if (world.call("POST", std::string("/q/") + job, body).status != 200) {
        return 2;
    }
    pause(300);
    if (world.call("POST", std::string("/q/") + other, otherBody).status != 200) {
        return 2;
    }
    pause(700);
    path.makeStartsLate(0);
    pause(crashAfterMs - (unixMs() - begin));
    if (troubleWanted()) {
        world.killWorker(small);
        pause(downMs);
        world.startWorker(small);
    }
    pause(12'000);
    world.stateOf("/q/", job);
    bool twice = false;
    const auto runs = world.runs();
    const auto last = [](const RunSeen &run) {
        return run.to == 0 ? unixMs() : run.to;
    };
    for (const auto &it : runs) {
        world.note("run " + std::to_string(it.run) + " of " + it.task + " on " + it.worker + " from " + std::to_string(it.from - begin)
                   + " to " + std::to_string(last(it) - begin) + " ms: " + it.how);
        for (const auto &before : runs) {
            if (before.task == it.task && before.from < it.from && it.from < last(before)) {
                twice = true;
                world.note("TWICE: run " + std::to_string(before.run) + " on " + before.worker + " and run " + std::to_string(it.run)
                           + " on " + it.worker + " overlap by " + std::to_string(std::min(last(before), last(it)) - it.from) + " ms");
            }
        }
    }
    world.note(std::string("a subtask ran twice at the same time: ") + (twice ? "yes" : "no"));
    return twice ? 1 : 0;
}
