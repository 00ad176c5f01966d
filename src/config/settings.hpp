// Settings of an entry process. One table gives flags, environment variables, bounds, help and documentation.
#pragma once

#include "helpers/millis.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

/// What `serve` needs to know. Secrets come from the environment or a file, never from a flag.
struct Settings {
    std::string entryId;
    std::string zone;
    std::string callerAddress;
    std::string operatorAddress;
    std::string peerAddress;
    std::string platformAddress;
    /// Addresses of other entries, for a start while the platform is down.
    std::vector<std::string> seedPeers;
    std::string logLevel;
    Millis readyDelay;
    Millis stopGrace;
    Millis platformTimeout;
    Millis onceRetention;
    std::uint64_t maxBodyBytes = 0;
    std::uint64_t maxConnections = 0;
    std::string bootstrapToken;
    std::string curvePublicKey;
    std::string curveSecretKey;
};

enum class SettingKind {
    Text,
    /// IP number and port.
    Address,
    /// Comma-separated addresses.
    AddressList,
    Milliseconds,
    Count,
    /// Environment variable, or a file named by the variable with suffix _FILE.
    Secret,
};

struct SettingSpec {
    /// Flag without dashes; the environment variable is HIBISCUSBRIDGE_ and the flag in upper case with underscores.
    std::string_view flag;
    SettingKind kind = SettingKind::Text;
    /// Empty for a required setting.
    std::string_view defaultValue;
    std::int64_t min = 0;
    std::int64_t max = 0;
    std::string_view help;
    /// Stores a value that has passed its check.
    void (*store)(Settings &, std::string_view value) = nullptr;
    bool required = false;
};

std::span<const SettingSpec> settingSpecs();
std::string environmentName(std::string_view flag);

/// Looks up an environment variable; nullptr when unset.
using Environment = std::function<const char *(const std::string &name)>;

/// Flags go before environment variables, those before defaults. Fails with kInvalidArgument and one line that names
/// the setting, or with kCancelled after --help has been printed to standard output.
absl::StatusOr<Settings> readSettings(std::vector<std::string> arguments, const Environment &environment);

/// The table as Markdown, for the documentation.
std::string settingsMarkdown();

} // namespace hibiscusbridge
