// A job with many small subtasks is accepted. Other jobs of the same queue follow; are they run?
//
// TROUBLE=0: the first job has 300 subtasks instead of 2,000.
#include "stand.hpp"

#include <algorithm>
#include <cstdio>
#include <unistd.h>

using namespace stand;

/// The rule on jobs that aren't run: nothing of it runs for 3 s although there is room for it twice over and under half of the service's
/// capacity is in use. 4 calm seconds come first.
constexpr std::int64_t idleMs = 7'000;
/// Jobs are asked for so long after the last one was handed in.
constexpr std::int64_t finishMs = 14'000;
constexpr std::size_t machines = 12;
constexpr Resources machineSize{32'000, 65'536};

static std::string job(int count, int cpu, int ms)
{
    return Json{{"spec", "ms=" + std::to_string(ms)}, {"steps", {{{"count", count}, {"cpu", cpu}, {"mem_mb", 100}, {"estimate_ms", ms}}}}}
        .dump();
}

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
    for (std::size_t i = 0; i < machines; ++i) {
        const auto n = std::to_string(i + 1);
        site.fleet.add("i-7f3a91c" + n, "m-0a3f" + n, "renders", "r" + std::to_string(i / 4), machineSize);
    }
    site.configure(1, {{"r-renders", "/renders/", "renders"}}, {"renders"});
    site.start();
    if (!waitFor([&] { return site.client(0, "GET", "/renders/00000000000000ff").status == 410; }, 10'000)) {
        verdict(2, "the entries don't serve");
    }
    // A first small job shows that the pool works.
    const auto runs = [&](const std::string &id) {
        const auto events = site.fleet.events();
        return std::any_of(
            events.begin(), events.end(), [&](const Event &it) { return it.kind == Event::Kind::Started && it.task.starts_with(id); });
    };
    if (!site.submit(0, "/renders/a000000000000001", job(4, 500, 300))
        || !waitFor([&] { return site.state(1, "/renders/a000000000000001") == "completed"; }, 10'000)) {
        verdict(2, "the first job was not completed");
    }
    const int count = trouble() ? 2'000 : 300;
    if (!site.submit(0, "/renders/b000000000000001", job(count, 100, 1'000))) {
        verdict(trouble() ? 0 : 2, "the large job was not accepted");
    }
    std::vector<std::string> small;
    for (int i = 1; i <= 5; ++i) {
        const std::string id = "c00000000000000" + std::to_string(i);
        if (!site.submit(static_cast<std::size_t>(i), "/renders/" + id, job(4, 500, 300))) {
            verdict(2, "a small job was not accepted");
        }
        small.push_back(id);
        sleepMs(300);
    }
    const auto until = now() + finishMs;
    std::int64_t idleSince = now();
    std::int64_t longestIdle = 0;
    while (now() < until) {
        std::size_t running = 0;
        for (const auto &it : site.fleet.workers()) {
            running += it->running();
        }
        const bool waiting = std::any_of(small.begin(), small.end(), [&](const auto &it) { return !runs(it); });
        if (running > 0 || !waiting) {
            idleSince = now();
        }
        longestIdle = std::max(longestIdle, now() - idleSince);
        sleepMs(100);
    }
    std::string open;
    for (const auto &it : small) {
        if (const auto state = site.state(2, "/renders/" + it); state != "completed") {
            open += " " + it + "=" + state;
        }
    }
    const auto large = site.state(2, "/renders/b000000000000001");
    if (longestIdle >= idleMs) {
        verdict(1,
                "LOST: all " + std::to_string(machines) + " workers were idle for " + std::to_string(longestIdle)
                    + " ms while accepted jobs waited; the large job is '" + large + "', open small jobs:" + open);
    }
    verdict(open.empty() ? 0 : 2, "held; the large job is '" + large + "', open small jobs:" + (open.empty() ? " none" : open));
}
