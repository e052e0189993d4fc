#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/LoadBound.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::routing;

namespace {

constexpr NodeKey HOLDER = 7;

/// A view of engines 1 to n of one model.
LoadView viewOf(int engines)
{
    LoadView view(500);
    for (int key = 1; key <= engines; ++key)
        view.putEngine({ static_cast<NodeKey>(key), "m", 100, true });
    return view;
}

struct DeskFixture {
    explicit DeskFixture(int engines)
        : view(viewOf(engines))
        , desk(view, {}, [this](const AdmissionDecision& verdict) { verdicts.push_back(verdict); })
    {
        for (int key = 1; key <= engines; ++key)
            desk.open(static_cast<NodeKey>(key), 0, 0);
    }

    bool submit(NodeKey engine, TicketId ticket, goldcrestcleat::loop::TimeMs waitMs, goldcrestcleat::loop::TimeMs now,
        bool suspect = false)
    {
        const std::size_t before = verdicts.size();
        desk.submit({ engine, HOLDER, ticket, 1, 1, 1, waitMs, suspect }, now);
        return verdicts.size() > before && verdicts.back().granted;
    }

    LoadView view;
    std::vector<AdmissionDecision> verdicts;
    AdmissionController desk;
};

} // namespace

Test(load_bound, an_idle_engine_takes_one_request_and_not_a_second_one)
{
    DeskFixture f(4);
    cr_assert(f.submit(1, 1, 0, 0));
    cr_assert(not f.submit(1, 2, 0, 0), "load 1 is above the mean of 0.25");
}

Test(load_bound, a_grant_never_breaks_the_bound)
{
    DeskFixture f(4);
    TicketId ticket = 1;
    for (int round = 0; round < 400; ++round) {
        const NodeKey engine = static_cast<NodeKey>(round * 7 % 4 + 1);
        f.submit(engine, ticket++, 0, round);
        for (NodeKey key = 1; key <= 4; ++key)
            cr_assert_leq(f.desk.load(key), 1.25 * f.view.mean("m") + 1);
    }
}

Test(load_bound, the_lowest_recent_mean_counts_above_the_mean)
{
    LoadView view = viewOf(2);
    view.setLoad(1, 20, 0);
    view.setLoad(2, 20, 0);
    view.setLoad(2, 10, 100); // mean 15
    view.setLoad(2, 20, 200); // mean 20 again
    const auto* engine = view.find(1);
    cr_assert(not mayAdmit(view, *engine, 21, { 1.25, 1.10 }, 300), "21 is above 1.1 x 15");
    cr_assert(mayAdmit(view, *engine, 21, { 1.25, 1.10 }, 800), "the dip has left the window: 21 is below 1.1 x 20");
}

Test(load_bound, a_full_engine_takes_nothing_whatever_the_mean)
{
    LoadView view(0);
    view.putEngine({ 1, "m", 3, true });
    view.putEngine({ 2, "m", 100, true });
    view.setLoad(1, 3, 0);
    view.setLoad(2, 50, 0);
    cr_assert(not mayAdmit(view, *view.find(1), 3, {}, 0));
}

Test(load_bound, an_engine_that_leaves_takes_nothing_and_does_not_count_for_the_mean)
{
    LoadView view = viewOf(2);
    view.setLoad(1, 10, 0);
    view.putEngine({ 2, "m", 100, false });
    cr_assert_float_eq(view.mean("m"), 10.0, 1e-9);
    cr_assert(not mayAdmit(view, *view.find(2), 0, {}, 0));
}

Test(ticket_desk, a_queued_ask_is_granted_on_release_and_denied_after_its_wait)
{
    DeskFixture f(2);
    cr_assert(f.submit(1, 1, 0, 0));
    cr_assert(not f.submit(1, 2, 100, 10));
    cr_assert(not f.submit(1, 3, 100, 20));
    f.desk.release(1, HOLDER, 1, 50);
    cr_assert_eq(f.verdicts.back().ticket, 2);
    cr_assert(f.verdicts.back().granted);
    f.desk.tick(121);
    cr_assert_eq(f.verdicts.back().ticket, 3);
    cr_assert(not f.verdicts.back().granted);
}

