// Chooses the subcommand.
#include "entry/entry.hpp"
#include "helpers/log.hpp"

#include <cstdlib>
#include <iostream>

using namespace hibiscusbridge;

constexpr int exitFailure = 1;
constexpr int exitUsage = 2;

static int serve(std::vector<std::string> arguments)
{
    const auto settings = readSettings(std::move(arguments), [](const std::string &name) { return std::getenv(name.c_str()); });
    if (absl::IsCancelled(settings.status())) {
        return 0;
    }
    if (!settings.ok()) {
        std::cerr << "hibiscusbridge serve: " << settings.status().message() << '\n';
        return exitUsage;
    }
    setupLog(settings->logLevel, settings->entryId);
    EventLoop loop;
    if (const auto status = runEntry(loop, *settings); !status.ok()) {
        logEvent(LogLevel::Error, "start_failed", {{"error", std::string(status.message())}});
        return exitFailure;
    }
    return 0;
}

int main(int argc, char **argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (!arguments.empty() && arguments[0] == "serve") {
        return serve({arguments.begin() + 1, arguments.end()});
    }
    std::cerr << "usage: hibiscusbridge serve [--help]\n";
    return exitUsage;
}
