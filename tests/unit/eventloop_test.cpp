// The event loop serves descriptors and timers fairly.
#include "adapters/eventloop.hpp"

#include <array>
#include <catch2/catch.hpp>
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
