// Jobs are completed and kept for their time. The store is down for 4.5 s while the owner wants to remove them, and drops its history
// later.
//
// TROUBLE=0: the store is not down.
#include "stand.hpp"

#include <algorithm>
#include <cstdio>
#include <unistd.h>

using namespace stand;

constexpr Resources machineSize{32'000, 65'536};
constexpr int jobStatusSeconds = 20;
/// The product keeps ended jobs for one and a half times `status_s`, and looks for older ones every 5 s.
constexpr std::int64_t retentionMs = jobStatusSeconds * 1'500;
constexpr std::int64_t downMs = 4'500;

int main(int, char **argv)
{
    Deployment site(argv[1], 3, {.jobStatusSeconds = jobStatusSeconds});
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
    for (int i = 1; i <= 3; ++i) {
        const auto n = std::to_string(i);
        site.fleet.add("i-7f3a91c" + n, "m-0a3f" + n, "payments", "r" + n, machineSize);
    }
    site.configure(1, {{"r-payments", "/payments/", "payments"}}, {"payments"});
    site.start();
    if (!waitFor([&] { return site.client(0, "GET", "/payments/00000000000000ff").status == 410; }, 10'000)) {
        verdict(2, "the entries don't serve");
    }
    const Json step{{"count", 2}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 300}};
    const Json job{{"spec", "ms=300"}, {"steps", {step}}};
    std::vector<std::string> paths;
    const auto firstAt = now();
    // One job every 250 ms for 6 s, so that some are due for removal while the store is down.
    for (int i = 0; i < 24; ++i) {
        char id[17];
        std::snprintf(id, sizeof id, "a0000000000000%02d", i);
        paths.push_back(std::string("/payments/") + id);
        if (!site.submit(static_cast<std::size_t>(i % 3), paths.back(), job.dump())) {
            verdict(2, "a job was not accepted");
        }
        sleepMs(250);
    }
    for (const auto &it : paths) {
        if (!waitFor([&] { return site.state(0, it) == "completed"; }, 5'000)) {
            verdict(2, "a job was not completed");
        }
    }
    sleepMs(firstAt + retentionMs + 2'000 - now());
    site.record.line("store: down for " + std::to_string(trouble() ? downMs : 0) + " ms");
    site.store.isDown = trouble();
    sleepMs(downMs);
    site.store.isDown = false;
    sleepMs(6'000);
    site.store.forgetHistory();
    sleepMs(10'000);
    const auto events = site.fleet.events();
    int again = 0;
    std::string example;
    for (std::size_t i = 0; i < events.size(); ++i) {
        if (events[i].kind != Event::Kind::Ended || events[i].how != "done") {
            continue;
        }
        for (std::size_t k = i + 1; k < events.size(); ++k) {
            if (events[k].kind == Event::Kind::Started && events[k].task == events[i].task) {
                ++again;
                example = events[i].task + " ended done at " + std::to_string(events[i].at) + " ms and was started again at "
                          + std::to_string(events[k].at) + " ms as run " + std::to_string(events[k].run);
                break;
            }
        }
    }
    if (again > 0) {
        verdict(1, "TWICE: " + std::to_string(again) + " subtasks of completed jobs ran again, e.g. " + example);
    }
    verdict(0, "held; no subtask of " + std::to_string(paths.size()) + " completed jobs ran again");
}
