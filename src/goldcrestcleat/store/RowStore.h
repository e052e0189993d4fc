#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace goldcrestcleat::store {

/// A state of the store. The versions of one era only increase; a store that returns from an older copy begins a new
/// era, in which versions may be given out again.
struct StateVersion {
    std::uint64_t era = 0; ///< 0 if the store states none
    std::uint64_t version = 0;

    friend bool operator==(const StateVersion& a, const StateVersion& b)
    {
        return a.era == b.era && a.version == b.version;
    }
    friend bool operator!=(const StateVersion& a, const StateVersion& b) { return !(a == b); }
    friend bool operator<(const StateVersion& a, const StateVersion& b)
    {
        return std::tie(a.era, a.version) < std::tie(b.era, b.version);
    }
    friend bool operator<=(const StateVersion& a, const StateVersion& b) { return !(b < a); }
};

/// A row of a versioned table.
struct VersionedRow {
    std::string key;
    std::string value; ///< raw bytes; empty when removed
    std::uint64_t version = 0; ///< increases with each change of the row in one era of the store
    bool isRemoved = false;
    bool isRestored = false; ///< found in a new era of the store, and perhaps older than what was known before

    friend bool operator==(const VersionedRow& a, const VersionedRow& b)
    {
        return std::tie(a.key, a.value, a.version, a.isRemoved, a.isRestored)
            == std::tie(b.key, b.value, b.version, b.isRemoved, b.isRestored);
    }
};

/// How a read ended.
enum class ReadOutcome {
    Answered,
    HistoryCompacted, ///< changes after the given version are no longer available; read the complete table
    Refused, ///< the store rejected the call without executing it
    NoAnswer
};

/// The answer to a read or a watch.
struct RowSet {
    ReadOutcome outcome = ReadOutcome::NoAnswer;
    std::vector<VersionedRow> rows; ///< in key order for a read, in version order for a watch
    std::uint64_t version = 0; ///< latest version of the store at the time of the answer
    bool isTruncated = false; ///< more rows follow the last one
    std::string reason; ///< for the log if the call failed
    std::optional<std::uint64_t> era {}; ///< of the store; unset if the answer does not state it
};

/// A row to be written or removed if all conditions of its commit hold.
struct RowWrite {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t expectedVersion = 0; ///< of a conditional write; 0 if the row must not exist
    bool isConditional = false;
    bool isRemoval = false; ///< removes the row and ignores `value`
};

/// How a commit ended.
enum class RowCommitOutcome {
    Committed,
    Conflict, ///< a condition did not hold
    NotApplied, ///< definitely not applied
    Unknown ///< may have been applied, or may still be applied later
};

/// Interface of the deployment's table service; the adapters are implemented outside this folder.
struct RowStore {
    using ReadHook = std::function<void(const RowSet&)>;
    using CommitHook = std::function<void(RowCommitOutcome)>;

    /// Reads the rows of a table whose keys are greater than or equal to `fromKey`.
    std::function<void(const std::string& table, const std::string& fromKey, ReadHook)> read;

    /// Reads the changes after a version: answers as soon as there is a change, or without rows after `waitMs`.
    std::function<void(const std::string& table, std::uint64_t afterVersion, loop::TimeMs waitMs, ReadHook)> watch;

    std::function<void(const std::vector<RowWrite>&, CommitHook)> commit;
};

} // namespace goldcrestcleat::store
