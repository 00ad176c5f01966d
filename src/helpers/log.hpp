// Structured logging: one line of key=value pairs per event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace hibiscusbridge
{

enum class LogLevel {
    Debug,
    Info,
    Warn,
    Error,
};

/// One key=value pair of a log line. The key is a compile-time constant; the value may be untrusted input.
struct LogField {
    LogField(std::string_view fieldKey, std::string_view text)
        : key(fieldKey)
        , value(text)
    {
    }
    LogField(std::string_view fieldKey, const char *text)
        : key(fieldKey)
        , value(text)
    {
    }
    LogField(std::string_view fieldKey, const std::string &text)
        : key(fieldKey)
        , value(text)
    {
    }
    template<typename Number>
    requires std::is_arithmetic_v<Number> LogField(std::string_view fieldKey, Number n)
        : key(fieldKey)
        , value(std::to_string(n))
    {
    }

    std::string_view key;
    std::string value;
};

/// Quotes and escapes a value that is empty or contains spaces, quotes, backslashes, '=' or control characters, so that it
/// cannot inject another pair or line.
std::string escapeLogValue(std::string_view text);

/// Formats `event=<name> key=value ...` without a trailing newline.
std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields);

/// Writes one event to the process log. The number of lines per event name and second is limited; a `lines_left_out` event
/// reports how many were suppressed.
void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields = {});

/// Sets up the process log. `level` is one of debug, info, warn, error; `entry` is added to each line. Lines are dropped and
/// counted while the descriptor is not ready for writing, so that a stalled reader never blocks the process.
void setupLog(std::string_view level, std::string_view entry, int fd = 1);
/// Number of lines dropped since process start because the descriptor was not ready for writing or a write was incomplete.
std::uint64_t droppedLogLines();

} // namespace hibiscusbridge
