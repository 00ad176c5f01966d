// The platform's transactional table service as the system needs it.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusbridge
{

/// A row as read. `value` is empty for a deleted row. `version` is the commit that last wrote the row.
struct Row {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// Holds when the row's version equals `version`; 0 means that the row is absent.
struct Precondition {
    std::string key;
    std::uint64_t version = 0;
};

/// Sets a row, or deletes it when `value` is empty.
struct Write {
    std::string key;
    std::optional<std::string> value;
};

/// All writes happen at one commit version, or none when a precondition fails.
struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<Write> writes;
};

/// Rows under `prefix` that changed after commit version `since`, deletions included.
struct ReadRequest {
    std::string prefix;
    std::uint64_t since = 0;
};

/// `version` is the commit version of the table that the rows reflect.
struct ReadResult {
    std::uint64_t version = 0;
    std::vector<Row> rows;
};

/// Status codes of a commit: kAborted a precondition failed and nothing was written; kUnavailable certainly not
/// written; kDeadlineExceeded or kUnknown perhaps written. A read fails with kUnavailable or kDeadlineExceeded.
struct TablePort {
    using CommitCallback = std::function<void(absl::StatusOr<std::uint64_t> version)>;
    using ReadCallback = std::function<void(absl::StatusOr<ReadResult>)>;

    std::function<void(Transaction, CommitCallback)> commit;
    std::function<void(ReadRequest, ReadCallback)> read;
};

} // namespace hibiscusbridge
