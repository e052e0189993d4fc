#include "RequestFixture.h"

#include <criterion/criterion.h>

using namespace testing;

namespace {

constexpr loop::TimeMs ANSWER_TIMEOUT_MS = 200;

using Names = std::vector<std::string>;

void expectAllReleased(const RequestResult& result)
{
    for (const auto& [server, count] : result.heldPlacements)
        cr_assert_eq(count, 0, "%s has %d placements that were not released", server.c_str(), count);
}

} // namespace

Test(forward_request, a_complete_answer_is_forwarded)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.addServer("a", answer);
    const RequestResult result = fixture.run();
    cr_assert_eq(result.callerStatus, 200);
    cr_assert(result.callerBody == "done");
    cr_assert(result.summary && result.summary->code == ResultCode::Ok);
    expectAllReleased(result);
}

Test(forward_request, a_request_that_must_not_be_repeated_is_retried_only_while_it_certainly_has_not_run)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.attempts = 2;
    fixture.addClosedPort("closed");
    fixture.addServer("full", rejectUnexecuted);
    fixture.addServer("broken", abortConnection);
    fixture.addServer("good", answer);
    const RequestResult result = fixture.run();
    cr_assert((result.sentTo == Names { "closed", "full", "broken" }), "no attempt may follow a broken answer");
    cr_assert(result.error && result.error->possibleRuns == 1);
    cr_assert(result.error->code == ResultCode::UpstreamFailed);
    expectAllReleased(result);
}

Test(forward_request, a_refusal_is_reported_as_not_run_when_no_server_ran_it)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.addClosedPort("closed");
    fixture.addServer("full", rejectUnexecuted);
    const RequestResult result = fixture.run();
    cr_assert(result.error && result.error->possibleRuns == 0);
    cr_assert(result.error->code == ResultCode::NoUpstream);
    expectAllReleased(result);
}

Test(forward_request, a_repeatable_request_runs_at_most_as_often_as_allowed)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.mayRepeat = true;
    fixture.plan.attempts = 2;
    fixture.addServer("failing", fail);
    fixture.addServer("broken", abortConnection);
    fixture.addServer("good", answer);
    const RequestResult result = fixture.run();
    cr_assert((result.sentTo == Names { "failing", "broken" }));
    cr_assert(result.error && result.error->possibleRuns == 2);
    expectAllReleased(result);
}

Test(forward_request, without_retry_budget_the_failure_of_a_server_is_forwarded)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.mayRepeat = true;
    fixture.plan.attempts = 2;
    fixture.retryBudget = 0;
    fixture.addServer("failing", fail);
    fixture.addServer("good", answer);
    const RequestResult result = fixture.run();
    cr_assert_eq(result.callerStatus, 500);
    cr_assert((result.sentTo == Names { "failing" }));
}

Test(forward_request, an_unresponsive_server_is_abandoned_only_for_another_one)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.mayRepeat = true;
    fixture.plan.attempts = 2;
    fixture.plan.firstByteTimeoutMs = fixture.plan.idleTimeoutMs = ANSWER_TIMEOUT_MS;
    fixture.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    fixture.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
        fixture.loop.after(3 * ANSWER_TIMEOUT_MS, [exchange] { answer(exchange); });
    });
    const RequestResult result = fixture.run();
    cr_assert((result.sentTo == Names { "unresponsive", "slow" }));
    cr_assert_eq(result.callerStatus, 200, "the last attempt may use all the remaining time");
    expectAllReleased(result);
}

Test(forward_request, without_retry_budget_an_unresponsive_server_keeps_the_request)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.mayRepeat = true;
    fixture.plan.attempts = 2;
    fixture.retryBudget = 0;
    fixture.plan.firstByteTimeoutMs = fixture.plan.idleTimeoutMs = ANSWER_TIMEOUT_MS;
    fixture.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
        fixture.loop.after(3 * ANSWER_TIMEOUT_MS, [exchange] { answer(exchange); });
    });
    fixture.addServer("good", answer);
    const RequestResult result = fixture.run();
    cr_assert((result.sentTo == Names { "slow" }));
    cr_assert_eq(result.callerStatus, 200);
    expectAllReleased(result);
}

Test(forward_request, an_unresponsive_server_is_suspected_once_and_keeps_the_request_unless_it_is_unavailable)
{
    for (const bool isUnavailable : { false, true }) {
        loop::EventLoop eventLoop;
        RequestFixture fixture(eventLoop);
        fixture.areSuspectsUnavailable = isUnavailable;
        fixture.plan.mayRepeat = true;
        fixture.plan.attempts = 2;
        fixture.plan.firstByteTimeoutMs = fixture.plan.idleTimeoutMs = 5 * ANSWER_TIMEOUT_MS;
        fixture.plan.firstByteSuspectMs = fixture.plan.idleSuspectMs = ANSWER_TIMEOUT_MS;
        fixture.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
            fixture.loop.after(3 * ANSWER_TIMEOUT_MS, [exchange] { answer(exchange); });
        });
        fixture.addServer("good", answer);
        const RequestResult result = fixture.run();
        cr_assert((result.suspected == Names { "slow" }));
        cr_assert((result.sentTo == (isUnavailable ? Names { "slow", "good" } : Names { "slow" })));
        cr_assert_eq(result.callerStatus, 200);
        expectAllReleased(result);
    }
}

