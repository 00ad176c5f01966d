// Bad settings must give one clear line each instead of a start with something else than was meant.
#include "config/settings.hpp"

#include <catch2/catch.hpp>
#include <fstream>
#include <map>

using namespace hibiscusbridge;

static absl::StatusOr<Settings> read(std::vector<std::string> arguments, const std::map<std::string, std::string> &variables = {})
{
    return readSettings(std::move(arguments), [&](const std::string &name) {
        const auto it = variables.find(name);
        return it == variables.end() ? nullptr : it->second.c_str();
    });
}

static const std::vector<std::string> required{"--entry-id", "e1", "--zone", "a", "--platform", "127.0.0.1:7000"};

static absl::StatusOr<Settings> readWith(std::vector<std::string> extra, const std::map<std::string, std::string> &variables = {})
{
    auto arguments = required;
    arguments.insert(arguments.end(), extra.begin(), extra.end());
    return read(arguments, variables);
}

TEST_CASE("flags go before variables, variables before defaults", "[settings]")
{
    const std::map<std::string, std::string> variables{{"HIBISCUSBRIDGE_LOG_LEVEL", "debug"}, {"HIBISCUSBRIDGE_READY_DELAY_MS", "7"}};
    const auto settings = readWith({"--log-level", "warn"}, variables);
    REQUIRE(settings.ok());
    CHECK(settings->logLevel == "warn");
    CHECK(settings->readyDelay == Millis{7});
    CHECK(settings->maxBodyBytes == 1048576);
}

TEST_CASE("a bad value names its flag and the bounds", "[settings]")
{
    CHECK(readWith({"--ready-delay-ms", "60001"}).status().message() == "--ready-delay-ms: '60001' is not a whole number from 0 to 60000");
    CHECK(readWith({"--ready-delay-ms", "5s"}).status().message() == "--ready-delay-ms: '5s' is not a whole number from 0 to 60000");
    CHECK(readWith({"--caller-address", "localhost:80"}).status().message()
          == "--caller-address: 'localhost:80' is not an IPv4 number and a port");
    CHECK(readWith({"--log-level", "loud"}).status().message() == "--log-level: 'loud' is not debug, info, warn or error");
    CHECK(read({"--zone", "a"}).status().message() == "--entry-id or HIBISCUSBRIDGE_ENTRY_ID must be set");
    CHECK_FALSE(readWith({"--no-such-flag", "1"}).ok());
    CHECK_FALSE(readWith({"--operator-address", "127.0.0.1:8080"}).ok());
}

TEST_CASE("secrets come from a variable or a file and never from a flag", "[settings]")
{
    CHECK_FALSE(readWith({"--bootstrap-token", "x"}).ok());
    CHECK(readWith({}, {{"HIBISCUSBRIDGE_BOOTSTRAP_TOKEN", "x"}})->bootstrapToken == "x");
    CHECK_FALSE(readWith({}, {{"HIBISCUSBRIDGE_BOOTSTRAP_TOKEN_FILE", "/nonexistent"}}).ok());
    CHECK_FALSE(readWith({}, {{"HIBISCUSBRIDGE_CURVE_PUBLIC_KEY", "x"}}).ok());
}

TEST_CASE("the operators' page has the table of settings as the program knows it", "[settings]")
{
    std::ifstream file(OPERATIONS_PAGE);
    const std::string page(std::istreambuf_iterator<char>(file), {});
    CHECK(page.find(settingsMarkdown()) != std::string::npos);
}
