// Interface of the platform's transactional store: table rows, atomic transactions and change feeds.
#pragma once

#include "helpers/millis.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace hibiscusbridge::jobs
{

struct RowKey {
    std::string table;
    /// Partition of the table. All rows of a transaction are in one partition unless `spansParts` is set.
    std::string part;
    std::string key;
};

struct Row {
    RowKey key;
    std::string value;
    /// Version of the transaction that last wrote the row; 0 if the row does not exist.
    std::uint64_t version = 0;
    /// The row was deleted; set only in feed results.
    bool removed = false;
};

struct RowCondition {
    RowKey key;
    /// Required row version; 0 requires that the row does not exist.
    std::uint64_t version = 0;
};

struct RowPut {
    RowKey key;
    std::string value;
};

struct RowTransaction {
    std::vector<RowCondition> conditions;
    std::vector<RowPut> puts;
    std::vector<RowKey> removes;
    bool spansParts = false;
};

enum class CommitOutcome {
    Applied,
    /// A condition was not met; nothing was written.
    Conflict,
    /// The store rejected the call at present; nothing was written.
    Refused,
    /// The store does not take this call, for instance because a row is too large; nothing was written, and a repetition has the
    /// same result.
    Invalid,
    /// No response: the transaction may have been applied, or may still be applied while its conditions hold.
    Unknown,
};

struct CommitResult {
    CommitOutcome outcome = CommitOutcome::Unknown;
    std::uint64_t version = 0;
    /// On conflict: the current state of the rows named in the conditions.
    std::vector<Row> current;
    std::string error;
};

enum class ReadOutcome {
    Answered,
    /// The feed position is older than the change history that the store retains.
    HistoryLost,
    Failed,
};

struct ReadResult {
    ReadOutcome outcome = ReadOutcome::Failed;
    std::vector<Row> rows;
    bool hasMore = false;
    /// Latest store version at the time of the read; the position from which a feed continues.
    std::uint64_t version = 0;
    /// The store's steady clock at the time of the read; 0 if unknown.
    Millis storeClock;
    std::string error;
};

/// Half-open key range [from, to) within one partition, in byte order; an empty bound is unbounded.
struct RowRange {
    std::string table;
    std::string part;
    std::string from;
    std::string to;
    int limit = 500;
};

/// What the store takes in one transaction. Sizes are those of the values before the transport encodes them.
struct StoreLimits {
    std::size_t rowBytes = 65'536;
    /// All values of a transaction. The platform takes calls of 1 MB, in which values are encoded in base64.
    std::size_t transactionBytes = 700'000;
    /// Conditions, puts and removals of a transaction.
    std::size_t transactionEntries = 100;
};

/// Each callback runs exactly once, and never from within the call.
struct StorePort {
    std::function<void(RowTransaction, Millis timeout, std::function<void(CommitResult)>)> commit;
    std::function<void(RowRange, Millis timeout, std::function<void(ReadResult)>)> read;
    /// Long poll for changes to a table after the given version; waits up to `wait` for the first change.
    std::function<void(std::string table, std::uint64_t after, Millis wait, Millis timeout, std::function<void(ReadResult)>)> feed;
};

} // namespace hibiscusbridge::jobs
