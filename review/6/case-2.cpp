// A route is removed and added again for another service while an accepted job of it runs.
// case-6 PROGRAM BINARIES FOLDER RECORD
#include "world.hpp"

#include <cstdio>

using namespace hibiscusbridge;
using namespace review;

constexpr const char *prefix = "/q/";
constexpr const char *job = "00000000000000a1";
constexpr const char *body = R"({"spec":"6000","steps":[{"count":4,"cpu":1000,"mem_mb":100,"estimate_ms":6000}]})";

int main(int argc, char **argv)
{
    if (argc != 5) {
        return 2;
    }
    World world(argv[1], argv[2], argv[3], argv[4]);
    const std::vector<std::string> services{"desk", "press"};
    // `desk` has another queue, so it stays in use.
    const Route other{.name = "other", .prefix = "/other/", .service = "desk"};
    world.configure(3, services, {other, {.name = "q", .prefix = prefix, .service = "desk"}});
    for (const auto &it : services) {
        for (int i = 0; i < 2; ++i) {
            world.startWorker(world.addMachine(it + std::to_string(i), "r" + std::to_string(i), it));
        }
    }
    world.startEntries(3);
    if (!world.waitReady(Millis{15'000})) {
        world.note("the entries are not ready");
        return 2;
    }
    pause(4'000);
    if (world.call("POST", std::string(prefix) + job, body).status != 200) {
        world.note("the job was not accepted");
        return 2;
    }
    pause(1'500);
    if (troubleWanted()) {
        world.configure(7, services, {other, {.name = "q-2", .prefix = prefix, .service = "press"}});
    } else {
        world.configure(7, services, {other, {.name = "q", .prefix = prefix, .service = "desk", .maxAttempts = 2}});
    }
    // config_apply_ms is 2,000 and visible_ms 3,000.
    pause(2'500);
    bool lost = false;
    for (std::size_t entry = 0; entry < 3; ++entry) {
        const auto state = world.stateOf(prefix, job, entry);
        lost = lost || state == "HTTP 410";
    }
    // A copy of the submission that was accepted arrives late.
    world.call("POST", std::string(prefix) + job, body, 1);
    pause(12'000);
    const auto state = world.stateOf(prefix, job, 2);
    bool twice = false;
    const auto runs = world.runs();
    for (const auto &it : runs) {
        world.note("run " + std::to_string(it.run) + " of " + it.task + " on " + it.worker + " from "
                   + std::to_string(it.from - runs.front().from) + " to " + std::to_string(it.to - runs.front().from) + " ms: " + it.how);
        for (const auto &before : runs) {
            const bool overlaps = before.from < it.from && before.task == it.task && (before.to == 0 || it.from < before.to);
            const bool afterDone = before.task == it.task && before.how == "done" && before.to < it.from;
            twice = twice || overlaps || afterDone;
        }
    }
    if (lost) {
        world.note("LOST: the accepted job was answered 410");
    }
    if (twice) {
        world.note("TWICE: a subtask ran at two workers at the same time, or after it had ended done");
    }
    std::printf("410 for an accepted job: %s; a subtask ran twice: %s; state at the end: %s\n",
                lost ? "yes" : "no",
                twice ? "yes" : "no",
                state.c_str());
    return lost || twice || state != "completed" ? 1 : 0;
}