Test(forward_request, a_request_that_must_not_be_repeated_stays_at_an_unavailable_server)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.areSuspectsUnavailable = true;
    fixture.plan.firstByteSuspectMs = ANSWER_TIMEOUT_MS;
    fixture.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    fixture.addServer("good", answer);
    const RequestResult result = fixture.run();
    cr_assert((result.suspected == Names { "unresponsive" }),
        "the suspicion must be reported for the benefit of other requests");
    cr_assert((result.sentTo == Names { "unresponsive" }));
    cr_assert(result.error && result.error->possibleRuns == 1);
}

Test(forward_request, the_time_limit_ends_a_request_that_may_still_run)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    const RequestResult result = fixture.run();
    cr_assert(result.error && result.error->code == ResultCode::UpstreamTimeout);
    cr_assert_eq(result.error->possibleRuns, 1);
    expectAllReleased(result);
}

Test(forward_request, an_answer_timeout_can_end_the_request)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.failsWhenUnresponsive = true;
    fixture.plan.timeoutCoversResponse = false;
    fixture.plan.firstByteTimeoutMs = fixture.plan.idleTimeoutMs = ANSWER_TIMEOUT_MS;
    fixture.addServer("unresponsive", [](const http::Exchange::Ptr&) {});
    const RequestResult result = fixture.run();
    cr_assert(result.error && result.error->code == ResultCode::UpstreamTimeout);
    cr_assert((result.failures == std::vector<FailureKind> { FailureKind::Unresponsive }));
    expectAllReleased(result);
}

Test(forward_request, a_request_can_be_repeated_at_a_server_that_still_runs)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.mayRepeat = true;
    fixture.plan.attempts = 2;
    fixture.nextServer = NextServer::Same;
    int calls = 0;
    fixture.addServer("flaky", [&](const http::Exchange::Ptr& exchange) {
        if (++calls == 1)
            abortConnection(exchange);
        else
            answer(exchange);
    });
    const RequestResult result = fixture.run();
    cr_assert((result.sentTo == Names { "flaky", "flaky" }));
    cr_assert_eq(result.callerStatus, 200);
    expectAllReleased(result);
}

Test(forward_request, the_disconnect_of_the_caller_ends_the_request)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    bool isServerDisconnected = false;
    fixture.addServer("unresponsive", [&](const http::Exchange::Ptr& exchange) {
        exchange->onCallerDisconnected = [&] { isServerDisconnected = true; };
        fixture.disconnectCaller();
    });
    // The server reads the end of its connection only after the request has ended.
    const RequestResult result = fixture.runUntil([&] { return fixture.hasEnded() && isServerDisconnected; });
    cr_assert(result.summary && result.summary->code == ResultCode::CallerGone);
    cr_assert(isServerDisconnected, "the connection to the server must be closed");
    expectAllReleased(result);
}

Test(forward_request, a_request_that_survives_its_caller_is_completed)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.continuesWithoutCaller = true;
    fixture.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
        fixture.disconnectCaller();
        fixture.loop.after(100, [exchange] { answer(exchange); });
    });
    const RequestResult result = fixture.runUntil([&] { return fixture.result.summary.has_value(); });
    cr_assert(result.summary && result.summary->code == ResultCode::Ok);
    expectAllReleased(result);
}

Test(forward_request, the_disconnect_of_the_caller_stops_the_choice_of_a_server)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.leavesPlacementPending = true;
    const RequestResult result = fixture.run();
    cr_assert(result.wasPlacingStopped);
    cr_assert(result.summary && result.summary->code == ResultCode::CallerGone);
}

Test(forward_request, a_stream_with_an_end_marker_is_complete_only_after_it)
{
    for (const bool hasMarker : { true, false }) {
        loop::EventLoop eventLoop;
        RequestFixture fixture(eventLoop);
        fixture.plan.isStream = true;
        fixture.plan.requiresEndMarker = true;
        fixture.addServer("a", [hasMarker](const http::Exchange::Ptr& exchange) {
            exchange->startStream(200, {});
            exchange->write("id: 1\n\n");
            if (hasMarker)
                exchange->write("end\n\n");
            exchange->finishStream();
        });
        const RequestResult result = fixture.run();
        cr_assert_eq(result.summary->code == ResultCode::Ok, hasMarker);
        cr_assert_eq(result.error.has_value(), !hasMarker);
        expectAllReleased(result);
    }
}
