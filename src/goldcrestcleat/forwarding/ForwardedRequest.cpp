#include "goldcrestcleat/forwarding/ForwardedRequest.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>
#include <utility>

// Placement, sending, timeouts and completion. ForwardedResponse.cpp handles responses and failed attempts,
// ForwardedTakeover.cpp the change to another server while the current one makes no progress, ForwardedQuarantine.cpp
// the refusal of requests that crash servers.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using routing::NO_NODE;

namespace {

    // Lets the response that a server sends at its deadline arrive before this daemon reports a timeout itself.
    constexpr loop::TimeMs TIMEOUT_GRACE_MS = 80;

    // With less time left, an attempt would be cut off before a response could arrive.
    constexpr loop::TimeMs MIN_REMAINING_MS = 10;

    constexpr loop::TimeMs FRAMING_TIMEOUT_MS = 1'000; // for the end of the chunked encoding after the last event

} // namespace

ForwardedRequest::ForwardedRequest(Environment& env, http::Exchange::Ptr exchange, Plan plan, RequestHooks hooks)
    : env_(env)
    , exchange_(std::move(exchange))
    , plan_(std::move(plan))
    , hooks_(std::move(hooks))
    , position_(plan_.position)
{
}

void ForwardedRequest::start()
{
    const auto self = shared_from_this();
    env_.openRequests.insert(self);
    const std::weak_ptr<ForwardedRequest> weak = self;
    const auto ifAlive = [weak](void (ForwardedRequest::*method)()) {
        return [weak, method] {
            if (const auto request = weak.lock())
                (request.get()->*method)();
        };
    };
    if (!plan_.continuesWithoutCaller)
        exchange_->onCallerDisconnected = ifAlive(&ForwardedRequest::onCallerDisconnected);
    exchange_->onDrain = ifAlive(&ForwardedRequest::onDrain);
    if (plan_.timeoutCoversResponse)
        timeoutTimer_ = env_.loop.after(remainingMs() + TIMEOUT_GRACE_MS, ifAlive(&ForwardedRequest::onTimeout));
    if (!hooks_.prepare) {
        place();
        return;
    }
    hooks_.prepare([self](std::optional<ResultCode> endedWith) {
        if (endedWith)
            self->finish(*endedWith);
        else
            self->place();
    });
}

bool ForwardedRequest::canMigrate() const
{
    return plan_.isStream && hooks_.findLessLoaded && attempt_.call && !isMigrating_ && !takeover_ && !isEnded_;
}

void ForwardedRequest::migrate()
{
    isMigrating_ = true;
    const auto self = shared_from_this();
    hooks_.findLessLoaded(attempt_.placement, [self](const PlacementResult& better) {
        self->isMigrating_ = false;
        if (!better.placement)
            return;
        if (self->isEnded_ || !self->attempt_.call) {
            self->hooks_.release(*better.placement);
            return;
        }
        self->hooks_.explain(
            "moved", { { "from", self->attempt_.placement.serverId }, { "to", better.placement->serverId } });
        self->env_.metrics.onRetry("moved");
        self->closeAttempt();
        self->send(*better.placement, http::Client::Reuse::Allowed);
    });
}

// ---- private: placement and sending ----

void ForwardedRequest::place()
{
    if (isEnded_)
        return;
    if (!passesQuarantine())
        return;
    if (remainingMs() < MIN_REMAINING_MS) {
        fail(ResultCode::DeadlineUnreachable, "not enough time left for an attempt");
        return;
    }
    if (!plan_.mayRepeat && !maySend(env_.stop, env_.loop.now(), arrivedAt() + plan_.timeoutMs + TIMEOUT_GRACE_MS)) {
        fail(ResultCode::Stopping, "the answer could not be awaited");
        return;
    }
    isPlacing_ = true;
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    hooks_.place(progress(), [weak](const PlacementResult& result) {
        if (const auto self = weak.lock())
            self->onPlaced(result);
    });
}

void ForwardedRequest::onPlaced(const PlacementResult& result)
{
    isPlacing_ = false;
    if (isEnded_) {
        if (result.placement)
            hooks_.release(*result.placement);
        return;
    }
    if (!result.placement) {
        fail(result.code, result.context);
        return;
    }
    send(*result.placement, attemptCount_ == 0 ? plan_.firstSendReuse : http::Client::Reuse::Never);
}

void ForwardedRequest::send(const Placement& placement, http::Client::Reuse reuse)
{
    attempt_ = startAttempt(placement, reuse);
    lastProgressAt_ = env_.loop.now();
    armProgressTimer();
}

ForwardedRequest::Attempt ForwardedRequest::startAttempt(const Placement& placement, http::Client::Reuse reuse)
{
    Attempt attempt;
    attempt.serial = ++attemptCount_;
    attempt.placement = placement;
    attempt.holdsPlacement = true;
    attempt.sentAt = env_.loop.now();
    if (attemptCount_ == 1)
        env_.metrics.onAddedLatency(static_cast<double>(env_.loop.now() - arrivedAt()));
    tried_.push_back(placement.server);
    const auto request = hooks_.encode(placement, progress());
    attempt.call = env_.client.start(placement.address, request, hooksFor(attempt.serial), reuse);
    return attempt;
}

