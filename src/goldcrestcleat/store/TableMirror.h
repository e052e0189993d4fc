#pragma once

#include "goldcrestcleat/store/RowStore.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::store {

/// Rows of a table that changed after a version.
struct RowChanges {
    bool isComplete = false; ///< holds every row of the table; rows that it lacks do not exist
    std::uint64_t version = 0; ///< the mirror's version
    std::vector<VersionedRow> rows;
};

/// A copy of one table, fed by the store or by peers that hold a newer copy.
///
/// A row's version never goes down, whatever the order in which the sources deliver it. Removed rows are kept as
/// markers, so that an older copy can't bring them back.
class TableMirror {
public:
    /// Removed rows that are remembered; older ones are dropped first, and changes before them sent as a whole table.
    static constexpr std::size_t MAX_REMOVED = 1'000;

    /// Applies changes and moves the mirror's version forward; returns the rows that changed, each once as it is now.
    std::vector<VersionedRow> apply(const std::vector<VersionedRow>& rows, std::uint64_t version);

    /// Takes over a whole table as of a version; rows that it lacks and that are not newer are removed.
    std::vector<VersionedRow> replace(const std::vector<VersionedRow>& rows, std::uint64_t version);

    /// Returns what changed after a version, or the whole table when that is no longer known.
    RowChanges changesAfter(std::uint64_t version) const;

    /// Newest version that every row is known at; 0 before the first whole read.
    std::uint64_t version() const { return version_; }

    /// Newest version of any row; two copies that agree on it hold the same rows.
    std::uint64_t newestRow() const { return newestRow_; }

    /// True once the table was read whole.
    bool isLoaded() const { return version_ > 0; }

    const std::map<std::string, VersionedRow>& rows() const { return rows_; }

private:
    bool put(const VersionedRow& row);
    void keepLatest(std::vector<VersionedRow>& changed) const;
    void dropOldRemovals();

    std::map<std::string, VersionedRow> rows_; // removed ones among them
    std::uint64_t version_ = 0;
    std::uint64_t newestRow_ = 0;
    std::uint64_t completeSince_ = 0; // changes after this version are all known
    std::size_t removed_ = 0;
};

} // namespace goldcrestcleat::store
