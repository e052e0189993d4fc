#pragma once

#include "goldcrestcleat/store/RowStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::store {

/// Rows of a table that changed after a version.
struct RowChanges {
    bool isComplete = false; ///< contains all rows of the table; rows not contained do not exist
    std::uint64_t version = 0; ///< the mirror's version
    std::vector<VersionedRow> rows;
};

/// A local copy of one table, updated from the store or from peers with a newer copy.
///
/// A row's version never decreases, whatever the order in which the sources deliver updates. Removed rows are kept as
/// tombstones, so that an older copy can't restore them.
class TableMirror {
public:
    /// Maximum number of tombstones. The oldest are dropped first; copies older than these then need a complete table.
    static constexpr std::size_t MAX_TOMBSTONES = 1'000;

    /// Applies changes and advances the mirror's version; returns each row that changed once, in its current state.
    std::vector<VersionedRow> apply(const std::vector<VersionedRow>& rows, std::uint64_t version);

    /// Applies a complete table as of a version; known rows that it lacks and that are not newer are removed.
    std::vector<VersionedRow> replace(const std::vector<VersionedRow>& rows, std::uint64_t version);

    /// Returns the changes after a version, or the complete table if these are no longer known.
    RowChanges changesAfter(std::uint64_t version) const;

    /// Version up to which all changes are known; 0 before the first complete read.
    std::uint64_t version() const { return version_; }

    /// Newest version of any row; copies with equal values contain the same rows.
    std::uint64_t newestRow() const { return newestRow_; }

    /// True once the complete table was read.
    bool isLoaded() const { return version_ > 0; }

    const std::map<std::string, VersionedRow>& rows() const { return rows_; }

private:
    bool put(const VersionedRow& row);
    void dropSuperseded(std::vector<VersionedRow>& changed) const;
    void dropOldTombstones();

    std::map<std::string, VersionedRow> rows_; // including tombstones
    std::uint64_t version_ = 0;
    std::uint64_t newestRow_ = 0;
    std::uint64_t completeSince_ = 0; // all changes after this version are known
    std::size_t tombstones_ = 0;
};

} // namespace goldcrestcleat::store
