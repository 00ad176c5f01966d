// The event loop serves descriptors and timers fairly.
#include "adapters/eventloop.hpp"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <ctime>
#include <unistd.h>
#include <vector>

using namespace hibiscusbridge;

TEST_CASE("descriptors that are ready are served before timers that are due")
{
    // Guards against a late process that gives up calls by their timers although the answers have arrived.
    constexpr std::size_t pipes = 40;
    EventLoop loop;
    std::vector<std::array<int, 2>> fds(pipes);
    std::size_t served = 0;
    int timers = 0;
    for (auto &it : fds) {
        REQUIRE(pipe(it.data()) == 0);
        REQUIRE(write(it[1], "x", 1) == 1);
        loop.watch(it[0], {.read = true}, [&, fd = it[0]](FdInterest) {
            loop.unwatch(fd);
            if (++served == pipes) {
                loop.stop();
            }
        });
    }
    std::function<void()> again = [&] {
        ++timers;
        loop.post(again);
    };
    loop.post(again);
    loop.run();
    CHECK(served == pipes);
    CHECK(timers <= 1);
    for (const auto &it : fds) {
        close(it[0]);
        close(it[1]);
    }
}

TEST_CASE("a loop whose watched descriptors were closed by others ends without using freed handlers")
{
    // Guards against the crash at the exit of a process: the reactor keeps a handler that it could not remove.
    constexpr std::size_t pipes = 8;
    std::vector<std::array<int, 2>> fds(pipes);
    {
        EventLoop loop;
        for (auto &it : fds) {
            REQUIRE(pipe(it.data()) == 0);
            loop.watch(it[0], {.read = true}, [](FdInterest) {});
        }
        for (const auto &it : fds) {
            close(it[0]);
        }
    }
    for (const auto &it : fds) {
        CHECK(close(it[1]) == 0);
    }
}

TEST_CASE("a loop that was held up reports how long and whether the process was busy, also within the same round")
{
    // Guards against an owner that stands still without a trace in logs and metrics.
    const bool busy = GENERATE(true, false);
    CAPTURE(busy);
    constexpr Millis length{400};
    const auto clock = systemClock();
    EventLoop loop;
    std::vector<LoopDelay> reports;
    LoopDelay seenBetween;
    loop.onDelay([&](const LoopDelay &delay) { reports.push_back(delay); });
    loop.timers().after({20}, [&] {
        const auto begin = clock.boot();
        const auto cpuBegin = std::clock();
        // Processor time, so that the test holds on a machine with other work.
        while (busy ? (std::clock() - cpuBegin) * 1'000 / CLOCKS_PER_SEC < length.count : clock.boot() - begin < length) {
            if (!busy) {
                usleep(10'000);
            }
        }
    });
    loop.timers().after({20}, [&] { seenBetween = loop.lastDelay(); });
    loop.timers().after({30}, [&] { loop.stop(); });
    loop.run();
    const auto longest = std::max_element(reports.begin(), reports.end(), [](const auto &a, const auto &b) { return a.length < b.length; });
    REQUIRE(longest != reports.end());
    CHECK(longest->length >= length);
    CHECK(seenBetween.length >= length);
    CHECK((longest->cpu >= length / 2) == busy);
}
