#include "LifeCycle.h"

#include <criterion/criterion.h>

using namespace proofs;

namespace {

constexpr loop::TimeMs SILENCE_MS = 200;

using Names = std::vector<std::string>;

void expectAllReleased(const Story& story)
{
    for (const auto& [server, count] : story.held)
        cr_assert_eq(count, 0, "%s is held %d times after the end", server.c_str(), count);
}

} // namespace

Test(forward_request, a_whole_answer_is_passed_on)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.addServer("a", answer);
    const Story story = life.play();
    cr_assert_eq(story.callerStatus, 200);
    cr_assert(story.callerBody == "done");
    cr_assert(story.summary && story.summary->code == ResultCode::Ok);
    expectAllReleased(story);
}

Test(forward_request, a_request_that_must_not_repeat_goes_on_only_while_it_certainly_has_not_run)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.attempts = 2;
    life.addDeadServer("dead");
    life.addServer("full", rejectUnrun);
    life.addServer("broken", breakOff);
    life.addServer("good", answer);
    const Story story = life.play();
    cr_assert((story.sentTo == Names { "dead", "full", "broken" }), "a broken answer is the last one");
    cr_assert(story.ending && story.ending->possibleRuns == 1);
    cr_assert(story.ending->code == ResultCode::UpstreamFailed);
    expectAllReleased(story);
}

Test(forward_request, a_refusal_is_told_as_not_run_when_no_server_ran_it)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.addDeadServer("dead");
    life.addServer("full", rejectUnrun);
    const Story story = life.play();
    cr_assert(story.ending && story.ending->possibleRuns == 0);
    cr_assert(story.ending->code == ResultCode::NoUpstream);
    expectAllReleased(story);
}

Test(forward_request, a_repeatable_request_runs_no_more_often_than_it_may)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.addServer("failing", fail);
    life.addServer("broken", breakOff);
    life.addServer("good", answer);
    const Story story = life.play();
    cr_assert((story.sentTo == Names { "failing", "broken" }));
    cr_assert(story.ending && story.ending->possibleRuns == 2);
    expectAllReleased(story);
}

Test(forward_request, without_budget_a_servers_failure_is_passed_on)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.retries = 0;
    life.addServer("failing", fail);
    life.addServer("good", answer);
    const Story story = life.play();
    cr_assert_eq(story.callerStatus, 500);
    cr_assert((story.sentTo == Names { "failing" }));
}

Test(forward_request, a_silent_server_is_given_up_only_for_another_one)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = SILENCE_MS;
    life.addServer("silent", [](const http::Exchange::Ptr&) {});
    life.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
        life.loop.after(3 * SILENCE_MS, [exchange] { answer(exchange); });
    });
    const Story story = life.play();
    cr_assert((story.sentTo == Names { "silent", "slow" }));
    cr_assert_eq(story.callerStatus, 200, "the last attempt has all the time that is left");
    expectAllReleased(story);
}

Test(forward_request, without_budget_a_silent_server_keeps_the_request)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.retries = 0;
    life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = SILENCE_MS;
    life.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
        life.loop.after(3 * SILENCE_MS, [exchange] { answer(exchange); });
    });
    life.addServer("good", answer);
    const Story story = life.play();
    cr_assert((story.sentTo == Names { "slow" }));
    cr_assert_eq(story.callerStatus, 200);
    expectAllReleased(story);
}

Test(forward_request, a_silent_server_is_suspected_once_and_keeps_the_request_unless_it_is_lost)
{
    for (const bool isLost : { false, true }) {
        loop::EventLoop eventLoop;
        LifeCycle life(eventLoop);
        life.losesSuspects = isLost;
        life.plan.mayRepeat = true;
        life.plan.attempts = 2;
        life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = 5 * SILENCE_MS;
        life.plan.firstByteSuspectMs = life.plan.idleSuspectMs = SILENCE_MS;
        life.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
            life.loop.after(3 * SILENCE_MS, [exchange] { answer(exchange); });
        });
        life.addServer("good", answer);
        const Story story = life.play();
        cr_assert((story.suspected == Names { "slow" }));
        cr_assert((story.sentTo == (isLost ? Names { "slow", "good" } : Names { "slow" })));
        cr_assert_eq(story.callerStatus, 200);
        expectAllReleased(story);
    }
}

