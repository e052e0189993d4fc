#include "RequestFixture.h"

#include <criterion/criterion.h>

using namespace testing;

// Requests whose server pauses. Guards against ending the answer of a server that pauses before another one goes on
// with it: streams were cut within the grace time of a planned stop, while their server was at work on them.

namespace {

constexpr loop::TimeMs TIMEOUT_MS = 200; // without progress, after which another server is tried
constexpr loop::TimeMs PAUSE_MS = 800;
constexpr loop::TimeMs OVERLAP_MS = 400; // after which two servers that run a request count as a repetition

using Names = std::vector<std::string>;

/// A loop whose clock advances by 1 ms an iteration, so that a busy machine does not change the order of events.
struct SteppedLoop {
    SteppedLoop()
    {
        loop.onIteration = [this] { ++now; };
        loop.every(1, [] {}); // keeps the loop from waiting for sockets
    }

    loop::TimeMs now = 1'000'000;
    loop::EventLoop loop { [this] { return now; } };
};

class Fixture : public SteppedLoop, public RequestFixture {
public:
    Fixture()
        : RequestFixture(SteppedLoop::loop)
    {
        plan.isStream = true;
        plan.mayRepeat = true;
        plan.attempts = 2;
        plan.firstByteTimeoutMs = plan.idleTimeoutMs = TIMEOUT_MS;
    }

    /// Adds a server that pauses between its two events.
    void addPausing(const std::string& name, loop::TimeMs pauseMs = PAUSE_MS)
    {
        addServer(name, [this, name, pauseMs](const http::Exchange::Ptr& exchange) {
            watch(name, exchange);
            exchange->startStream(200, {});
            exchange->write("first\n\n");
            loop.after(pauseMs, [this, exchange, name] {
                if (closedAt.count(name))
                    return;
                exchange->write("second\n\n");
                exchange->finishStream();
            });
        });
    }

    /// Adds a server that goes on with the stream after a time.
    void addGoingOn(const std::string& name, loop::TimeMs afterMs = 0)
    {
        addServer(name, [this, name, afterMs](const http::Exchange::Ptr& exchange) {
            watch(name, exchange);
            loop.after(afterMs, [this, exchange, name] {
                if (closedAt.count(name))
                    return;
                exchange->startStream(200, {});
                exchange->write("other\n\n");
                wentOnAt = loop.now();
                loop.after(TIMEOUT_MS / 2, [exchange] { exchange->finishStream(); });
            });
        });
    }

    void addStream(const std::string& name, const std::string& bytes, const http::Fields& fields = {})
    {
        addServer(name, [bytes, fields](const http::Exchange::Ptr& exchange) {
            exchange->startStream(200, fields);
            exchange->write(bytes);
        });
    }

    using RequestFixture::loop;
    std::map<std::string, loop::TimeMs> closedAt; // by server; when the daemon closed its connection
    loop::TimeMs wentOnAt = 0;

private:
    void watch(const std::string& name, const http::Exchange::Ptr& exchange)
    {
        exchange->onCallerDisconnected = [this, name] { closedAt[name] = loop.now(); };
    }
};

void expectAllReleased(const RequestResult& result)
{
    for (const auto& [server, count] : result.heldPlacements)
        cr_assert_eq(count, 0, "%s has %d placements that were not released", server.c_str(), count);
}

void expectComplete(const RequestResult& result, const std::string& body)
{
    cr_assert_eq(result.completeAnswers, 1);
    cr_assert(result.callerBody == body, "%s", result.callerBody.c_str());
    cr_assert(result.summary && result.summary->code == ResultCode::Ok);
    expectAllReleased(result);
}

/// Adds a server that does not go on with a request, of the given kind.
void addUnusable(Fixture& fixture, const std::string& kind)
{
    if (kind == "full")
        fixture.addServer(kind, rejectUnexecuted);
    else if (kind == "unreachable")
        fixture.addClosedPort(kind);
    else if (kind == "failing")
        fixture.addServer(kind, testing::fail);
    else if (kind == "aborting")
        fixture.addServer(kind, abortConnection);
    else if (kind == "at a wrong position")
        fixture.addStream(kind, "other\n\n", { { "X-Wrong-Position", "1" } });
    else if (kind == "with a wrong event")
        fixture.addStream(kind, "invalid\n\n");
    else if (kind == "ending early")
        fixture.addServer(kind, [](const http::Exchange::Ptr& exchange) {
            exchange->startStream(200, {});
            exchange->write("part of an event");
            exchange->abort();
        });
}

} // namespace

Test(takeover, a_server_that_pauses_keeps_the_stream_if_no_other_goes_on_with_it, .timeout = 60)
{
    for (const char* kind : { "none", "full", "unreachable", "failing", "aborting", "at a wrong position",
             "with a wrong event", "ending early" }) {
        Fixture fixture;
        fixture.addPausing("pausing");
        addUnusable(fixture, kind);
        const auto result = fixture.run();
        expectComplete(result, "first\n\nsecond\n\n");
        cr_assert_eq(fixture.closedAt.count("pausing"), 0, "%s", kind);
    }
}

Test(takeover, a_server_that_pauses_before_its_answer_keeps_the_request_if_no_other_answers, .timeout = 60)
{
    for (const char* kind : { "none", "full", "unreachable", "failing", "aborting" }) {
        Fixture fixture;
        fixture.plan.isStream = false;
        fixture.addServer("slow", [&](const http::Exchange::Ptr& exchange) {
            fixture.loop.after(PAUSE_MS, [exchange] { answer(exchange); });
        });
        addUnusable(fixture, kind);
        expectComplete(fixture.run(), "done");
    }
}

