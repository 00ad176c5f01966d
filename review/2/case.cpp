// 640 small subtasks run on one worker. The entry that owns the pool is killed just before they end; the next owner finds more ended
// runs than the worker lists at once.
//
// TROUBLE=0: no entry is killed.
#include "stand.hpp"

#include <algorithm>
#include <cstdio>
#include <unistd.h>

using namespace stand;

constexpr int subtasks = 640;
constexpr Resources machineSize{32'000, 65'536};
constexpr std::int64_t durationMs = 6'000;
/// How long the killed process is away, as in `node_kill` of the site file.
constexpr std::int64_t downMs = 3'500;

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
    site.fleet.add("i-7f3a91c1", "m-0a3f1", "quotes", "r1", machineSize);
    site.fleet.add("i-7f3a91c2", "m-0a3f2", "quotes", "r2", machineSize);
    site.configure(1, {{"r-quotes", "/quotes/", "quotes"}}, {"quotes"});
    site.start();
    if (!waitFor([&] { return site.client(0, "GET", "/quotes/00000000000000ff").status == 410; }, 10'000)) {
        verdict(2, "the entries don't serve");
    }
    const Json step{{"count", subtasks}, {"cpu", 50}, {"mem_mb", 50}, {"estimate_ms", durationMs}};
    const Json job{{"spec", "ms=" + std::to_string(durationMs)}, {"steps", {step}}};
    const std::string path = "/quotes/a000000000000001";
    if (!site.submit(0, path, job.dump())) {
        verdict(2, "the job was not accepted");
    }
    const auto running = [&] {
        std::size_t n = 0;
        for (const auto &it : site.fleet.workers()) {
            n += it->running();
        }
        return n;
    };
    if (!waitFor([&] { return running() == subtasks; }, 5'000)) {
        verdict(2, "only " + std::to_string(running()) + " subtasks run at once");
    }
    const auto events = site.fleet.events();
    const auto first = std::find_if(events.begin(), events.end(), [](const Event &it) { return it.kind == Event::Kind::Started; });
    const auto owner = site.owner("quotes");
    if (owner == std::string::npos) {
        verdict(2, "the pool has no owner");
    }
    // Shortly before the first subtask ends.
    sleepMs(std::max<std::int64_t>(first->at + durationMs - 300 - now(), 0));
    if (running() != subtasks) {
        verdict(2, "subtasks have ended too early");
    }
    if (trouble()) {
        site.entries[owner]->signal(9);
        site.entries[owner]->waitForEnd();
        sleepMs(downMs);
        site.entries[owner]->start();
    }
    waitFor([&] { return site.state((owner + 1) % 3, path) == "completed"; }, 25'000);
    sleepMs(2'000);

    // A start after a run has ended `done`, if that end is acknowledged then or later and the lease has not lapsed between the two.
    const auto all = site.fleet.events();
    int broken = 0;
    std::string example;
    for (std::size_t i = 0; i < all.size(); ++i) {
        if (all[i].kind != Event::Kind::Ended || all[i].how != "done") {
            continue;
        }
        bool acknowledged = false;
        bool lapsed = false;
        const Event *again = nullptr;
        for (std::size_t k = i + 1; k < all.size(); ++k) {
            const auto &it = all[k];
            lapsed = lapsed || (!acknowledged && it.kind == Event::Kind::LeaseLapsed && it.worker == all[i].worker);
            acknowledged =
                acknowledged || (it.kind == Event::Kind::Acknowledged && it.worker == all[i].worker && it.number >= all[i].number);
            if (it.kind == Event::Kind::Started && it.task == all[i].task) {
                again = &it;
            }
        }
        if (again && acknowledged && !lapsed) {
            ++broken;
            example = all[i].task + " run " + std::to_string(all[i].run) + " ended done at " + std::to_string(all[i].at) + " ms, run "
                      + std::to_string(again->run) + " started at " + std::to_string(again->at) + " ms";
        }
    }
    const auto starts = std::count_if(all.begin(), all.end(), [](const Event &it) { return it.kind == Event::Kind::Started; });
    if (broken > 0) {
        verdict(1,
                "TWICE: " + std::to_string(broken) + " subtasks were started again after a run had ended done (" + std::to_string(starts)
                    + " starts for " + std::to_string(subtasks) + " subtasks), e.g. " + example);
    }
    const auto state = site.state((owner + 1) % 3, path);
    verdict(state == "completed" ? 0 : 2, "held; " + std::to_string(starts) + " starts, the job is '" + state + "'");
}
