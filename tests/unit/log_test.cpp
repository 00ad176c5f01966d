// Log lines must stay one line of key=value pairs whatever the values hold.
#include "helpers/log.hpp"

#include <catch2/catch.hpp>

using namespace hibiscusbridge;

TEST_CASE("a value with a line end or a quote cannot forge a second pair or line", "[log]")
{
    CHECK(formatEvent("request", {{"path", "a\nevent=forged"}}) == "event=request path=\"a\\nevent=forged\"");
    CHECK(formatEvent("request", {{"path", "a\" b=c"}}) == "event=request path=\"a\\\" b=c\"");
    CHECK(formatEvent("request", {{"status", 200}}) == "event=request status=200");
}
