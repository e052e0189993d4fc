#include "goldcrestcleat/store/TableMirror.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <set>

namespace goldcrestcleat::store {

std::vector<VersionedRow> TableMirror::apply(const std::vector<VersionedRow>& rows, std::uint64_t version)
{
    std::set<std::string> changedKeys;
    for (const auto& row : rows) {
        if (put(row))
            changedKeys.insert(row.key);
    }
    version_ = std::max(version_, version);
    auto changed = currentRows(changedKeys);
    dropOldTombstones();
    assert(completeSince_ <= version_);
    return changed;
}

std::vector<VersionedRow> TableMirror::replace(const std::vector<VersionedRow>& rows, std::uint64_t version)
{
    std::set<std::string> present;
    for (const auto& row : rows)
        present.insert(row.key);
    std::vector<VersionedRow> all = rows;
    for (const auto& [key, row] : rows_) {
        if (!row.isRemoved && row.version <= version && present.count(key) == 0)
            all.push_back({ key, "", version, true });
    }
    const bool isNewest = version >= version_;
    if (isNewest)
        version_ = 0; // rows that an earlier read lacked are new, whatever their versions
    auto changed = apply(all, version);
    if (isNewest)
        dropTombstones();
    return changed;
}

std::vector<VersionedRow> TableMirror::restore(const std::vector<VersionedRow>& rows, StateVersion state)
{
    const bool isFirst = !isLoaded();
    std::map<std::string, VersionedRow> previous;
    previous.swap(rows_);
    era_ = state.era;
    version_ = completeSince_ = state.version;
    newestRow_ = state.version; // missing rows may have been removed at any version up to it
    tombstones_ = 0;
    std::vector<VersionedRow> changed;
    for (const auto& row : rows) {
        const auto known = previous.find(row.key);
        const bool isKnown = known != previous.end() && !known->second.isRemoved && known->second.value == row.value;
        VersionedRow& stored = rows_[row.key];
        stored = row;
        stored.isRestored = !isFirst && !isKnown;
        newestRow_ = std::max(newestRow_, row.version);
        if (!isKnown)
            changed.push_back(stored);
    }
    for (const auto& [key, row] : previous) {
        if (!row.isRemoved && rows_.count(key) == 0)
            changed.push_back({ key, "", version_, true, true });
    }
    return changed;
}

RowChanges TableMirror::changesAfter(std::uint64_t version) const
{
    RowChanges changes;
    changes.era = era_;
    changes.version = version_;
    changes.isComplete = version < completeSince_ || version == 0;
    for (const auto& [key, row] : rows_) {
        const bool isIncluded = changes.isComplete ? !row.isRemoved : row.version > version;
        if (isIncluded)
            changes.rows.push_back(row);
    }
    return changes;
}

// ---- private ----

bool TableMirror::put(const VersionedRow& row)
{
    const auto known = rows_.find(row.key);
    // All rows up to the mirror's version are known, so an unknown row with such a version has been removed since.
    if (known == rows_.end() && row.version <= version_)
        return false;
    newestRow_ = std::max(newestRow_, row.version);
    if (known == rows_.end()) {
        rows_.emplace(row.key, row);
        tombstones_ += row.isRemoved ? 1 : 0;
        return !row.isRemoved;
    }
    if (row.version <= known->second.version && !(row.isRemoved && row.version == known->second.version))
        return false;
    const bool changes = row.isRemoved != known->second.isRemoved || row.value != known->second.value
        || known->second.isRestored; // a row that is written again is no longer in doubt
    tombstones_ += row.isRemoved ? 1 : 0;
    tombstones_ -= known->second.isRemoved ? 1 : 0;
    known->second = row;
    return changes;
}

/// Returns the current rows of some keys, in the order of their versions.
std::vector<VersionedRow> TableMirror::currentRows(const std::set<std::string>& keys) const
{
    std::vector<VersionedRow> rows;
    for (const auto& key : keys)
        rows.push_back(rows_.at(key));
    std::stable_sort(rows.begin(), rows.end(), [](const auto& a, const auto& b) { return a.version < b.version; });
    return rows;
}

/// Drops the tombstones that a complete table makes needless: an unknown row that is not newer than it was removed.
void TableMirror::dropTombstones()
{
    for (auto it = rows_.begin(); it != rows_.end();) {
        const bool isNeedless = it->second.isRemoved && it->second.version <= version_;
        tombstones_ -= isNeedless ? 1 : 0;
        it = isNeedless ? rows_.erase(it) : std::next(it);
    }
    completeSince_ = version_;
}

void TableMirror::dropOldTombstones()
{
    while (tombstones_ > MAX_TOMBSTONES) {
        auto oldest = rows_.end();
        for (auto it = rows_.begin(); it != rows_.end(); ++it) {
            if (it->second.isRemoved && (oldest == rows_.end() || it->second.version < oldest->second.version))
                oldest = it;
        }
        assert(oldest != rows_.end());
        completeSince_ = std::max(completeSince_, oldest->second.version);
        rows_.erase(oldest);
        --tombstones_;
    }
}

} // namespace goldcrestcleat::store
