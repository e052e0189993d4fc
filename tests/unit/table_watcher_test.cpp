#include "FakeStore.h"
#include "goldcrestcleat/store/TableWatcher.h"

#include <criterion/criterion.h>

#include <functional>

using namespace goldcrestcleat;
using namespace goldcrestcleat::store;

namespace {

struct Fixture {
    loop::EventLoop loop;
    FakeStore store;
    std::vector<VersionedRow> changed;
    std::vector<bool> availability;
    TableWatcher watcher { loop, store.rowStore, "t",
        { [this](const std::vector<VersionedRow>& rows) { changed.insert(changed.end(), rows.begin(), rows.end()); },
            [this](bool isAnswering, const std::string&) { availability.push_back(isAnswering); } } };

    /// Runs each step the given time after the previous one, and stops the loop after the last.
    void run(const std::vector<std::pair<loop::TimeMs, std::function<void()>>>& steps)
    {
        loop::TimeMs at = 0;
        for (const auto& [afterMs, step] : steps)
            loop.after(at += afterMs, step);
        loop.after(at, [this] { loop.stop(); });
        loop.run();
    }
};

} // namespace

Test(table_watcher, reads_all_pages_and_watches_from_the_first_pages_version)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(answered({ { "a", "1", 3, false } }, 10, true));
    const auto second = f.store.take();
    cr_assert_not(second.isWatch);
    cr_assert(second.fromKey > "a" && second.fromKey < "a0");
    second.answer(answered({ { "b", "2", 11, false } }, 12));
    const auto watch = f.store.take();
    cr_assert(watch.isWatch);
    cr_assert_eq(watch.afterVersion, 10, "a row may have changed between the pages");
    cr_assert_eq(f.changed.size(), 2);
    cr_assert(f.watcher.isCurrent());
}

Test(table_watcher, a_gap_in_the_history_causes_a_full_read)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(answered({ { "a", "1", 3, false } }, 10));
    f.store.take().answer(failed(ReadOutcome::HistoryCompacted));
    const auto read = f.store.take();
    cr_assert_not(read.isWatch);
    read.answer(answered({}, 40));
    cr_assert(f.changed.back().isRemoved, "a row that was removed during the gap must be reported as removed");
    cr_assert_eq(f.store.take().afterVersion, 40);
}

Test(table_watcher, a_failed_call_is_retried_after_a_pause_and_a_change_of_availability_is_reported_once)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(failed(ReadOutcome::Refused));
    cr_assert(f.store.calls.empty(), "a retry must wait");
    f.run({ { 300, [&] { f.store.take().answer(failed(ReadOutcome::NoAnswer)); } },
        { 600, [&] {
             f.store.take().answer(answered({ { "a", "1", 3, false } }, 10));
         } } });
    cr_assert((f.availability == std::vector<bool> { false, true }));
}

Test(table_watcher, applies_newer_rows_of_a_peer_while_the_store_is_unavailable)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(answered({ { "a", "1", 3, false } }, 10));
    f.store.take().answer(failed(ReadOutcome::NoAnswer));
    cr_assert_not(f.watcher.isCurrent());
    f.watcher.applyFromPeer({ false, 12, { { "a", "2", 12, false } } });
    cr_assert(f.changed.back().value == "2");
    f.watcher.applyFromPeer({ true, 11, {} });
    cr_assert_eq(f.watcher.mirror().version(), 12, "an older copy changes nothing");
    f.run({ { 300, [&] { cr_assert_eq(f.store.take().afterVersion, 12); } } });
}

namespace {

RowSet inEra(std::uint64_t era, RowSet set)
{
    set.era = era;
    return set;
}

} // namespace

/// Guards against applying the changes after a version that means another state since the store was restored.
Test(table_watcher, a_watch_that_is_answered_in_a_new_era_is_followed_by_a_full_read)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(inEra(1, answered({ { "a", "new", 9, false }, { "b", "x", 4, false } }, 10)));
    f.store.take().answer(inEra(2, answered({ { "c", "y", 12, false } }, 12)));
    cr_assert_eq(f.changed.size(), 2, "rows of the watch must not be applied");
    f.store.take().answer(inEra(2, answered({ { "a", "old", 3, false }, { "c", "y", 12, false } }, 12)));
    cr_assert((f.watcher.mirror().state() == StateVersion { 2, 12 }));
    const std::vector<VersionedRow> expected
        = { { "a", "old", 3, false, true }, { "c", "y", 12, false, true }, { "b", "", 12, true, true } };
    cr_assert((std::vector<VersionedRow>(f.changed.begin() + 2, f.changed.end()) == expected));
    f.store.take().answer(inEra(2, answered({ { "a", "old", 13, false } }, 13)));
    cr_assert((f.changed.back() == VersionedRow { "a", "old", 13, false }), "it was written again");
}

Test(table_watcher, a_late_answer_of_an_earlier_era_changes_nothing)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(inEra(1, answered({ { "a", "1", 9, false } }, 10)));
    f.watcher.applyFromPeer({ false, 12, { { "a", "3", 12, false } }, 2 });
    cr_assert_eq(f.watcher.mirror().era(), 1, "a change of another era is based on rows that are not known");
    f.watcher.applyFromPeer({ true, 5, { { "a", "2", 4, false } }, 2 });
    cr_assert((f.watcher.mirror().state() == StateVersion { 2, 5 }));
    f.store.take().answer(inEra(1, answered({ { "a", "late", 11, false } }, 11)));
    cr_assert(f.watcher.mirror().rows().at("a").value == "2");
    cr_assert_eq(f.watcher.applyFromPeer({ true, 50, { { "a", "late", 50, false } }, 1 }), 0);
    cr_assert((f.watcher.mirror().state() == StateVersion { 2, 5 }));
}

Test(table_watcher, a_table_whose_pages_are_of_two_eras_is_read_again)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(inEra(1, answered({ { "a", "1", 3, false } }, 10, true)));
    f.store.take().answer(inEra(2, answered({ { "b", "1", 4, false } }, 6)));
    cr_assert(f.changed.empty());
    f.store.take().answer(inEra(2, answered({ { "a", "2", 2, false } }, 6)));
    cr_assert_eq(f.changed.size(), 1);
    cr_assert((f.watcher.mirror().state() == StateVersion { 2, 6 }));
}

Test(table_watcher, answers_that_state_no_era_belong_to_the_known_one)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(inEra(3, answered({ { "a", "1", 3, false } }, 10)));
    f.store.take().answer(answered({ { "a", "2", 11, false } }, 11));
    cr_assert((f.watcher.mirror().state() == StateVersion { 3, 11 }));
    cr_assert_eq(f.changed.size(), 2);
}

/// Guards against losing the changes behind the limit of an answer that states the newest version.
Test(table_watcher, changes_behind_the_limit_of_an_answer_are_requested)
{
    Fixture f;
    f.watcher.start();
    f.store.take().answer(answered({ { "a", "1", 3, false } }, 10));
    f.store.take().answer(answered({ { "a", "2", 11, false }, { "b", "1", 12, false } }, 40, true));
    f.run({ { 300,
                [&] {
                    const auto next = f.store.take();
                    cr_assert_eq(next.afterVersion, 11, "other rows of the last version may follow");
                    next.answer(answered({ { "b", "1", 12, false }, { "c", "1", 12, false } }, 40, true));
                } },
        { 300, [&] { cr_assert_not(f.store.take().isWatch, "one version that does not fit needs a full read"); } } });
    cr_assert_eq(f.changed.size(), 3);
}
