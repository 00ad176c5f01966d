// Deletes at-most-once records after their retention time.
#pragma once

#include "helpers/millis.hpp"
#include "ports/table.hpp"
#include "ports/timer.hpp"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusbridge
{

/// Row that holds the time marks of the cleanup.
inline constexpr std::string_view onceMarksKey = "cleanup/once";

struct OnceCleanupSettings {
    /// A record is kept at least this long (24 h) after its last write. Of entries that differ, the longest
    /// counts, and a shorter one takes effect only when the row of the marks has been deleted.
    Millis retention{86'400'000};
    /// At most one read and one transaction in each step.
    Millis step{1'000};
    std::size_t maxDeletions = 256;
};

struct OnceCleanupCounters {
    std::uint64_t deleted = 0;
    /// Transactions that deleted nothing, because a row had changed or the platform failed.
    std::uint64_t failed = 0;
};

/// Wall clocks of entries may differ, so the age of a record is measured by time marks in the table: commit versions of
/// the row `onceMarksKey`, of which any entry adds the next one after it has known the latest one for a 24th of the
/// retention time on its own boot clock. A record whose version is not above the 24th mark before the latest is
/// unchanged for the retention time. A deletion expects that version, so that one carried out late deletes no
/// newer record, and several entries may clean the same rows.
class OnceCleanup
{
public:
    /// Whether this entry cleans the subject, `once/<bucket>`.
    using Owns = std::function<bool(std::string_view subject)>;

    OnceCleanup(TablePort table, TimerPort timers, Clock clock, OnceCleanupSettings settings);

    void start(Owns owns);
    const OnceCleanupCounters &counters() const
    {
        return m_counters;
    }

private:
    void schedule();
    void step();
    void readMarks();
    void takeMarks(const ReadResult &result);
    void addMark();
    void readBucket();
    void deleteOld(const ReadResult &result);
    void nextBucket();
    bool ownsBucket() const;
    /// The longer of the own interval and that of the marks.
    Millis markInterval() const;
    /// Records up to this version are old enough; 0 when none is.
    std::uint64_t oldVersion() const;

    TablePort m_table;
    TimerPort m_timers;
    Clock m_clock;
    OnceCleanupSettings m_settings;
    OnceCleanupCounters m_counters;
    Owns m_owns;
    /// Commit versions of the marks, oldest first; consecutive ones are at least `markInterval` apart.
    std::vector<std::uint64_t> m_marks;
    /// Interval that the marks were made with.
    Millis m_storedInterval;
    /// Boot clock at which the latest mark was first known, and at which the marks were last read.
    Millis m_markKnownAt;
    std::optional<Millis> m_marksReadAt;
    std::uint32_t m_bucket = 0;
    /// A call of the table has no answer yet.
    bool m_isWaiting = false;
    /// Expires with the object, so that late callbacks do nothing.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

} // namespace hibiscusbridge
