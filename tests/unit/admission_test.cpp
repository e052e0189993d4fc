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
