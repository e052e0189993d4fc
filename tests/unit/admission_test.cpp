#include "goldcrestcleat/admission/FairQueue.h"
#include "goldcrestcleat/admission/OpenCounts.h"
#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/admission/RetryBudget.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <map>

using namespace goldcrestcleat::admission;

Test(fair_queue, backlogged_flows_are_served_in_proportion_to_their_weights)
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

Test(fair_queue, an_idle_flow_accumulates_no_credit)
{
    FairQueue<int> queue;
    for (int i = 0; i < 100; ++i)
        queue.push(1, 1, 1, 1);
    for (int i = 0; i < 50; ++i)
        queue.pop();
    for (int i = 0; i < 50; ++i)
        queue.push(2, 1, 1, 2);
    int servedOfSecondFlow = 0;
    for (int i = 0; i < 20; ++i)
        servedOfSecondFlow += *queue.pop() == 2;
    cr_assert_geq(servedOfSecondFlow, 9);
    cr_assert_leq(servedOfSecondFlow, 11);
}

Test(fair_queue, removed_items_are_not_popped)
{
    FairQueue<int> queue;
    const auto first = queue.push(1, 1, 1, 10);
    queue.push(1, 1, 1, 20);
    cr_assert_eq(*queue.remove(first), 10);
    cr_assert_not(queue.remove(first).has_value());
    cr_assert_eq(*queue.pop(), 20);
    cr_assert_not(queue.pop().has_value());
}

Test(quarantine, requests_with_the_same_content_are_banned_by_three_crashes_and_not_by_two)
{
    Quarantine q;
    q.record({ 5, 100, false }, 1);
    q.record({ 5, 101, false }, 1);
    cr_assert_not(q.isBanned(5, 1));
    q.record({ 5, 102, false }, 1);
    cr_assert(q.isBanned(5, 1));
}

Test(quarantine, a_second_crash_as_a_suspect_bans_a_request_temporarily)
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

Test(quarantine, the_number_of_entries_is_limited)
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

Test(retry_budget, retries_are_a_fraction_of_requests)
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

Test(open_counts, opening_fails_at_the_limit_until_a_request_is_closed)
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