Test(forward_request, a_request_that_must_not_repeat_stays_at_a_lost_server)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.losesSuspects = true;
    life.plan.firstByteSuspectMs = SILENCE_MS;
    life.addServer("silent", [](const http::Exchange::Ptr&) {});
    life.addServer("good", answer);
    const Story story = life.play();
    cr_assert((story.suspected == Names { "silent" }), "its silence counts for the others");
    cr_assert((story.sentTo == Names { "silent" }));
    cr_assert(story.ending && story.ending->possibleRuns == 1);
}

Test(forward_request, the_limit_ends_a_request_that_may_still_run)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.addServer("silent", [](const http::Exchange::Ptr&) {});
    const Story story = life.play();
    cr_assert(story.ending && story.ending->code == ResultCode::UpstreamTimeout);
    cr_assert_eq(story.ending->possibleRuns, 1);
    expectAllReleased(story);
}

Test(forward_request, silence_can_be_final)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.failsWhenUnresponsive = true;
    life.plan.timeoutCoversResponse = false;
    life.plan.firstByteTimeoutMs = life.plan.idleTimeoutMs = SILENCE_MS;
    life.addServer("silent", [](const http::Exchange::Ptr&) {});
    const Story story = life.play();
    cr_assert(story.ending && story.ending->code == ResultCode::UpstreamTimeout);
    cr_assert((story.failures == std::vector<FailureKind> { FailureKind::Unresponsive }));
    expectAllReleased(story);
}

Test(forward_request, a_server_that_still_runs_can_get_the_request_again)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.mayRepeat = true;
    life.plan.attempts = 2;
    life.judgement = NextServer::Same;
    int calls = 0;
    life.addServer("flaky", [&](const http::Exchange::Ptr& exchange) {
        if (++calls == 1)
            breakOff(exchange);
        else
            answer(exchange);
    });
    const Story story = life.play();
    cr_assert((story.sentTo == Names { "flaky", "flaky" }));
    cr_assert_eq(story.callerStatus, 200);
    expectAllReleased(story);
}

Test(forward_request, a_caller_that_leaves_ends_the_work)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    bool isServerFree = false;
    life.addServer(
        "silent", [&](const http::Exchange::Ptr& exchange) { exchange->onCallerGone = [&] { isServerFree = true; }; });
    const Story story = life.play(100);
    cr_assert(story.summary && story.summary->code == ResultCode::CallerGone);
    cr_assert(isServerFree, "the server sees its connection close");
    expectAllReleased(story);
}

Test(forward_request, a_request_that_survives_its_caller_gets_its_answer)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.plan.continuesWithoutCaller = true;
    life.addServer(
        "slow", [&](const http::Exchange::Ptr& exchange) { life.loop.after(200, [exchange] { answer(exchange); }); });
    const Story story = life.play(100);
    cr_assert(story.summary && story.summary->code == ResultCode::Ok);
    expectAllReleased(story);
}

Test(forward_request, a_caller_that_leaves_while_no_server_is_chosen_stops_the_search)
{
    loop::EventLoop eventLoop;
    LifeCycle life(eventLoop);
    life.placesLater = true;
    const Story story = life.play(100);
    cr_assert(story.wasPlacingStopped);
    cr_assert(story.summary && story.summary->code == ResultCode::CallerGone);
}

Test(forward_request, a_stream_with_an_end_marker_is_whole_only_after_it)
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
        const Story story = life.play();
        cr_assert_eq(story.summary->code == ResultCode::Ok, hasMarker);
        cr_assert_eq(story.ending.has_value(), !hasMarker);
        expectAllReleased(story);
    }
}
