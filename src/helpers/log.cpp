// Log events through spdlog.
#include "helpers/log.hpp"

#include <cctype>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace hibiscusbridge
{

static bool needsQuotes(std::string_view text)
{
    if (text.empty()) {
        return true;
    }
    for (const unsigned char c : text) {
        if (c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f) {
            return true;
        }
    }
    return false;
}

std::string escapeLogValue(std::string_view text)
{
    if (!needsQuotes(text)) {
        return std::string(text);
    }
    std::string out = "\"";
    for (const unsigned char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += static_cast<char>(c);
        } else if (c == '\n') {
            out += "\\n";
        } else if (c < 0x20 || c == 0x7f) {
            out += fmt::format("\\x{:02x}", c);
        } else {
            out += static_cast<char>(c);
        }
    }
    out += '"';
    return out;
}

std::string formatEvent(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = "event=" + escapeLogValue(event);
    for (const auto &field : fields) {
        line += ' ';
        line += field.key;
        line += '=';
        line += escapeLogValue(field.value);
    }
    return line;
}

static spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warn:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto wanted = toSpdlog(level);
    if (!spdlog::should_log(wanted)) {
        return;
    }
    spdlog::log(wanted, "{}", formatEvent(event, fields));
}

void setupLog(std::string_view level, std::string_view entry)
{
    spdlog::drop("hibiscusbridge"); // A second call replaces the log of the first.
    auto logger = spdlog::stderr_logger_st("hibiscusbridge");
    spdlog::set_default_logger(logger);
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l entry=" + escapeLogValue(entry) + " %v", spdlog::pattern_time_type::utc);
    spdlog::set_level(spdlog::level::from_str(std::string(level)));
    spdlog::flush_on(spdlog::level::info);
}

} // namespace hibiscusbridge
