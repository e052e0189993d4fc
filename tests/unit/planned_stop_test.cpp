#include "RequestFixture.h"

#include "goldcrestcleat/forwarding/PlannedStop.h"

#include <criterion/criterion.h>

using namespace testing;

// Which requests are sent to a server in a planned stop, and what callers of the open ones get at its end. Guards
// against cutting a request whose answer could not be awaited.

namespace {

constexpr loop::TimeMs ACCEPTING_MS = 100;
constexpr loop::TimeMs SERVING_MS = 400;

/// Begins the planned stop of the fixture's daemon, which ends its open requests like `front`.
void beginStop(RequestFixture& fixture, loop::TimeMs acceptingMs)
{
    auto& env = fixture.environment;
    env.stop = forwarding::PlannedStop { fixture.loop.now() + acceptingMs, fixture.loop.now() + SERVING_MS };
    fixture.loop.after(SERVING_MS, [&env] {
        const auto open = env.openRequests;
        for (const auto& request : open)
            request->onStopEnds();
    });
}

} // namespace

Test(planned_stop, a_request_is_sent_only_if_its_limit_ends_before_the_daemon)
{
    const forwarding::PlannedStop stop { 1'000, 5'000 };
    cr_assert(forwarding::maySend(std::nullopt, 9'000, 99'000));
    cr_assert(forwarding::maySend(stop, 999, 99'000), "all requests are accepted at first");
    cr_assert(forwarding::maySend(stop, 1'000, 4'999));
    cr_assert(!forwarding::maySend(stop, 1'000, 5'000));
    cr_assert(!forwarding::maySend(stop, 4'999, 99'000));
}

Test(planned_stop, a_request_that_must_not_be_repeated_is_not_sent_late, .timeout = 20)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.addServer("rejecting", [&](const http::Exchange::Ptr& exchange) {
        beginStop(fixture, 0);
        rejectUnexecuted(exchange);
    });
    fixture.addServer("good", answer);
    const RequestResult result = fixture.run();
    cr_assert_eq(result.sentTo.size(), 1);
    cr_assert(result.error && result.error->possibleRuns == 0);
    cr_assert(result.error->code == ResultCode::Stopping);
}

Test(planned_stop, a_repeat_begins_late_if_the_request_may_run_again, .timeout = 20)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.mayRepeat = true;
    fixture.plan.attempts = 2;
    fixture.addServer("failing", [&](const http::Exchange::Ptr& exchange) {
        beginStop(fixture, 0);
        fail(exchange);
    });
    fixture.addServer("good", answer);
    const RequestResult result = fixture.run();
    cr_assert_eq(result.callerStatus, 200);
}

Test(planned_stop, callers_of_requests_that_are_open_at_its_end_learn_whether_they_may_have_run, .timeout = 20)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.addServer("silent", [](const http::Exchange::Ptr&) {});
    beginStop(fixture, ACCEPTING_MS);
    const RequestResult result = fixture.run();
    cr_assert(result.error && result.error->possibleRuns == 1);
    cr_assert(result.error->code == ResultCode::UpstreamTimeout);
}

Test(planned_stop, a_request_that_is_not_placed_at_its_end_is_reported_as_not_run, .timeout = 20)
{
    loop::EventLoop eventLoop;
    RequestFixture fixture(eventLoop);
    fixture.plan.continuesWithoutCaller = true;
    fixture.leavesPlacementPending = true;
    beginStop(fixture, ACCEPTING_MS);
    const RequestResult result = fixture.runUntil([&] { return fixture.result.summary.has_value(); });
    cr_assert(result.error && result.error->possibleRuns == 0);
    cr_assert(result.error->code == ResultCode::Stopping);
}
