// The platform's answers as the adapter decodes them.
#include "adapters/platformclient.hpp"

#include "adapters/httpserver.hpp"
#include "helpers/url.hpp"

#include <catch2/catch.hpp>
#include <unistd.h>

using namespace hibiscusbridge;

// Guards against an empty list read from a destroyed document: no reboot would ever start and no leaving VM be seen.
TEST_CASE("the platform's list of VMs is read whole", "[platform]")
{
    EventLoop loop;
    const auto address = "127.0.0.1:" + std::to_string(20'000 + getpid() % 10'000);
    const auto server = HttpServer::listen(loop, {.address = address}, [](const HttpRequest &, const HttpResponder &respond) {
        respond({.body = R"({"vms":[{"id":"a1","state":"live","bootCount":2},{"id":"a2","state":"leaving","bootCount":1}]})"});
    });
    REQUIRE(server.ok());
    HttpClient http(loop, {});
    PlatformClient platform(http, {.address = address, .timeout = {2'000}});
    std::vector<PlatformVm> vms;
    platform.vms().list([&](auto list) {
        vms = list.value_or(std::vector<PlatformVm>());
        loop.stop();
    });
    loop.run();
    REQUIRE(vms.size() == 2);
    CHECK(vms[0].bootCount == 2);
    CHECK(vms[1].state == PlatformVmState::Leaving);
}

// Guards against a read of other rows when a key holds '&', '#' or '%'.
TEST_CASE("the prefix of a read reaches the platform unchanged", "[platform]")
{
    EventLoop loop;
    const auto address = "127.0.0.1:" + std::to_string(20'000 + getpid() % 10'000);
    std::string query;
    const auto server = HttpServer::listen(loop, {.address = address}, [&](const HttpRequest &request, const HttpResponder &respond) {
        query = request.query;
        respond({.body = R"({"version":1,"rows":[]})"});
    });
    REQUIRE(server.ok());
    HttpClient http(loop, {});
    PlatformClient platform(http, {.address = address, .timeout = {2'000}});
    platform.table().read({.prefix = "once/a&since=9#%41", .since = 3}, [&](const auto &) { loop.stop(); });
    loop.run();
    CHECK(queryValue(query, "prefix") == "once/a&since=9#%41");
    CHECK(queryValue(query, "since") == "3");
}