http::Call::Hooks ForwardedRequest::hooksFor(int serial)
{
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    // Calls the method for the current attempt or for the takeover. Callbacks of an abandoned attempt have no effect.
    const auto dispatch = [weak, serial](auto onCurrent, auto onTakeover) {
        return [weak, serial, onCurrent, onTakeover](const auto&... arguments) {
            const auto self = weak.lock();
            if (!self || self->isEnded_)
                return;
            if (self->attempt_.serial == serial)
                (self.get()->*onCurrent)(arguments...);
            else if (self->takeover_ && self->takeover_->attempt.serial == serial)
                (self.get()->*onTakeover)(arguments...);
        };
    };
    http::Call::Hooks hooks;
    hooks.isOwnResponse = [weak](const Poco::Net::HTTPResponse& head) {
        const auto self = weak.lock();
        return self && self->hooks_.isOwnResponse(head);
    };
    hooks.isIdentified = [weak](const Poco::Net::HTTPResponse& head) {
        const auto self = weak.lock();
        return self && (!self->hooks_.isIdentified || self->hooks_.isIdentified(head));
    };
    hooks.onHead = dispatch(&ForwardedRequest::onHead, &ForwardedRequest::onTakeoverHead);
    hooks.onBody = dispatch(&ForwardedRequest::onBody, &ForwardedRequest::onTakeoverBody);
    hooks.onEnd = dispatch(&ForwardedRequest::onEnd, &ForwardedRequest::onTakeoverEnd);
    hooks.onFailure = dispatch(&ForwardedRequest::onFailure, &ForwardedRequest::onTakeoverFailure);
    return hooks;
}

// ---- private: timeouts ----

loop::TimeMs ForwardedRequest::remainingMs() const
{
    const bool hasResponseStarted = isStreaming_ && !plan_.timeoutCoversResponse;
    return hasResponseStarted ? plan_.timeoutMs : arrivedAt() + plan_.timeoutMs - env_.loop.now();
}

void ForwardedRequest::recordProgress()
{
    const loop::TimeMs sinceMs = env_.loop.now() - lastProgressAt_;
    lastProgressAt_ = env_.loop.now();
    attempt_.isSuspected = false;
    if (takeover_)
        onProgressDuringTakeover();
    if (attempt_.hasBody) {
        longestPauseMs_ = std::max(longestPauseMs_, sinceMs);
        return;
    }
    attempt_.hasBody = true;
    if (plan_.idleTimeoutMs < plan_.firstByteTimeoutMs || plan_.idleSuspectMs < plan_.firstByteSuspectMs)
        armProgressTimer(); // the next timeout may be earlier than the armed one
}

void ForwardedRequest::recordPace(loop::TimeMs durationMs) const
{
    if (hooks_.recordPace)
        hooks_.recordPace(attempt_.placement, durationMs);
}

/// Returns the inactivity after which the server is reported as suspect; 0 if it has been already, or never is.
loop::TimeMs ForwardedRequest::suspectTimeoutMs() const
{
    if (attempt_.isSuspected || !hooks_.suspect)
        return 0;
    return attempt_.hasBody ? plan_.idleSuspectMs : plan_.firstByteSuspectMs;
}

/// Returns the time since the last progress of the current attempt, or since its inactivity was last handled.
loop::TimeMs ForwardedRequest::inactiveMs() const
{
    return env_.loop.now() - std::max(lastProgressAt_, inactivityHandledAt_);
}

/// The timer is not rearmed with each part of a response. When it expires, inactivity is checked and it may be rearmed.
void ForwardedRequest::armProgressTimer()
{
    const loop::TimeMs timeoutMs = suspectTimeoutMs() > 0 ? suspectTimeoutMs() : inactivityTimeoutMs();
    if (timeoutMs == 0)
        return;
    env_.loop.cancel(progressTimer_);
    const loop::TimeMs dueInMs = timeoutMs - inactiveMs();
    progressTimer_ = env_.loop.after(std::max<loop::TimeMs>(dueInMs, 1), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onProgressTimer();
    });
}

void ForwardedRequest::onProgressTimer()
{
    progressTimer_ = 0;
    if (isEnded_ || !attempt_.call)
        return;
    if (isCallerSlow_ || attempt_.isPaused)
        lastProgressAt_ = env_.loop.now();
    if (suspectTimeoutMs() > 0 && inactiveMs() >= suspectTimeoutMs()) {
        attempt_.isSuspected = true;
        hooks_.suspect(attempt_.placement);
    }
    if (isEnded_ || !attempt_.call)
        return;
    if (inactivityTimeoutMs() > 0 && inactiveMs() >= inactivityTimeoutMs())
        onInactivity();
    else
        armProgressTimer();
}

