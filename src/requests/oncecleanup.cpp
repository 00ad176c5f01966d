// Time marks and deletions of old at-most-once records.
#include "requests/oncecleanup.hpp"

#include "helpers/ids.hpp"
#include "helpers/log.hpp"
#include "requests/oncerecord.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusbridge
{

using nlohmann::json;

/// Marks per retention time: a record outlives its retention by at most one part in this many and one pass.
constexpr std::size_t marksPerRetention = 24;
/// An entry learns of another's mark after at most one part in this many of the mark interval.
constexpr std::int64_t readsPerMark = 4;
/// With 9 entries an own bucket is found after 9 tries on average; bounds the time of one step.
constexpr std::uint32_t maxBucketsTried = 256;

struct StoredMarks {
    Millis interval;
    /// Versions of the earlier marks.
    std::vector<std::uint64_t> earlier;
};

static std::string encodeMarks(const StoredMarks &stored)
{
    return json{{"intervalMs", stored.interval.count}, {"marks", stored.earlier}}.dump();
}

static std::optional<StoredMarks> parseMarks(std::string_view text)
{
    try {
        const auto object = json::parse(text);
        return StoredMarks{{object.at("intervalMs")}, object.at("marks")};
    } catch (const json::exception &) {
        return std::nullopt;
    }
}

OnceCleanup::OnceCleanup(TablePort table, TimerPort timers, Clock clock, OnceCleanupSettings settings)
    : m_table(std::move(table))
    , m_timers(std::move(timers))
    , m_clock(std::move(clock))
    , m_settings(settings)
    // After a restart the pass does not begin with the same buckets again.
    , m_bucket(static_cast<std::uint32_t>(stableHash(randomId()) % onceBuckets))
{
}

void OnceCleanup::start(Owns owns)
{
    m_owns = std::move(owns);
    schedule();
}

void OnceCleanup::schedule()
{
    m_timers.after(m_settings.step, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired()) {
            schedule();
            step();
        }
    });
}

Millis OnceCleanup::markInterval() const
{
    return std::max(m_storedInterval, m_settings.retention / static_cast<std::int64_t>(marksPerRetention) + Millis{1});
}

std::uint64_t OnceCleanup::oldVersion() const
{
    return m_marks.size() > marksPerRetention ? m_marks[m_marks.size() - 1 - marksPerRetention] : 0;
}

void OnceCleanup::step()
{
    if (m_isWaiting) {
        return;
    }
    const auto now = m_clock.boot();
    if (!m_marksReadAt || now >= *m_marksReadAt + markInterval() / readsPerMark) {
        readMarks();
    } else if (!m_marks.empty() && now >= m_markKnownAt + markInterval()) {
        addMark();
    } else if (oldVersion() > 0) {
        readBucket();
    }
}

void OnceCleanup::readMarks()
{
    m_isWaiting = true;
    m_table.read({.prefix = std::string(onceMarksKey)}, [this, alive = std::weak_ptr(m_alive)](const absl::StatusOr<ReadResult> &result) {
        if (alive.expired()) {
            return;
        }
        m_isWaiting = false;
        if (result.ok()) {
            m_marksReadAt = m_clock.boot();
            takeMarks(*result);
        }
    });
}

void OnceCleanup::takeMarks(const ReadResult &result)
{
    for (const auto &row : result.rows) {
        if (row.key != onceMarksKey || !row.value) {
            continue;
        }
        auto stored = parseMarks(*row.value);
        if (!stored) {
            logEvent(LogLevel::Error, "once_marks_malformed", {{"key", row.key}});
            return;
        }
        // A read may be older than what is known already.
        if (!m_marks.empty() && m_marks.back() >= row.version) {
            return;
        }
        m_storedInterval = stored->interval;
        m_marks = std::move(stored->earlier);
        m_marks.push_back(row.version);
        m_markKnownAt = m_clock.boot();
        if (m_storedInterval < markInterval()) {
            // An entry with a shorter retention made the marks; they are too close to each other for this one.
            m_marks = {row.version};
            addMark();
        }
        return;
    }
    if (m_marks.empty()) {
        addMark();
    }
}

void OnceCleanup::addMark()
{
    // A mark made with a shorter interval says nothing about this one's.
    auto marks = m_storedInterval < markInterval() ? std::vector<std::uint64_t>() : m_marks;
    if (marks.size() > marksPerRetention) {
        marks.erase(marks.begin(), marks.end() - static_cast<std::ptrdiff_t>(marksPerRetention));
    }
    const auto latest = m_marks.empty() ? 0 : m_marks.back();
    Transaction transaction{.preconditions = {{std::string(onceMarksKey), latest}},
                            .writes = {{std::string(onceMarksKey), encodeMarks({markInterval(), std::move(marks)})}}};
    m_isWaiting = true;
    m_table.commit(std::move(transaction), [this, alive = std::weak_ptr(m_alive)](const absl::StatusOr<std::uint64_t> &) {
        if (!alive.expired()) {
            m_isWaiting = false;
            m_marksReadAt.reset(); // The next step reads what holds now, whoever wrote it.
        }
    });
}

bool OnceCleanup::ownsBucket() const
{
    return m_owns(onceBucketPrefix(m_bucket));
}

void OnceCleanup::nextBucket()
{
    m_bucket = (m_bucket + 1) % onceBuckets;
}

void OnceCleanup::readBucket()
{
    for (std::uint32_t i = 0; i < maxBucketsTried && !ownsBucket(); ++i) {
        nextBucket();
    }
    if (!ownsBucket()) {
        return;
    }
    m_isWaiting = true;
    m_table.read({.prefix = onceBucketPrefix(m_bucket)}, [this, alive = std::weak_ptr(m_alive)](const absl::StatusOr<ReadResult> &result) {
        if (alive.expired()) {
            return;
        }
        m_isWaiting = false;
        if (result.ok()) {
            deleteOld(*result);
        }
    });
}

void OnceCleanup::deleteOld(const ReadResult &result)
{
    Transaction transaction;
    const auto old = oldVersion();
    bool isComplete = true;
    for (const auto &row : result.rows) {
        if (!row.value || row.version > old) {
            continue;
        }
        if (transaction.writes.size() >= m_settings.maxDeletions) {
            isComplete = false;
            break;
        }
        transaction.preconditions.push_back({row.key, row.version});
        transaction.writes.push_back({row.key, std::nullopt});
    }
    if (isComplete) {
        nextBucket(); // What a failed deletion leaves is found in the next pass.
    }
    if (transaction.writes.empty()) {
        return;
    }
    m_isWaiting = true;
    const auto n = transaction.writes.size();
    m_table.commit(std::move(transaction), [this, n, alive = std::weak_ptr(m_alive)](const absl::StatusOr<std::uint64_t> &version) {
        if (alive.expired()) {
            return;
        }
        m_isWaiting = false;
        m_counters.deleted += version.ok() ? n : 0;
        m_counters.failed += version.ok() ? 0 : 1;
    });
}

} // namespace hibiscusbridge
