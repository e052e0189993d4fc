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
