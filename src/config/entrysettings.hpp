// Settings of an entry process: a TOML file, checked as a whole.
#pragma once

#include "helpers/millis.hpp"

#include <absl/status/statusor.h>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge::jobs
{

struct EntrySettings {
    std::string name;
    std::string zone;
    std::string region;
    std::string callerAddress;
    std::string readyAddress;
    std::string peerAddress;
    /// Port of /metrics on the peer address; 0 for none.
    int metricsPort = 0;
    std::string storeAddress;
    /// Share of a core that the entry gets, and the speed of that core against an ordinary one.
    double cpuShare = 0.25;
    double cpuSpeed = 1;
    std::int64_t storeRowBytes = 65'536;
    std::string vmAddress;
    double vmActionsPerSecond = 64;
    double vmListsPerSecond = 64;
    /// Empty when there is no advice service.
    std::string adviceAddress;
    Millis holdMax{10'000};
    Millis drain{2'000};
    Millis stopTimeout{1'000};
    Millis jobStatus{120'000};
    Millis move{1'500};
    Millis maintenance{2'000};
    Millis notice{4'500};
    Millis stopGrace{6'000};
    Millis orderTakeover{3'000};
    double remoteFactor = 1.5;
    Millis harm{4'000};

    bool operator==(const EntrySettings &) const = default;
};

struct ParsedEntrySettings {
    EntrySettings settings;
    /// Keys that this version does not know, as `table.key`.
    std::vector<std::string> unknownKeys;
};

/// Fails with kInvalidArgument and every problem, one a line with its line and column.
absl::StatusOr<ParsedEntrySettings> parseEntrySettings(std::string_view text);
/// Reads a file; kNotFound when it can't be read.
absl::StatusOr<ParsedEntrySettings> readEntrySettings(const std::string &path);

} // namespace hibiscusbridge::jobs
