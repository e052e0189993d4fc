#include "LifeCycle.h"

#include <criterion/criterion.h>

using namespace proofs;

namespace {

constexpr loop::TimeMs INACTIVITY_MS = 200;

using Names = std::vector<std::string>;

void expectAllReleased(const Trace& trace)
{
    for (const auto& [server, count] : trace.unreleased)
        cr_assert_eq(count, 0, "%s has %d unreleased placements after the end", server.c_str(), count);
}

} // namespace

Test(forward_request, a_complete_response_is_forwarded)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.addServer("a", answer);
    const Trace trace = life.run();
    cr_assert_eq(trace.callerStatus, 200);
    cr_assert(trace.callerBody == "done");
    cr_assert(trace.summary && trace.summary->code == ResultCode::Ok);
    expectAllReleased(trace);
}

Test(forward_request, a_request_that_must_not_repeat_is_retried_only_if_it_was_certainly_not_executed)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.attempts = 2;
    life.addUnreachableServer("unreachable");
    life.addServer("full", rejectUnexecuted);
    life.addServer("broken", breakOff);
    life.addServer("good", answer);
    const Trace trace = life.run();
    cr_assert((trace.sentTo == Names { "unreachable", "full", "broken" }), "no retry after a broken response");
    cr_assert(trace.error && trace.error->possibleRuns == 1);
    cr_assert(trace.error->code == ResultCode::UpstreamFailed);
    expectAllReleased(trace);
}

Test(forward_request, an_error_reports_no_execution_if_no_server_executed_the_request)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.addUnreachableServer("unreachable");
    life.addServer("full", rejectUnexecuted);
    const Trace trace = life.run();
    cr_assert(trace.error && trace.error->possibleRuns == 0);
    cr_assert(trace.error->code == ResultCode::NoUpstream);
    expectAllReleased(trace);
}

Test(forward_request, a_repeatable_request_is_executed_no_more_often_than_allowed)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.addServer("failing", fail);
    life.addServer("broken", breakOff);
    life.addServer("good", answer);
    const Trace trace = life.run();
    cr_assert((trace.sentTo == Names { "failing", "broken" }));
    cr_assert(trace.error && trace.error->possibleRuns == 2);
    expectAllReleased(trace);
}

Test(forward_request, without_budget_a_server_error_is_forwarded)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.retries = 0;
    life.addServer("failing", fail);
    life.addServer("good", answer);
    const Trace trace = life.run();
    cr_assert_eq(trace.callerStatus, 500);
    cr_assert((trace.sentTo == Names { "failing" }));
}

Test(forward_request, an_unresponsive_server_is_abandoned_only_for_another_one)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = INACTIVITY_MS;
    life.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    life.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
        life.loop.after(3 * INACTIVITY_MS, [exchange] { answer(exchange); });
    });
    const Trace trace = life.run();
    cr_assert((trace.sentTo == Names { "unresponsive", "slow" }));
    cr_assert_eq(trace.callerStatus, 200, "the last attempt may use all the remaining time");
    expectAllReleased(trace);
}

Test(forward_request, without_budget_an_unresponsive_server_keeps_the_request)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.retries = 0;
    life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = INACTIVITY_MS;
    life.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
        life.loop.after(3 * INACTIVITY_MS, [exchange] { answer(exchange); });
    });
    life.addServer("good", answer);
    const Trace trace = life.run();
    cr_assert((trace.sentTo == Names { "slow" }));
    cr_assert_eq(trace.callerStatus, 200);
    expectAllReleased(trace);
}

Test(forward_request, an_unresponsive_server_is_suspected_once_and_keeps_the_request_unless_it_is_down)
{
    for (const bool isDown : { false, true }) {
        loop::EventLoop eventLoop;
        LifeCycle life(eventLoop);
        life.findsSuspectsDown = isDown;
        life.plan.mayRepeat = true;
        life.plan.attempts = 2;
        life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = 5 * INACTIVITY_MS;
        life.plan.firstByteSuspectMs = life.plan.idleSuspectMs = INACTIVITY_MS;
        life.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
            life.loop.after(3 * INACTIVITY_MS, [exchange] { answer(exchange); });
        });
        life.addServer("good", answer);
        const Trace trace = life.run();
        cr_assert((trace.suspected == Names { "slow" }));
        cr_assert((trace.sentTo == (isDown ? Names { "slow", "good" } : Names { "slow" })));
        cr_assert_eq(trace.callerStatus, 200);
        expectAllReleased(trace);
    }
}

