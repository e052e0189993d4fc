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

struct Fixture {
    explicit Fixture(int engines)
        : view(viewOf(engines))
        , controller(
              view, {}, [this](const AdmissionDecision& infoRateLimited) { decisions.push_back(infoRateLimited); })
    {
        for (int key = 1; key <= engines; ++key)
            controller.open(static_cast<NodeKey>(key), 0, 0);
    }

    bool request(NodeKey engine, TicketId ticket, goldcrestcleat::loop::TimeMs waitMs, goldcrestcleat::loop::TimeMs now,
        bool suspect = false)
    {
        const std::size_t before = decisions.size();
        controller.submit({ engine, HOLDER, ticket, 1, 1, 1, waitMs, suspect }, now);
        return decisions.size() > before && decisions.back().granted;
    }

    LoadView view;
    std::vector<AdmissionDecision> decisions;
    AdmissionController controller;
};

} // namespace

Test(load_bound, an_idle_engine_admits_one_request_and_not_a_second_one)
{
    Fixture f(4);
    cr_assert(f.request(1, 1, 0, 0));
    cr_assert(not f.request(1, 2, 0, 0), "load 1 is above the mean of 0.25");
}

Test(load_bound, a_grant_never_exceeds_the_bound)
{
    Fixture f(4);
    TicketId ticket = 1;
    for (int round = 0; round < 400; ++round) {
        const NodeKey engine = static_cast<NodeKey>(round * 7 % 4 + 1);
        f.request(engine, ticket++, 0, round);
        for (NodeKey key = 1; key <= 4; ++key)
            cr_assert_leq(f.controller.load(key), 1.25 * f.view.mean("m") + 1);
    }
}

Test(load_bound, above_the_mean_the_lowest_recent_mean_limits_the_load)
{
    LoadView view = viewOf(2);
    view.setLoad(1, 20, 0);
    view.setLoad(2, 20, 0);
    view.setLoad(2, 10, 100); // mean 15
    view.setLoad(2, 20, 200); // mean 20 again
    const auto* engine = view.find(1);
    cr_assert(not mayAdmit(view, *engine, 21, { 1.25, 1.10 }, 300), "21 is above 1.1 x 15");
    cr_assert(
        mayAdmit(view, *engine, 21, { 1.25, 1.10 }, 800), "the lower mean is outside the window: 21 is below 1.1 x 20");
}

Test(load_bound, a_full_engine_admits_nothing_whatever_the_mean)
{
    LoadView view(0);
    view.putEngine({ 1, "m", 3, true });
    view.putEngine({ 2, "m", 100, true });
    view.setLoad(1, 3, 0);
    view.setLoad(2, 50, 0);
    cr_assert(not mayAdmit(view, *view.find(1), 3, {}, 0));
}

Test(load_bound, a_leaving_engine_admits_nothing_and_does_not_count_for_the_mean)
{
    LoadView view = viewOf(2);
    view.setLoad(1, 10, 0);
    view.putEngine({ 2, "m", 100, false });
    cr_assert_float_eq(view.mean("m"), 10.0, 1e-9);
    cr_assert(not mayAdmit(view, *view.find(2), 0, {}, 0));
}

Test(admission_controller, a_queued_request_is_granted_on_release_and_denied_after_its_wait)
{
    Fixture f(2);
    cr_assert(f.request(1, 1, 0, 0));
    cr_assert(not f.request(1, 2, 100, 10));
    cr_assert(not f.request(1, 3, 100, 20));
    f.controller.release(1, HOLDER, 1, 50);
    cr_assert_eq(f.decisions.back().ticket, 2);
    cr_assert(f.decisions.back().granted);
    f.controller.tick(121);
    cr_assert_eq(f.decisions.back().ticket, 3);
    cr_assert(not f.decisions.back().granted);
}

Test(admission_controller, tickets_of_a_disconnected_holder_count_until_the_engine_reports_less_load)
{
    Fixture f(1);
    cr_assert(f.request(1, 1, 0, 0));
    cr_assert(f.request(1, 2, 0, 0));
    f.controller.onHolderDisconnected(HOLDER, 100);
    cr_assert_eq(f.controller.load(1), 2);
    f.controller.onReport(1, 1, 200);
    cr_assert_eq(f.controller.load(1), 1);
    f.controller.onReport(1, 0, 300);
    cr_assert_eq(f.controller.load(1), 0);
}

Test(admission_controller, a_new_owner_counts_the_last_known_load_until_holders_report)
{
    LoadView view = viewOf(1);
    view.setLoad(1, 5, 0);
    AdmissionController controller(view, {}, [](const AdmissionDecision&) {});
    controller.open(1, 0, 300);
    cr_assert_eq(controller.load(1), 5);
    controller.setHeldTickets(1, 8, { 1, 2, 3 }, 10);
    cr_assert_eq(controller.load(1), 5, "three are claimed by a holder and two are still unclaimed");
    controller.onReport(1, 3, 100);
    cr_assert_eq(controller.load(1), 3);
}

Test(admission_controller, a_new_owner_grants_nothing_before_its_settling_time_ends)
{
    LoadView view = viewOf(1);
    int granted = 0;
    AdmissionController controller(
        view, {}, [&](const AdmissionDecision& infoRateLimited) { granted += infoRateLimited.granted; });
    controller.open(1, 0, 300);
    controller.submit({ 1, HOLDER, 1, 1, 1, 1, 1000, false }, 10);
    cr_assert_eq(granted, 0);
    controller.tick(301);
    cr_assert_eq(granted, 1);
}

Test(admission_controller, an_engine_runs_one_suspect_at_a_time)
{
    Fixture f(1);
    cr_assert(f.request(1, 1, 0, 0, true));
    cr_assert(not f.request(1, 2, 0, 0, true));
    cr_assert(f.request(1, 3, 0, 0, false));
    f.controller.release(1, HOLDER, 1, 10);
    cr_assert(f.request(1, 4, 0, 20, true));
}

Test(admission_controller, an_engine_over_the_bound_names_the_holder_with_most_tickets)
{
    Fixture f(4);
    f.controller.setHeldTickets(1, HOLDER, { 1, 2, 3 }, 0);
    f.controller.setHeldTickets(1, 9, { 1 }, 0);
    const auto over = f.controller.overloaded();
    cr_assert_eq(over.size(), 1);
    cr_assert_eq(over[0].first, 1);
    cr_assert_eq(over[0].second, HOLDER);
}

Test(admission_controller, workspaces_share_a_contended_engine_by_weight)
{
    Fixture f(1);
    cr_assert(f.request(1, 1, 0, 0));
    // The engine runs at most one request, so all others wait.
    f.view.putEngine({ 1, "m", 1, true });
    for (TicketId i = 0; i < 40; ++i) {
        f.controller.submit({ 1, HOLDER, 100 + i, /*workspace*/ 1, 1, 3.0, 100'000, false }, 1);
        f.controller.submit({ 1, HOLDER, 200 + i, /*workspace*/ 2, 1, 1.0, 100'000, false }, 1);
    }
    int heavy = 0;
    TicketId running = 1;
    for (int i = 0; i < 20; ++i) {
        f.controller.release(1, HOLDER, running, 10 + i);
        running = f.decisions.back().ticket;
        heavy += running < 200;
    }
    cr_assert_eq(heavy, 15, "three of four grants go to the workspace with three times the weight, got %d", heavy);
}