Test(ticket_desk, a_lost_holders_tickets_count_until_the_engine_reports_them_gone)
{
    DeskFixture f(1);
    cr_assert(f.submit(1, 1, 0, 0));
    cr_assert(f.submit(1, 2, 0, 0));
    f.desk.onHolderDisconnected(HOLDER, 100);
    cr_assert_eq(f.desk.load(1), 2);
    f.desk.onReport(1, 1, 200);
    cr_assert_eq(f.desk.load(1), 1);
    f.desk.onReport(1, 0, 300);
    cr_assert_eq(f.desk.load(1), 0);
}

Test(ticket_desk, a_new_home_counts_what_the_last_one_told_until_holders_report)
{
    LoadView view = viewOf(1);
    view.setLoad(1, 5, 0);
    AdmissionController desk(view, {}, [](const AdmissionDecision&) {});
    desk.open(1, 0, 300);
    cr_assert_eq(desk.load(1), 5);
    desk.setHeldTickets(1, 8, { 1, 2, 3 }, 10);
    cr_assert_eq(desk.load(1), 5, "three are claimed and two still have no holder");
    desk.onReport(1, 3, 100);
    cr_assert_eq(desk.load(1), 3);
}

Test(ticket_desk, a_new_home_grants_nothing_before_it_has_settled)
{
    LoadView view = viewOf(1);
    int granted = 0;
    AdmissionController desk(view, {}, [&](const AdmissionDecision& verdict) { granted += verdict.granted; });
    desk.open(1, 0, 300);
    desk.submit({ 1, HOLDER, 1, 1, 1, 1, 1000, false }, 10);
    cr_assert_eq(granted, 0);
    desk.tick(301);
    cr_assert_eq(granted, 1);
}

Test(ticket_desk, an_engine_runs_one_suspect_at_a_time)
{
    DeskFixture f(1);
    cr_assert(f.submit(1, 1, 0, 0, true));
    cr_assert(not f.submit(1, 2, 0, 0, true));
    cr_assert(f.submit(1, 3, 0, 0, false));
    f.desk.release(1, HOLDER, 1, 10);
    cr_assert(f.submit(1, 4, 0, 20, true));
}

Test(ticket_desk, an_engine_over_the_bound_names_the_holder_with_most_tickets)
{
    DeskFixture f(4);
    f.desk.setHeldTickets(1, HOLDER, { 1, 2, 3 }, 0);
    f.desk.setHeldTickets(1, 9, { 1 }, 0);
    const auto over = f.desk.overloaded();
    cr_assert_eq(over.size(), 1);
    cr_assert_eq(over[0].first, 1);
    cr_assert_eq(over[0].second, HOLDER);
}

Test(ticket_desk, workspaces_share_a_contended_engine_by_weight)
{
    DeskFixture f(1);
    cr_assert(f.submit(1, 1, 0, 0));
    // Engine full: maxRunning 1.
    f.view.putEngine({ 1, "m", 1, true });
    for (TicketId i = 0; i < 40; ++i) {
        f.desk.submit({ 1, HOLDER, 100 + i, /*workspace*/ 1, 1, 3.0, 100'000, false }, 1);
        f.desk.submit({ 1, HOLDER, 200 + i, /*workspace*/ 2, 1, 1.0, 100'000, false }, 1);
    }
    int heavy = 0;
    TicketId running = 1;
    for (int i = 0; i < 20; ++i) {
        f.desk.release(1, HOLDER, running, 10 + i);
        running = f.verdicts.back().ticket;
        heavy += running < 200;
    }
    cr_assert_eq(heavy, 15, "three of four grants go to the workspace with three times the weight, got %d", heavy);
}
