// Log formatting and back-pressure: values cannot inject pairs or lines, and a stalled reader does not block the process.
#include "helpers/log.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace hibiscusbridge;

TEST_CASE("a value with a newline or a quote cannot inject a key=value pair or a log line", "[log]")
{
    CHECK(formatEvent("request", {{"path", "a\nevent=forged"}}) == "event=request path=\"a\\nevent=forged\"");
    CHECK(formatEvent("request", {{"path", "a\" b=c"}}) == "event=request path=\"a\\\" b=c\"");
    CHECK(formatEvent("request", {{"status", 200}}) == "event=request status=200");
}

TEST_CASE("log lines are dropped without blocking when the reader of the pipe stalls")
{
    int fds[2] = {-1, -1};
    REQUIRE(pipe(fds) == 0);
    setupLog("info", "test", fds[1]);
    const auto before = droppedLogLines();
    // Exceeds the pipe capacity. Each event name has its own rate limit, so distinct names avoid suppression.
    const std::string text(1'000, 'x');
    for (int i = 0; i < 400; ++i) {
        logEvent(LogLevel::Info, "kind" + std::to_string(i), {{"text", text}});
    }
    CHECK(droppedLogLines() > before);
    setupLog("error", "test");
    close(fds[0]);
    close(fds[1]);
}
