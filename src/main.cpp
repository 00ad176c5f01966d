// Program entry point: parses and dispatches the subcommand.
#include "cli/commands.hpp"
#include "entry/entry.hpp"
#include "helpers/log.hpp"
#include "node/node.hpp"

#include <cstdlib>
#include <iostream>

using namespace hibiscusbridge;

constexpr auto versionText = "hibiscusbridge 0.1.0\n";

static const char *readEnvironment(const std::string &name)
{
    return std::getenv(name.c_str());
}

static ExitCode serve(std::vector<std::string> arguments)
{
    const auto settings = readSettings(std::move(arguments), readEnvironment);
    if (absl::IsCancelled(settings.status())) {
        return ExitCode::Success;
    }
    if (!settings.ok()) {
        std::cerr << "hibiscusbridge serve: " << settings.status().message() << '\n';
        return ExitCode::Usage;
    }
    setupLog(settings->logLevel, settings->entryId);
    EventLoop loop;
    if (const auto status = runEntry(loop, *settings); !status.ok()) {
        logEvent(LogLevel::Error, "entry_failed", {{"error", std::string(status.message())}});
        return ExitCode::Failure;
    }
    return ExitCode::Success;
}

/// Runs an entry with the settings file named by the environment variable HIBISCUSBRIDGE_CONFIG.
static ExitCode runPlatformEntry()
{
    const char *const path = readEnvironment("HIBISCUSBRIDGE_CONFIG");
    if (!path) {
        std::cerr << "hibiscusbridge entry: HIBISCUSBRIDGE_CONFIG is not set\n";
        return ExitCode::Usage;
    }
    const auto parsed = jobs::readEntrySettings(path);
    if (!parsed.ok()) {
        std::cerr << "hibiscusbridge entry: " << path << ": " << parsed.status().message() << '\n';
        return ExitCode::Usage;
    }
    setupLog("info", parsed->settings.name);
    for (const auto &it : parsed->unknownKeys) {
        logEvent(LogLevel::Warn, "unknown_setting", {{"key", it}});
    }
    EventLoop loop;
    if (const auto status = jobs::runNode(loop, parsed->settings, path); !status.ok()) {
        logEvent(LogLevel::Error, "entry_failed", {{"error", std::string(status.message())}});
        return ExitCode::Failure;
    }
    return ExitCode::Success;
}

/// Validates a settings file of the `entry` command without starting an entry.
static ExitCode checkSettings(const std::vector<std::string> &arguments)
{
    if (arguments.size() != 2) {
        std::cerr << "usage: hibiscusbridge check-settings FILE\n";
        return ExitCode::Usage;
    }
    const auto parsed = jobs::readEntrySettings(arguments[1]);
    if (!parsed.ok()) {
        std::cerr << arguments[1] << ": " << parsed.status().message() << '\n';
        return ExitCode::Failure;
    }
    for (const auto &it : parsed->unknownKeys) {
        std::cout << arguments[1] << ": unknown key " << it << " is ignored\n";
    }
    std::cout << arguments[1] << ": ok, entry " << parsed->settings.name << " in zone " << parsed->settings.zone << '\n';
    return ExitCode::Success;
}

static ExitCode run(const std::vector<std::string> &arguments)
{
    if (arguments.empty() || arguments[0] == "--help" || arguments[0] == "help") {
        std::cout << "usage: hibiscusbridge COMMAND [--help]\n\n"
                     "  entry            run an entry on the platform\n"
                     "  check-settings   validate a settings file of entry\n"
                     "  serve            run an entry against the simulated services\n"
                     "  settings         print the settings of serve as a Markdown table\n"
                     "  version\n"
                  << commandOverview();
        return arguments.empty() ? ExitCode::Usage : ExitCode::Success;
    }
    if (arguments[0] == "version" || arguments[0] == "--version") {
        std::cout << versionText;
        return ExitCode::Success;
    }
    if (arguments[0] == "settings") {
        std::cout << settingsMarkdown();
        return ExitCode::Success;
    }
    if (arguments[0] == "check-settings") {
        return checkSettings(arguments);
    }
    if (arguments[0] == "entry") {
        return runPlatformEntry();
    }
    if (arguments[0] == "serve") {
        return serve({arguments.begin() + 1, arguments.end()});
    }
    return runOperatorCommand(arguments, readEnvironment);
}

int main(int argc, char **argv)
{
    return static_cast<int>(run({argv + 1, argv + argc}));
}
