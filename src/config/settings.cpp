// Reads settings with TCLAP and the environment.
#include "config/settings.hpp"

#include "adapters/httpserver.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

namespace hibiscusbridge
{

static std::int64_t toNumber(std::string_view text)
{
    std::int64_t n = 0;
    std::from_chars(text.data(), text.data() + text.size(), n);
    return n;
}

static std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> items;
    std::istringstream stream{std::string(text)};
    for (std::string it; std::getline(stream, it, ',');) {
        items.push_back(it);
    }
    return items;
}

using S = Settings;
using V = std::string_view;

constexpr std::array specs{
    SettingSpec{
        "entry-id", SettingKind::Text, "", 0, 0, "name of this entry, unique among the entries", [](S &s, V v) { s.entryId = v; }, true},
    SettingSpec{"zone", SettingKind::Text, "", 0, 0, "availability zone of this entry", [](S &s, V v) { s.zone = v; }, true},
    SettingSpec{"platform", SettingKind::Address, "", 0, 0, "platform service", [](S &s, V v) { s.platformAddress = v; }, true},
    SettingSpec{"caller-address",
                SettingKind::Address,
                "127.0.0.1:8080",
                0,
                0,
                "listens for callers",
                [](S &s, V v) {
                    s.callerAddress = v;
                }},
    SettingSpec{"operator-address",
                SettingKind::Address,
                "127.0.0.1:8081",
                0,
                0,
                "listens for operators",
                [](S &s, V v) {
                    s.operatorAddress = v;
                }},
    SettingSpec{"peer-address",
                SettingKind::Address,
                "127.0.0.1:8082",
                0,
                0,
                "listens for other entries",
                [](S &s, V v) {
                    s.peerAddress = v;
                }},
    SettingSpec{"peers",
                SettingKind::AddressList,
                "",
                0,
                0,
                "other entries, for a start while the platform is down",
                [](S &s, V v) {
                    s.seedPeers = splitList(v);
                }},
    SettingSpec{"log-level",
                SettingKind::Text,
                "info",
                0,
                0,
                "debug, info, warn or error",
                [](S &s, V v) {
                    s.logLevel = v;
                }},
    SettingSpec{"ready-delay-ms",
                SettingKind::Milliseconds,
                "5000",
                0,
                60'000,
                "time to go on accepting after SIGTERM",
                [](S &s, V v) {
                    s.readyDelay = {toNumber(v)};
                }},
    SettingSpec{"stop-grace-ms",
                SettingKind::Milliseconds,
                "60000",
                0,
                600'000,
                "longest time for requests in flight to finish after SIGTERM",
                [](S &s, V v) {
                    s.stopGrace = {toNumber(v)};
                }},
    SettingSpec{"platform-timeout-ms",
                SettingKind::Milliseconds,
                "2000",
                50,
                60'000,
                "time for one call of the platform",
                [](S &s, V v) {
                    s.platformTimeout = {toNumber(v)};
                }},
    SettingSpec{
        "once-retention-ms",
        SettingKind::Milliseconds,
        "86400000",
        3'600'000,
        2'592'000'000,
        "time to keep at-most-once records after their last write; a key may be used again after it; the longest of all entries counts",
        [](S &s, V v) {
            s.onceRetention = {toNumber(v)};
        }},
    SettingSpec{"max-body-bytes",
                SettingKind::Count,
                "1048576",
                1,
                64 << 20,
                "longest request body",
                [](S &s, V v) {
                    s.maxBodyBytes = static_cast<std::uint64_t>(toNumber(v));
                }},
    SettingSpec{"max-connections",
                SettingKind::Count,
                "4096",
                1,
                65'536,
                "open connections of callers",
                [](S &s, V v) {
                    s.maxConnections = static_cast<std::uint64_t>(toNumber(v));
                }},
    SettingSpec{"bootstrap-token",
                SettingKind::Secret,
                "",
                0,
                0,
                "bearer token for the first section of a new document",
                [](S &s, V v) {
                    s.bootstrapToken = v;
                }},
    SettingSpec{"curve-public-key",
                SettingKind::Secret,
                "",
                0,
                0,
                "CURVE public key of the entries",
                [](S &s, V v) {
                    s.curvePublicKey = v;
                }},
    SettingSpec{"curve-secret-key",
                SettingKind::Secret,
                "",
                0,
                0,
                "CURVE secret key of the entries",
                [](S &s, V v) {
                    s.curveSecretKey = v;
                }},
};

std::span<const SettingSpec> settingSpecs()
{
    return specs;
}

std::string environmentName(std::string_view flag)
{
    std::string name = "HIBISCUSBRIDGE_";
    for (const char c : flag) {
        name += c == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

static absl::Status checkNumber(const SettingSpec &spec, std::string_view value)
{
    std::int64_t n = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), n);
    if (ec != std::errc() || end != value.data() + value.size() || n < spec.min || n > spec.max) {
        return absl::InvalidArgumentError("--" + std::string(spec.flag) + ": '" + std::string(value) + "' is not a whole number from "
                                          + std::to_string(spec.min) + " to " + std::to_string(spec.max));
    }
    return absl::OkStatus();
}

