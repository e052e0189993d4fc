#include "RequestFixture.h"

#include <criterion/criterion.h>

using namespace testing;
using admission::Fingerprint;
using admission::Quarantine;

// What a request does when one of its fingerprints is banned.

namespace {

constexpr Fingerprint CONTENT = 1'000;
constexpr Fingerprint PART = 3;

void ban(RequestFixture& fixture, Fingerprint fingerprint)
{
    admission::Verdict verdict;
    verdict.fingerprint = fingerprint;
    verdict.revision = 1;
    verdict.changedAtMs = fixture.unixMs;
    fixture.quarantine.apply(verdict);
}

struct BannedFixture : RequestFixture {
    explicit BannedFixture(loop::EventLoop& eventLoop)
        : RequestFixture(eventLoop)
    {
        plan.fingerprints = { CONTENT, PART };
        plan.mayRepeat = true;
        plan.attempts = 3;
        environment.quarantineHooks.onAnswerBegun = [this](const std::vector<Fingerprint>&) { ++answersBegun; };
    }

    int answersBegun = 0;
};

} // namespace

Test(quarantined_request, is_refused_at_once_and_truthfully_as_not_run)
{
    for (const Fingerprint fingerprint : { CONTENT, PART }) {
        loop::EventLoop eventLoop;
        BannedFixture fixture(eventLoop);
        fixture.addServer("a", answer);
        ban(fixture, fingerprint);
        const RequestResult result = fixture.run();
        cr_assert(result.sentTo.empty());
        cr_assert(result.error && result.error->code == ResultCode::Quarantined && result.error->possibleRuns == 0);
        cr_assert(result.error->context.find(admission::toHex(fingerprint)) != std::string::npos);
    }
}

Test(quarantined_request, is_forwarded_if_only_other_fingerprints_are_banned)
{
    loop::EventLoop eventLoop;
    BannedFixture fixture(eventLoop);
    fixture.addServer("a", answer);
    ban(fixture, PART + 2);
    cr_assert_eq(fixture.run().callerStatus, 200);
    cr_assert_eq(fixture.answersBegun, 1);
}

Test(quarantined_request, is_given_up_while_it_waits_for_its_answer)
{
    loop::EventLoop eventLoop;
    BannedFixture fixture(eventLoop);
    bool isRunning = false;
    fixture.addServer("a", [&](const http::Exchange::Ptr&) { isRunning = true; });
    fixture.begin();
    while (!isRunning)
        eventLoop.runOnce();
    ban(fixture, PART);
    for (const auto& request : std::set<forwarding::ForwardedRequest::Ptr>(fixture.environment.openRequests)) {
        request->onBan(PART + 2);
        cr_assert_not(fixture.result.error.has_value(), "given up because of another fingerprint");
        request->onBan(PART);
    }
    cr_assert(fixture.result.error && fixture.result.error->code == ResultCode::Quarantined);
    cr_assert_eq(fixture.result.error->possibleRuns, 1, "the server may have run it");
}

Test(quarantined_request, is_not_retried_after_its_server_ended)
{
    loop::EventLoop eventLoop;
    BannedFixture fixture(eventLoop);
    fixture.addServer("a", [&](const http::Exchange::Ptr& exchange) {
        ban(fixture, PART);
        exchange->abort();
    });
    fixture.addServer("b", answer);
    const RequestResult result = fixture.run();
    cr_assert_eq(result.sentTo.size(), 1);
    cr_assert(result.error && result.error->code == ResultCode::Quarantined && result.error->possibleRuns == 1);
}

/// All sends of a fingerprint's life are counted, so that a probe must reach one server only.
Test(quarantined_request, is_sent_to_one_server_as_a_probe)
{
    const std::pair<const char*, Handler> cases[] = { { "answered", answer }, { "refused", rejectUnexecuted },
        { "failed", fail }, { "broken", abortConnection } };
    for (const auto& [name, handler] : cases) {
        loop::EventLoop eventLoop;
        BannedFixture fixture(eventLoop);
        int claims = 0;
        int answered = 0;
        fixture.environment.quarantineHooks.claimProbe
            = [&](Fingerprint fingerprint, const std::function<void(bool)>& onDone) {
                  claims += fingerprint == PART ? 1 : 0;
                  eventLoop.after(1, [onDone] { onDone(true); });
              };
        fixture.environment.quarantineHooks.onProbeAnswered = [&](Fingerprint) { ++answered; };
        fixture.addServer("a", handler);
        fixture.addServer("b", answer);
        ban(fixture, PART);
        fixture.unixMs += Quarantine::PROBE_INTERVAL_MS;
        const RequestResult result = fixture.run();
        cr_assert_eq(result.sentTo.size(), 1, "%s: sent to %zu servers", name, result.sentTo.size());
        cr_assert_eq(claims, 1, "%s", name);
        const bool hasSurvived = std::string(name) == "answered" || std::string(name) == "failed";
        cr_assert_eq(answered, hasSurvived ? 1 : 0, "%s", name);
    }
}

Test(quarantined_request, is_refused_if_another_daemon_has_the_probe)
{
    loop::EventLoop eventLoop;
    BannedFixture fixture(eventLoop);
    fixture.environment.quarantineHooks.claimProbe
        = [](Fingerprint, const std::function<void(bool)>& onDone) { onDone(false); };
    fixture.addServer("a", answer);
    ban(fixture, PART);
    fixture.unixMs += Quarantine::PROBE_INTERVAL_MS;
    const RequestResult result = fixture.run();
    cr_assert(result.sentTo.empty());
    cr_assert(result.error && result.error->code == ResultCode::Quarantined);
}
