#include "goldcrestcleat/store/TableMirror.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>

using namespace goldcrestcleat::store;

namespace {

VersionedRow row(const std::string& key, const std::string& value, std::uint64_t version)
{
    return { key, value, version, false };
}

VersionedRow removal(const std::string& key, std::uint64_t version) { return { key, "", version, true }; }

/// Returns the rows that are not removed, as a reader of the mirror sees them.
std::map<std::string, std::string> liveRows(const TableMirror& mirror)
{
    std::map<std::string, std::string> rows;
    for (const auto& [key, r] : mirror.rows()) {
        if (!r.isRemoved)
            rows[key] = r.value;
    }
    return rows;
}

} // namespace

Test(table_mirror, an_older_row_never_replaces_a_newer_one)
{
    TableMirror mirror;
    mirror.replace({ row("a", "new", 9) }, 10);
    cr_assert(mirror.apply({ row("a", "old", 4) }, 4).empty());
    cr_assert(liveRows(mirror).at("a") == "new");
    cr_assert_eq(mirror.version(), 10);
}

Test(table_mirror, a_removed_row_is_not_restored_by_an_older_copy)
{
    TableMirror mirror;
    mirror.replace({ row("a", "x", 3) }, 5);
    cr_assert_eq(mirror.apply({ removal("a", 7) }, 7).size(), 1);
    TableMirror peer;
    peer.replace({ row("a", "x", 3) }, 6);
    const auto changes = peer.changesAfter(0);
    mirror.apply(changes.rows, changes.version);
    cr_assert(liveRows(mirror).empty());
}

/// Guards against returning both changes of an entry that expired and reappeared within one answer: removals are
/// applied last, so that its server counted as removed.
Test(table_mirror, a_row_that_changes_more_than_once_is_returned_once_in_its_latest_state)
{
    TableMirror mirror;
    mirror.replace({ row("a", "x", 3), row("b", "x", 4) }, 5);
    const auto changed = mirror.apply({ removal("a", 6), row("b", "y", 7), row("a", "x", 8), row("b", "z", 9) }, 9);
    cr_assert_eq(changed.size(), 2);
    cr_assert((changed[0] == row("a", "x", 8)) && (changed[1] == row("b", "z", 9)), "in the order of their versions");
    const auto removed = mirror.apply({ row("c", "x", 10), removal("c", 11) }, 11);
    cr_assert(removed.size() == 1 && removed.front().isRemoved);
}

Test(table_mirror, a_full_read_removes_missing_rows_but_not_newer_ones)
{
    TableMirror mirror;
    mirror.replace({ row("deleted", "x", 3), row("kept", "y", 4) }, 5);
    mirror.apply({ row("newer", "z", 12) }, 12);
    const auto changed = mirror.replace({ row("kept", "y", 4) }, 10);
    cr_assert_eq(changed.size(), 1);
    cr_assert(changed.front().key == "deleted" && changed.front().isRemoved);
    cr_assert_eq(liveRows(mirror).count("newer"), 1);
}

Test(table_mirror, an_unchanged_value_is_not_reported)
{
    TableMirror mirror;
    mirror.replace({ row("a", "x", 3) }, 5);
    cr_assert(mirror.apply({ row("a", "x", 6) }, 6).empty());
}

Test(table_mirror, changes_before_the_first_full_read_are_sent_as_a_full_table)
{
    TableMirror mirror;
    mirror.replace({ row("a", "x", 3) }, 50);
    cr_assert(mirror.changesAfter(20).isComplete);
    cr_assert(mirror.changesAfter(0).isComplete);
    cr_assert_not(mirror.changesAfter(50).isComplete);
}

/// Two mirrors that exchange their changes in any order converge to the state of a plain last-writer-wins map.
Test(table_mirror, mirrors_that_exchange_changes_converge_to_the_newest_rows)
{
    cr_assert(rc::check([](const std::vector<std::pair<std::uint8_t, bool>>& writes) {
        TableMirror one;
        TableMirror other;
        one.replace({}, 1);
        other.replace({}, 1);
        std::map<std::string, std::string> expected;
        std::uint64_t version = 1;
        for (const auto& [name, removes] : writes) {
            ++version;
            const std::string key(1, static_cast<char>('a' + name % 4));
            const std::string value = std::to_string(version);
            const VersionedRow written = removes ? removal(key, version) : row(key, value, version);
            if (removes)
                expected.erase(key);
            else
                expected[key] = value;
            TableMirror& target = name % 3 == 0 ? other : one;
            target.apply({ written }, target.version());
        }
        std::vector<VersionedRow> all;
        for (const auto& [key, r] : one.rows())
            all.push_back(r);
        other.apply(all, version);
        all.clear();
        for (const auto& [key, r] : other.rows())
            all.push_back(r);
        std::reverse(all.begin(), all.end());
        one.apply(all, version);
        RC_ASSERT(liveRows(one) == expected);
        RC_ASSERT(liveRows(other) == expected);
    }));
}

/// Found by mirror_search: a daemon that first reads the table after a removal holds no tombstone for the row.
Test(table_mirror, a_row_removed_before_the_first_read_is_not_restored_by_a_late_older_copy)
{
    TableMirror mirror;
    mirror.replace({ row("b", "x", 4) }, 5);
    cr_assert(mirror.replace({ row("a", "removed since", 3), row("b", "x", 4) }, 4).empty());
    cr_assert_eq(liveRows(mirror).count("a"), 0);
    cr_assert(mirror.apply({ row("a", "removed since", 3) }, 4).empty());
    cr_assert_eq(liveRows(mirror).count("a"), 0);
    cr_assert_eq(mirror.apply({ row("a", "back", 6) }, 6).size(), 1, "a newer row must be applied");
}

/// Guards against ignoring, for good, rows that an earlier complete table lacked because it came from a copy behind.
Test(table_mirror, a_complete_table_that_is_not_older_adds_rows_that_an_earlier_one_lacked)
{
    TableMirror mirror;
    mirror.replace({ row("a", "x", 3), row("b", "x", 4) }, 5);
    mirror.replace({ row("a", "x", 3) }, 10);
    cr_assert_eq(liveRows(mirror).count("b"), 0);
    const auto changed = mirror.replace({ row("a", "y", 8), row("b", "x", 4), row("c", "x", 9) }, 10);
    cr_assert_eq(changed.size(), 3);
    const std::vector<VersionedRow> older = { row("a", "y", 8), row("b", "x", 4), row("c", "x", 9), row("d", "x", 2) };
    cr_assert(mirror.replace(older, 9).empty(), "an older table adds nothing");
    cr_assert(mirror.changesAfter(7).isComplete, "what was added may be older than what a peer knows");
}

/// Guards against losing a change that is written twice within one answer: the first row was dropped as superseded, and
/// the second as unchanged.
Test(table_mirror, a_change_that_is_written_again_within_one_answer_is_returned)
{
    TableMirror mirror;
    mirror.replace({ row("a", "x", 3) }, 5);
    const auto changed
        = mirror.apply({ row("a", "y", 6), row("b", "new", 7), row("a", "y", 8), row("b", "new", 9) }, 9);
    cr_assert_eq(changed.size(), 2);
    cr_assert((changed[0] == row("a", "y", 8)) && (changed[1] == row("b", "new", 9)));
}

/// Guards against peers that never learn of a removal that only a complete table shows.
Test(table_mirror, a_complete_table_is_as_new_as_its_version)
{
    TableMirror mirror;
    mirror.restore({ row("a", "x", 3) }, { 1, 9 });
    cr_assert_eq(mirror.newestRow(), 9, "another row may have been removed since version 3");
}