Test(takeover, without_an_attempt_or_a_retry_left_the_stream_stays_at_its_server, .timeout = 20)
{
    for (const bool hasAttempt : { false, true }) {
        Fixture fixture;
        fixture.plan.attempts = hasAttempt ? 2 : 1;
        fixture.retryBudget = hasAttempt ? 0 : 10;
        fixture.addPausing("pausing");
        fixture.addGoingOn("other");
        const auto result = fixture.run();
        expectComplete(result, "first\n\nsecond\n\n");
        cr_assert((result.sentTo == Names { "pausing" }));
    }
}

Test(takeover, another_server_goes_on_and_the_first_one_is_closed_in_time, .timeout = 20)
{
    for (const loop::TimeMs afterMs : { 0, 100 }) {
        Fixture fixture;
        fixture.addPausing("silent", 10 * PAUSE_MS);
        fixture.addGoingOn("other", afterMs);
        const auto result = fixture.run();
        expectComplete(result, "first\n\nother\n\n");
        cr_assert((result.sentTo == Names { "silent", "other" }));
        cr_assert((result.failures == std::vector<FailureKind> { FailureKind::Unresponsive }));
        cr_assert_eq(fixture.closedAt.count("silent"), 1);
        cr_assert_lt(fixture.closedAt["silent"] - fixture.wentOnAt, OVERLAP_MS);
    }
}

Test(takeover, a_server_that_takes_long_to_begin_gets_the_request_alone, .timeout = 20)
{
    Fixture fixture;
    fixture.addPausing("silent", 10 * PAUSE_MS);
    fixture.addGoingOn("other", PAUSE_MS);
    const auto result = fixture.run();
    expectComplete(result, "first\n\nother\n\n");
    cr_assert_lt(fixture.closedAt["silent"], fixture.wentOnAt, "only one server runs the request");
}

Test(takeover, after_rejections_and_failed_connections_the_next_server_is_tried_at_once, .timeout = 20)
{
    Fixture fixture;
    fixture.addPausing("silent", 10 * PAUSE_MS);
    fixture.addServer("full", rejectUnexecuted);
    fixture.addClosedPort("closed");
    fixture.addGoingOn("other");
    const auto result = fixture.run();
    expectComplete(result, "first\n\nother\n\n");
    cr_assert((result.sentTo == Names { "silent", "full", "closed", "other" }));
}

/// The pause may end before, while and after the other server is asked.
Test(takeover, a_pause_that_ends_at_any_moment_yields_one_complete_answer, .timeout = 60)
{
    for (loop::TimeMs pauseMs = TIMEOUT_MS - 20; pauseMs <= TIMEOUT_MS + 400; pauseMs += 20) {
        Fixture fixture;
        fixture.addPausing("pausing", pauseMs);
        fixture.addGoingOn("other", 100);
        const auto result = fixture.run();
        const bool isFromFirst = result.callerBody == "first\n\nsecond\n\n";
        expectComplete(result, isFromFirst ? "first\n\nsecond\n\n" : "first\n\nother\n\n");
        cr_assert_leq(result.sentTo.size(), 2);
        if (!isFromFirst || fixture.wentOnAt == 0)
            continue;
        while (fixture.closedAt.count("other") == 0) // both went on at the same moment
            fixture.loop.runOnce();
        cr_assert_lt(fixture.closedAt["other"] - fixture.wentOnAt, OVERLAP_MS);
    }
}

Test(takeover, if_the_first_server_ends_the_request_goes_on_at_the_one_that_was_asked, .timeout = 20)
{
    Fixture fixture;
    fixture.addServer("crashing", [&](const http::Exchange::Ptr& exchange) {
        exchange->startStream(200, {});
        exchange->write("first\n\n");
        fixture.loop.after(TIMEOUT_MS + 80, [exchange] { exchange->abort(); });
    });
    fixture.addGoingOn("other", 200);
    fixture.retryBudget = 1;
    const auto result = fixture.run();
    expectComplete(result, "first\n\nother\n\n");
    cr_assert((result.sentTo == Names { "crashing", "other" }));
}

Test(takeover, a_server_that_is_reported_as_down_keeps_its_stream_if_no_other_goes_on_with_it, .timeout = 20)
{
    Fixture fixture;
    fixture.areSuspectsUnavailable = true;
    fixture.plan.firstByteSuspectMs = fixture.plan.idleSuspectMs = TIMEOUT_MS / 2;
    fixture.addPausing("pausing");
    fixture.addServer("full", rejectUnexecuted);
    const auto result = fixture.run();
    expectComplete(result, "first\n\nsecond\n\n");
    cr_assert((result.suspected == Names { "pausing" }));
    cr_assert((result.sentTo == Names { "pausing", "full" }));
}

Test(takeover, a_caller_that_leaves_ends_both_attempts, .timeout = 20)
{
    Fixture fixture;
    fixture.addPausing("silent", 10 * PAUSE_MS);
    fixture.addGoingOn("other", 10 * PAUSE_MS);
    fixture.loop.after(TIMEOUT_MS + 100, [&] { fixture.disconnectCaller(); });
    const auto result = fixture.run();
    cr_assert(result.summary && result.summary->code == ResultCode::CallerGone);
    cr_assert((result.sentTo == Names { "silent", "other" }));
    expectAllReleased(result);
    while (fixture.closedAt.size() < 2)
        fixture.loop.runOnce();
}

Test(takeover, an_answer_that_no_server_goes_on_with_ends_at_the_time_limit, .timeout = 20)
{
    Fixture fixture;
    fixture.addPausing("silent", 10 * PAUSE_MS);
    fixture.addServer("full", rejectUnexecuted);
    const auto result = fixture.run();
    cr_assert(result.error && result.error->possibleRuns == 1);
    cr_assert_eq(result.completeAnswers, 0);
    expectAllReleased(result);
}
