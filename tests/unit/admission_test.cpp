#include "goldcrestcleat/admission/FairQueue.h"
#include "goldcrestcleat/admission/OpenCounts.h"
#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/admission/RetryBudget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

using namespace goldcrestcleat::admission;

Test(fair_queue, busy_flows_get_cost_in_proportion_to_their_weight)
{
    cr_assert(rc::check([] {
        FairQueue<int> queue;
        const double weights[] = { 1.0, static_cast<double>(*rc::gen::inRange(2, 5)) };
        std::map<int, double> served;
        for (int i = 0; i < 400; ++i) {
            for (int flow = 0; flow < 2; ++flow)
                queue.push(static_cast<std::uint64_t>(flow), 1 + i % 3, weights[flow], flow * 1000 + 1 + i % 3);
        }
        for (int i = 0; i < 200; ++i) {
            const int item = *queue.pop();
            served[item / 1000] += item % 1000;
        }
        const double ratio = served[1] / served[0];
        RC_ASSERT(ratio > weights[1] * 0.85);
        RC_ASSERT(ratio < weights[1] * 1.15);
    }));
}

Test(fair_queue, a_flow_that_was_idle_saves_up_nothing)
{
    FairQueue<int> queue;
    for (int i = 0; i < 100; ++i)
        queue.push(1, 1, 1, 1);
    for (int i = 0; i < 50; ++i)
        queue.pop();
    for (int i = 0; i < 50; ++i)
        queue.push(2, 1, 1, 2);
    int second = 0;
    for (int i = 0; i < 20; ++i)
        second += *queue.pop() == 2;
    cr_assert_geq(second, 9);
    cr_assert_leq(second, 11);
}

Test(fair_queue, removed_items_never_leave)
{
    FairQueue<int> queue;
    const auto first = queue.push(1, 1, 1, 10);
    queue.push(1, 1, 1, 20);
    cr_assert_eq(*queue.remove(first), 10);
    cr_assert_not(queue.remove(first).has_value());
    cr_assert_eq(*queue.pop(), 20);
    cr_assert_not(queue.pop().has_value());
}

Test(quarantine, neighbours_with_the_same_content_are_not_banned_by_two_crashes)
{
    Quarantine q;
    q.record({ 5, 100, false }, 1);
    q.record({ 5, 101, false }, 1);
    cr_assert_not(q.isBanned(5, 1));
    q.record({ 5, 102, false }, 1);
    cr_assert(q.isBanned(5, 1));
}

Test(quarantine, a_second_crash_as_a_suspect_bans_a_request_for_a_time)
{
    Quarantine q;
    const auto now = Quarantine::RETENTION_MS * 2;
    cr_assert(q.record({ 5, 100, false }, now));
    cr_assert(not q.record({ 5, 100, false }, now), "the same crash counts once");
    cr_assert(q.isSuspect(5, now));
    cr_assert_not(q.isBanned(5, now));
    cr_assert(q.record({ 5, 101, true }, now));
    cr_assert(q.isBanned(5, now));
    cr_assert_not(q.isBanned(6, now));
    cr_assert_not(q.isBanned(5, now + Quarantine::RETENTION_MS + 1));
    cr_assert_eq(q.current(now).size(), 2);
}

Test(quarantine, the_table_stays_within_its_size)
{
    Quarantine q;
    for (Fingerprint f = 1; f <= Quarantine::MAX_ENTRIES + 100; ++f)
        q.record({ f, 1, false }, static_cast<goldcrestcleat::loop::TimeMs>(f));
    cr_assert_eq(q.current(1).size(), Quarantine::MAX_ENTRIES);
}

Test(quarantine, workspaces_do_not_share_fingerprints)
{
    cr_assert_neq(fingerprintOf("a", "body"), fingerprintOf("b", "body"));
}

Test(retry_budget, retries_are_a_share_of_requests)
{
    RetryBudget budget;
    int taken = 0;
    while (budget.tryTake())
        ++taken;
    cr_assert_eq(taken, static_cast<int>(RetryBudget::MAX_BALANCE));
    for (int i = 0; i < 100; ++i)
        budget.onRequest();
    taken = 0;
    while (budget.tryTake())
        ++taken;
    cr_assert_geq(taken, 19);
    cr_assert_leq(taken, 20);
}

Test(open_counts, refuse_beyond_the_limit_and_free_on_close)
{
    OpenCounts counts;
    cr_assert(counts.tryOpen("a", 2));
    cr_assert(counts.tryOpen("a", 2));
    cr_assert_not(counts.tryOpen("a", 2));
    cr_assert(counts.tryOpen("b", 1));
    counts.close("a");
    cr_assert(counts.tryOpen("a", 2));
    cr_assert_eq(counts.total(), 3);
}