static absl::Status checkAddress(const SettingSpec &spec, std::string_view value)
{
    const auto address = parseSocketAddress(value);
    return address.ok() ? absl::OkStatus()
                        : absl::InvalidArgumentError("--" + std::string(spec.flag) + ": " + std::string(address.status().message()));
}

static absl::Status checkValue(const SettingSpec &spec, std::string_view value)
{
    switch (spec.kind) {
    case SettingKind::Milliseconds:
    case SettingKind::Count:
        return checkNumber(spec, value);
    case SettingKind::Address:
        return checkAddress(spec, value);
    case SettingKind::AddressList:
        for (const auto &it : splitList(value)) {
            if (auto status = checkAddress(spec, it); !status.ok()) {
                return status;
            }
        }
        return absl::OkStatus();
    case SettingKind::Text:
    case SettingKind::Secret:
        return absl::OkStatus();
    }
    return absl::OkStatus();
}

/// Reads a secret from its variable or from the file that the variable with suffix _FILE names.
static absl::StatusOr<std::string> readSecret(const std::string &name, const Environment &environment)
{
    if (const char *const value = environment(name)) {
        return std::string(value);
    }
    const char *const path = environment(name + "_FILE");
    if (!path) {
        return std::string();
    }
    std::ifstream file(path);
    std::string text;
    if (!std::getline(file, text)) {
        return absl::InvalidArgumentError(name + "_FILE: cannot read '" + path + "'");
    }
    return text;
}

static absl::Status checkTogether(const Settings &settings)
{
    if (settings.curvePublicKey.empty() != settings.curveSecretKey.empty()) {
        return absl::InvalidArgumentError("curve-public-key and curve-secret-key must be set together");
    }
    if (settings.callerAddress == settings.operatorAddress || settings.callerAddress == settings.peerAddress
        || settings.operatorAddress == settings.peerAddress) {
        return absl::InvalidArgumentError("--caller-address, --operator-address and --peer-address must differ");
    }
    static constexpr std::array<std::string_view, 4> levels{"debug", "info", "warn", "error"};
    if (std::find(levels.begin(), levels.end(), settings.logLevel) == levels.end()) {
        return absl::InvalidArgumentError("--log-level: '" + settings.logLevel + "' is not debug, info, warn or error");
    }
    return absl::OkStatus();
}

static absl::StatusOr<std::string> chooseValue(const SettingSpec &spec,
                                               const TCLAP::ValueArg<std::string> *arg,
                                               const Environment &environment)
{
    const auto name = environmentName(spec.flag);
    if (spec.kind == SettingKind::Secret) {
        return readSecret(name, environment);
    }
    if (arg->isSet()) {
        return arg->getValue();
    }
    if (const char *const value = environment(name)) {
        return std::string(value);
    }
    if (spec.required) {
        return absl::InvalidArgumentError("--" + std::string(spec.flag) + " or " + name + " must be set");
    }
    return std::string(spec.defaultValue);
}

static std::string describe(const SettingSpec &spec)
{
    auto text = std::string(spec.help) + " (" + environmentName(spec.flag);
    if (!spec.defaultValue.empty()) {
        text += ", default " + std::string(spec.defaultValue);
    }
    return text + ")";
}

absl::StatusOr<Settings> readSettings(std::vector<std::string> arguments, const Environment &environment)
{
    TCLAP::CmdLine command("Runs one entry of hibiscusbridge.", ' ', "0.1.0");
    command.setExceptionHandling(false);
    std::map<std::string_view, std::unique_ptr<TCLAP::ValueArg<std::string>>> args;
    for (const auto &spec : specs) {
        if (spec.kind == SettingKind::Secret) {
            continue;
        }
        auto arg = std::make_unique<TCLAP::ValueArg<std::string>>("", std::string(spec.flag), describe(spec), false, "", "value");
        command.add(*arg);
        args.emplace(spec.flag, std::move(arg));
    }
    try {
        arguments.insert(arguments.begin(), "hibiscusbridge serve");
        command.parse(arguments);
    } catch (const TCLAP::ArgException &error) {
        return absl::InvalidArgumentError(error.argId() + ": " + error.error());
    } catch (const TCLAP::ExitException &) {
        return absl::CancelledError("help printed");
    }
    Settings settings;
    for (const auto &spec : specs) {
        const auto arg = args.find(spec.flag);
        const auto value = chooseValue(spec, arg == args.end() ? nullptr : arg->second.get(), environment);
        if (!value.ok()) {
            return value.status();
        }
        if (auto status = checkValue(spec, *value); !status.ok()) {
            return status;
        }
        spec.store(settings, *value);
    }
    if (auto status = checkTogether(settings); !status.ok()) {
        return status;
    }
    return settings;
}

std::string settingsMarkdown()
{
    std::string text = "| flag | environment variable | default | meaning |\n|---|---|---|---|\n";
    for (const auto &spec : specs) {
        const auto flag = spec.kind == SettingKind::Secret ? "(none)" : "`--" + std::string(spec.flag) + "`";
        const auto fallback = spec.required ? "required" : std::string(spec.defaultValue);
        text += "| " + flag + " | `" + environmentName(spec.flag) + "` | " + fallback + " | " + std::string(spec.help) + " |\n";
    }
    return text;
}

} // namespace hibiscusbridge
