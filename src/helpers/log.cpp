// Structured logging through spdlog.
#include "helpers/log.hpp"

#include "helpers/millis.hpp"

#include <cctype>
#include <map>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

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

namespace
{

/// Rate limit per event name. It leaves headroom over a load surge, in which one entry accepts about 100 jobs per second.
constexpr int maxLinesPerEventPerSecond = 200;

std::uint64_t droppedLines = 0;

/// Writes each line with a single write() and drops it if the descriptor is not ready for writing.
class NonBlockingSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit NonBlockingSink(int fd)
        : m_fd(fd)
    {
    }

protected:
    void sink_it_(const spdlog::details::log_msg &msg) override // NOLINT(readability-identifier-naming): spdlog's name
    {
        pollfd ready{.fd = m_fd, .events = POLLOUT, .revents = 0};
        if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
            ++droppedLines;
            return;
        }
        spdlog::memory_buf_t buf;
        formatter_->format(msg, buf);
        if (write(m_fd, buf.data(), buf.size()) != static_cast<ssize_t>(buf.size())) {
            ++droppedLines;
        }
    }
    void flush_() override // NOLINT(readability-identifier-naming): spdlog's name
    {
    }

private:
    int m_fd;
};

/// Number of lines written and suppressed for one event name in the current second.
struct EventRate {
    std::int64_t second = 0;
    int lines = 0;
    int suppressedLines = 0;
};

} // namespace

std::uint64_t droppedLogLines()
{
    return droppedLines;
}

void logEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields)
{
    const auto wanted = toSpdlog(level);
    if (!spdlog::should_log(wanted)) {
        return;
    }
    static std::map<std::string, EventRate, std::less<>> rates;
    static const Clock clock = systemClock();
    auto &rate = rates.try_emplace(std::string(event)).first->second;
    constexpr std::int64_t second = 1000;
    if (const auto now = clock.boot().count / second; now != rate.second) {
        if (rate.suppressedLines > 0) {
            spdlog::log(spdlog::level::warn, "event=lines_left_out kind={} count={}", event, rate.suppressedLines);
        }
        rate = {.second = now};
    }
    if (++rate.lines > maxLinesPerEventPerSecond) {
        ++rate.suppressedLines;
        return;
    }
    spdlog::log(wanted, "{}", formatEvent(event, fields));
}

void setupLog(std::string_view level, std::string_view entry, int fd)
{
    spdlog::drop("hibiscusbridge"); // A repeated call replaces the previous logger.
    auto logger = std::make_shared<spdlog::logger>("hibiscusbridge", std::make_shared<NonBlockingSink>(fd));
    spdlog::set_default_logger(logger);
    spdlog::set_pattern("time=%Y-%m-%dT%H:%M:%S.%eZ level=%l entry=" + escapeLogValue(entry) + " %v", spdlog::pattern_time_type::utc);
    spdlog::set_level(spdlog::level::from_str(std::string(level)));
}

} // namespace hibiscusbridge
