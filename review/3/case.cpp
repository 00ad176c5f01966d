// A job runs when a new configuration sends its queue to another service.
//
// TROUBLE=0: the new configuration changes only a time-out.
#include "stand.hpp"

#include <algorithm>
#include <cstdio>
#include <unistd.h>

using namespace stand;

constexpr Resources machineSize{32'000, 65'536};
/// `visible_ms` and `config_apply_ms` of the sheets.
constexpr std::int64_t visibleMs = 3'000;
constexpr std::int64_t configApplyMs = 2'000;

int main(int, char **argv)
{
    Deployment site(argv[1], 3);
    const auto verdict = [&](int code, const std::string &text) {
        site.record.line("verdict: " + text);
        std::printf("%s\n", text.c_str());
        std::fflush(stdout);
        site.entries.clear();
        if (!getenv("STAND_FOLDER")) {
            [[maybe_unused]] const int ignored = system(("rm -rf '" + site.folder + "'").c_str());
        }
        _exit(code);
    };
    for (int i = 1; i <= 4; ++i) {
        const auto n = std::to_string(i);
        site.fleet.add("i-7f3a91c" + n, "m-0a3f" + n, i <= 2 ? "layout" : "press", "r" + n, machineSize);
    }
    const std::vector<std::string> services{"layout", "press"};
    site.configure(1, {{"r-proofs", "/proofs/", "layout"}, {"r-covers", "/covers/", "press"}}, services);
    site.start();
    if (!waitFor([&] { return site.client(0, "GET", "/proofs/00000000000000ff").status == 410; }, 10'000)) {
        verdict(2, "the entries don't serve");
    }
    const std::string path = "/proofs/a000000000000001";
    const Json first{{"count", 4}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 6'000}};
    const Json second{{"count", 2}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 6'000}, {"after", {0}}};
    const Json job{{"spec", "ms=6000"}, {"steps", {first, second}}};
    if (!site.submit(0, path, job.dump())) {
        verdict(2, "the job was not accepted");
    }
    if (!waitFor([&] { return site.state(1, path) == "running"; }, 5'000)) {
        verdict(2, "the job does not run");
    }
    sleepMs(visibleMs);
    if (trouble()) {
        site.configure(3, {{"r-proofs", "/proofs/", "press"}, {"r-covers", "/covers/", "press"}}, services);
    } else {
        site.configure(3, {{"r-proofs", "/proofs/", "layout"}, {"r-covers", "/covers/", "press"}}, services);
    }
    sleepMs(configApplyMs + 1'000);
    int unknown = 0;
    for (std::size_t i = 0; i < site.entries.size(); ++i) {
        unknown += site.state(i, path) == "410" ? 1 : 0;
    }
    // Longest time in which nothing of the job runs.
    std::int64_t idleSince = now();
    std::int64_t longestIdle = 0;
    std::int64_t nextRead = now();
    bool completed = false;
    for (const auto until = now() + 20'000; now() < until && !completed; sleepMs(50)) {
        std::size_t running = 0;
        for (const auto &it : site.fleet.workers()) {
            running += it->running();
        }
        idleSince = running > 0 ? now() : idleSince;
        longestIdle = std::max(longestIdle, now() - idleSince);
        if (now() >= nextRead) {
            nextRead = now() + 500;
            completed = site.state(0, path) == "completed";
        }
    }
    const auto events = site.fleet.events();
    const auto ends = [&](const char *how) {
        return std::count_if(events.begin(), events.end(), [&](const Event &it) { return it.kind == Event::Kind::Ended && it.how == how; });
    };
    const auto text = "the job of 6 subtasks was asked for at 3 entries, " + std::to_string(unknown) + " answered 410; "
                      + std::to_string(ends("done")) + " runs ended done, " + std::to_string(ends("lapsed")) + " lapsed; then nothing of it ran for " + std::to_string(longestIdle)
                      + " ms, and it is " + (completed ? "completed" : "not completed");
    if (unknown > 0) {
        verdict(1, "LOST: " + text);
    }
    verdict(completed ? 0 : 2, "held: " + text);
}