Test(forward_request, a_request_that_must_not_repeat_stays_at_a_server_that_is_down)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.findsSuspectsDown = true;
    life.plan.firstByteSuspectMs = INACTIVITY_MS;
    life.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    life.addServer("good", answer);
    const Trace trace = life.run();
    cr_assert((trace.suspected == Names { "unresponsive" }), "the server is suspected on behalf of other requests");
    cr_assert((trace.sentTo == Names { "unresponsive" }));
    cr_assert(trace.error && trace.error->possibleRuns == 1);
}

Test(forward_request, the_timeout_ends_a_request_that_may_still_be_executed)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    const Trace trace = life.run();
    cr_assert(trace.error && trace.error->code == ResultCode::UpstreamTimeout);
    cr_assert_eq(trace.error->possibleRuns, 1);
    expectAllReleased(trace);
}

Test(forward_request, a_request_can_fail_if_its_server_is_unresponsive)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.failsWhenUnresponsive = true;
    life.plan.timeoutCoversResponse = false;
    life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = INACTIVITY_MS;
    life.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    const Trace trace = life.run();
    cr_assert(trace.error && trace.error->code == ResultCode::UpstreamTimeout);
    cr_assert((trace.failures == std::vector<FailureKind> { FailureKind::Unresponsive }));
    expectAllReleased(trace);
}

Test(forward_request, a_server_that_still_runs_can_be_retried)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.nextServer = NextServer::Same;
    int calls = 0;
    life.addServer("flaky", [&](const http::Exchange::Ptr& exchange) {
        if (++calls == 1)
            breakOff(exchange);
        else
            answer(exchange);
    });
    const Trace trace = life.run();
    cr_assert((trace.sentTo == Names { "flaky", "flaky" }));
    cr_assert_eq(trace.callerStatus, 200);
    expectAllReleased(trace);
}

Test(forward_request, a_caller_that_disconnects_cancels_the_request)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    bool isServerFree = false;
    life.addServer("unresponsive",
        [&](const http::Exchange::Ptr& exchange) { exchange->onCallerGone = [&] { isServerFree = true; }; });
    const Trace trace = life.run(100);
    cr_assert(trace.summary && trace.summary->code == ResultCode::CallerGone);
    cr_assert(isServerFree, "the server sees its connection close");
    expectAllReleased(trace);
}

Test(forward_request, a_request_that_continues_without_its_caller_completes)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.continuesWithoutCaller = true;
    life.addServer(
        "slow", [&](const http::Exchange::Ptr& exchange) { life.loop.after(200, [exchange] { answer(exchange); }); });
    const Trace trace = life.run(100);
    cr_assert(trace.summary && trace.summary->code == ResultCode::Ok);
    expectAllReleased(trace);
}

Test(forward_request, a_caller_that_disconnects_cancels_a_pending_placement)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.neverPlaces = true;
    const Trace trace = life.run(100);
    cr_assert(trace.wasPlacementCancelled);
    cr_assert(trace.summary && trace.summary->code == ResultCode::CallerGone);
}

Test(forward_request, a_stream_with_an_end_marker_is_complete_only_after_it)
{
    for (const bool hasMarker : { true, false }) {
        loop::EventLoop eventLoop;
        LifeCycle life(eventLoop);
        life.plan.isStream = true;
        life.plan.requiresEndMarker = true;
        life.addServer("a", [hasMarker](const http::Exchange::Ptr& exchange) {
            exchange->startStream(200, {});
            exchange->write("id: 1\n\n");
            if (hasMarker)
                exchange->write("end\n\n");
            exchange->finishStream();
        });
        const Trace trace = life.run();
        cr_assert_eq(trace.summary->code == ResultCode::Ok, hasMarker);
        cr_assert_eq(trace.error.has_value(), !hasMarker);
        expectAllReleased(trace);
    }
}
