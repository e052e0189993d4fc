#pragma once

#include "goldcrestcleat/store/RowStore.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace goldcrestcleat::store {

/// Rows of a table that changed after a version.
struct RowChanges {
    bool isComplete = false; ///< contains all rows of the table; rows not contained do not exist
    std::uint64_t version = 0; ///< the mirror's version
    std::vector<VersionedRow> rows;
    std::uint64_t era = 0; ///< of the store
};

/// A local copy of one table, updated from the store or from peers with a newer copy.
///
/// In one era of the store a row's version never decreases, whatever the order in which the sources deliver updates.
/// Removed rows are kept as tombstones, so that an older copy can't restore them.
class TableMirror {
public:
    /// Maximum number of tombstones. The oldest are dropped first; copies older than these then need a complete table.
    static constexpr std::size_t MAX_TOMBSTONES = 1'000;

    /// Applies changes and advances the mirror's version; returns each row that changed once, in its current state.
    std::vector<VersionedRow> apply(const std::vector<VersionedRow>& rows, std::uint64_t version);

    /// Applies a complete table as of a version; known rows that it lacks and that are not newer are removed.
    ///
    /// If it is not older than the mirror, rows that were not known are added even if their versions are: an earlier
    /// table may have been read from a copy that was behind.
    std::vector<VersionedRow> replace(const std::vector<VersionedRow>& rows, std::uint64_t version);

    /// Replaces all rows by those of a complete table in another era of the store, or in the first one that is known.
    ///
    /// Returns the rows that differ, marked as restored if other rows were known before. Their versions say nothing
    /// about the order in which they and the earlier rows were written.
    std::vector<VersionedRow> restore(const std::vector<VersionedRow>& rows, StateVersion state);

    /// Returns the changes after a version of this era, or the complete table if these are no longer known.
    RowChanges changesAfter(std::uint64_t version) const;

    /// Version up to which all changes are known; 0 before the first complete read.
    std::uint64_t version() const { return version_; }

    /// Era of the store in which the versions were given out.
    std::uint64_t era() const { return era_; }

    StateVersion state() const { return { era_, version_ }; }

    /// Newest version of any row, including removed ones; copies with equal values contain the same rows.
    std::uint64_t newestRow() const { return newestRow_; }

    /// True once the complete table was read.
    bool isLoaded() const { return version_ > 0; }

    const std::map<std::string, VersionedRow>& rows() const { return rows_; }

private:
    bool put(const VersionedRow& row);
    std::vector<VersionedRow> currentRows(const std::set<std::string>& keys) const;
    void dropTombstones();
    void dropOldTombstones();

    std::map<std::string, VersionedRow> rows_; // including tombstones
    std::uint64_t era_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t newestRow_ = 0;
    std::uint64_t completeSince_ = 0; // all changes after this version are known
    std::size_t tombstones_ = 0;
};

} // namespace goldcrestcleat::store