void ForwardedRequest::onTimeout()
{
    timeoutTimer_ = 0;
    endUnanswered(ResultCode::DeadlineUnreachable, "request timed out");
}

void ForwardedRequest::onStopEnds() { endUnanswered(ResultCode::Stopping, "the daemon has stopped"); }

/// Ends the request. `unsentCode` applies if no server may have executed it.
void ForwardedRequest::endUnanswered(ResultCode unsentCode, const std::string& reason)
{
    if (isEnded_)
        return;
    if (attempt_.call) {
        hooks_.explain("time-up",
            { { "server", attempt_.placement.serverId }, { "sinceSendMs", env_.loop.now() - attempt_.sentAt } });
    }
    possibleRuns_ += runningAttempts();
    fail(possibleRuns_ > 0 ? ResultCode::UpstreamTimeout : unsentCode, reason);
}

/// Returns the number of open attempts that a server may be executing.
int ForwardedRequest::runningAttempts() const
{
    const bool runsCurrent = attempt_.call && attempt_.call->isConnected();
    const bool runsTakeover = takeover_ && takeover_->attempt.call->isConnected();
    return (runsCurrent ? 1 : 0) + (runsTakeover ? 1 : 0);
}

// ---- private: completion ----

/// Ends the request with an error.
void ForwardedRequest::fail(ResultCode code, const std::string& context)
{
    closeAttempt();
    const bool isServerFailure = code == ResultCode::UpstreamFailed || code == ResultCode::UpstreamTimeout;
    if (isStreaming_ && isServerFailure)
        code = ResultCode::AnswerIncomplete;
    const ResultCode sentCode = hooks_.refuse({ code, context, possibleRuns_, isStreaming_ });
    if (isStreaming_)
        hooks_.explain("cut", { { "lastEvent", position_.value_or(0) }, { "reason", context } });
    else
        hooks_.explain("refused",
            { { "code", static_cast<int>(sentCode) }, { "name", errors::info(sentCode).name }, { "context", context },
                { "maybeRan", possibleRuns_ }, { "rejections", rejections_ }, { "unreachable", connectFailures_ } });
    finish(sentCode);
}

void ForwardedRequest::cancelCall()
{
    env_.loop.cancel(progressTimer_);
    progressTimer_ = 0;
    attempt_.serial = 0;
    attempt_.body = std::string();
    attempt_.memory.reset();
    const auto call = std::move(attempt_.call);
    attempt_.call.reset();
    if (call)
        call->cancel();
}

void ForwardedRequest::closeAttempt()
{
    cancelCall();
    if (attempt_.holdsPlacement)
        hooks_.release(attempt_.placement);
    attempt_.holdsPlacement = false;
}

void ForwardedRequest::finish(ResultCode code)
{
    if (isEnded_)
        return;
    isEnded_ = true;
    const auto self = shared_from_this();
    if (isPlacing_ && hooks_.cancelPlacement)
        hooks_.cancelPlacement();
    if (code == ResultCode::Ok && plan_.requiresEndMarker)
        drainCall();
    if (takeover_)
        endTakeover("the request has ended");
    closeAttempt();
    env_.loop.cancel(timeoutTimer_);
    exchange_->onCallerDisconnected = nullptr;
    exchange_->onDrain = nullptr;
    const RequestSummary summary { plan_.kind, code, attempt_.placement.serverId, attemptCount_, timeToHeadMs_,
        longestPauseMs_ };
    report(summary);
    hooks_.onFinished(summary);
    env_.openRequests.erase(self);
}

void ForwardedRequest::report(const RequestSummary& summary) const
{
    env_.metrics.onRequest(summary.kind, static_cast<int>(summary.code));
    if (summary.timeToHeadMs > 0)
        env_.metrics.onFirstAnswer(summary.kind, static_cast<double>(summary.timeToHeadMs));
    if (plan_.isStream)
        env_.metrics.onLongestPause(static_cast<double>(summary.longestPauseMs));
    if (env_.onFinished)
        env_.onFinished(summary);
}

/// Keeps the call until the end of the chunked encoding was read, so that its connection can be reused.
void ForwardedRequest::drainCall()
{
    const auto call = std::move(attempt_.call);
    attempt_.call.reset();
    if (call)
        env_.loop.after(FRAMING_TIMEOUT_MS, [call] {});
}

void ForwardedRequest::onCallerDisconnected()
{
    hooks_.explain("caller-gone", { { "server", attempt_.placement.serverId }, { "attempts", attemptCount_ } });
    finish(ResultCode::CallerGone);
}

void ForwardedRequest::onDrain()
{
    isCallerSlow_ = false;
    lastProgressAt_ = env_.loop.now();
    setReading(!attempt_.isPaused);
}

} // namespace goldcrestcleat::forwarding
