#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace goldcrestcleat::store {

/// A row of a versioned table.
struct VersionedRow {
    std::string key;
    std::string value; ///< raw bytes; empty when removed
    std::uint64_t version = 0; ///< grows with each change of the row
    bool isRemoved = false;

    friend bool operator==(const VersionedRow& a, const VersionedRow& b)
    {
        return a.key == b.key && a.value == b.value && a.version == b.version && a.isRemoved == b.isRemoved;
    }
};

/// How a read ended.
enum class ReadOutcome {
    Answered,
    HistoryCompacted, ///< changes after the given version are no longer known; read the table whole
    Refused, ///< the store said that it did nothing
    NoAnswer
};

/// The answer to a read.
struct RowSet {
    ReadOutcome outcome = ReadOutcome::NoAnswer;
    std::vector<VersionedRow> rows; ///< in key order for a read, in version order for a watch
    std::uint64_t version = 0; ///< newest version of the store when it answered
    bool isTruncated = false; ///< more rows follow the last one
    std::string reason; ///< why there is no answer, for the log
};

/// A row to be written or removed when every condition of its commit holds.
struct RowWrite {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0; ///< 0: the row must not exist
    bool isConditional = false;
    bool isRemoval = false; ///< `value` is not used
};

/// How a commit ended.
enum class RowCommitOutcome {
    Committed,
    Conflict, ///< a condition did not hold
    NotApplied, ///< certainly not applied
    Unknown ///< may have been applied, or may be applied later
};

/// Port to the table service that the deployment runs; implemented outside this folder.
struct RowStore {
    using ReadHook = std::function<void(const RowSet&)>;
    using CommitHook = std::function<void(RowCommitOutcome)>;

    /// Reads rows of a table whose keys are not before `fromKey`.
    std::function<void(const std::string& table, const std::string& fromKey, ReadHook)> read;

    /// Answers with the changes after a version as soon as there is one, or with none after `waitMs`.
    std::function<void(const std::string& table, std::uint64_t afterVersion, loop::TimeMs waitMs, ReadHook)> watch;

    std::function<void(const std::vector<RowWrite>&, CommitHook)> commit;
};

} // namespace goldcrestcleat::store
