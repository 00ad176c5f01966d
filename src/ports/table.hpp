// Interface of the platform's transactional table service.
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

/// `value` is empty for a deleted row. `version` is the commit version that last wrote the row.
struct Row {
    std::string key;
    std::optional<std::string> value;
    std::uint64_t version = 0;
};

/// Requires that the row's version equals `version`; 0 requires that the row does not exist.
struct Precondition {
    std::string key;
    std::uint64_t version = 0;
};

/// Writes a row, or deletes it if `value` is empty.
struct Write {
    std::string key;
    std::optional<std::string> value;
};

/// All writes are applied at one commit version, or none if a precondition fails.
struct Transaction {
    std::vector<Precondition> preconditions;
    std::vector<Write> writes;
};

/// Selects the rows under `prefix` that changed after commit version `since`, including deletions.
struct ReadRequest {
    std::string prefix;
    std::uint64_t since = 0;
};

/// `version` is the commit version of the table at which the rows were read.
struct ReadResult {
    std::uint64_t version = 0;
    std::vector<Row> rows;
};

/// Status codes of a commit: kAborted means that a precondition failed and nothing was written, kUnavailable that nothing
/// was written, kDeadlineExceeded and kUnknown that the commit may have been applied. A read fails with kUnavailable or
/// kDeadlineExceeded.
struct TablePort {
    using CommitCallback = std::function<void(absl::StatusOr<std::uint64_t> version)>;
    using ReadCallback = std::function<void(absl::StatusOr<ReadResult>)>;

    std::function<void(Transaction, CommitCallback)> commit;
    std::function<void(ReadRequest, ReadCallback)> read;
};

} // namespace hibiscusbridge
