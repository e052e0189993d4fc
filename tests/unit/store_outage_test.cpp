#include "goldcrestcleat/store/OutageTracker.h"

#include <criterion/criterion.h>

using goldcrestcleat::loop::TimeMs;
using goldcrestcleat::store::OutageTracker;

namespace {

constexpr TimeMs TICK_MS = 100;

/// Observes at each tick up to, but not including, `until`.
TimeMs observe(OutageTracker& tracker, TimeMs from, TimeMs until, bool isAnswering)
{
    for (; from < until; from += TICK_MS)
        tracker.observe(from, isAnswering);
    return from;
}

} // namespace

Test(store_outage, a_store_that_answers_has_no_expired_entries)
{
    OutageTracker tracker(0);
    const TimeMs now = observe(tracker, 0, 20'000, true);
    cr_assert_not(tracker.mayHaveExpired(now));
}

Test(store_outage, entries_may_have_expired_from_an_outage_until_the_time_to_return_is_over)
{
    OutageTracker tracker(0);
    TimeMs now = observe(tracker, 0, 5'000, true);
    now = observe(tracker, now, 8'000, false);
    cr_assert(tracker.mayHaveExpired(now));
    const TimeMs returnedAt = now;
    now = observe(tracker, now, returnedAt + OutageTracker::RETURN_MS, true);
    cr_assert(tracker.mayHaveExpired(now - 1));
    cr_assert_not(tracker.mayHaveExpired(now));
}

Test(store_outage, the_time_that_other_daemons_take_to_watch_the_store_is_no_outage)
{
    OutageTracker tracker(0);
    TimeMs now = observe(tracker, 0, 5'000, true);
    now = observe(tracker, now, now + OutageTracker::MIN_OUTAGE_MS - 2 * TICK_MS, false);
    cr_assert_not(tracker.mayHaveExpired(now));
    now = observe(tracker, now, now + TICK_MS, true);
    cr_assert_not(tracker.mayHaveExpired(now));
}

Test(store_outage, an_outage_soon_after_another_extends_the_time_to_return)
{
    OutageTracker tracker(0);
    TimeMs now = observe(tracker, 0, 3'000, false);
    now = observe(tracker, now, now + 1'000, true);
    now = observe(tracker, now, now + 3'000, false);
    now = observe(tracker, now, now + OutageTracker::RETURN_MS - TICK_MS, true);
    cr_assert(tracker.mayHaveExpired(now));
}

Test(store_outage, the_time_to_return_begins_with_the_last_call_that_the_store_did_not_answer)
{
    OutageTracker tracker(0);
    observe(tracker, 0, 5'000, true);
    tracker.observeFailure(7'600);
    tracker.observeFailure(7'400); // of a table whose call took longer
    const TimeMs now = observe(tracker, 8'000, 7'600 + OutageTracker::RETURN_MS, true);
    cr_assert(tracker.mayHaveExpired(now - 1));
    cr_assert_not(tracker.mayHaveExpired(now));
}

Test(store_outage, entries_have_the_time_of_a_renewal_after_a_call_that_took_long)
{
    OutageTracker tracker(0);
    observe(tracker, 0, 5'000, true);
    tracker.observeFailure(5'200);
    TimeMs now = observe(tracker, 9'000, 9'000 + OutageTracker::RENEWAL_MS, true);
    cr_assert(tracker.mayHaveExpired(now - 1));
    cr_assert_not(tracker.mayHaveExpired(now));
}

Test(store_outage, a_daemon_that_was_suspended_does_not_know_whether_there_was_an_outage)
{
    OutageTracker tracker(0);
    TimeMs now = observe(tracker, 0, 5'000, true) + 4'000;
    tracker.observe(now, true);
    cr_assert(tracker.mayHaveExpired(now));
}
