#include "goldcrestcleat/forwarding/ForwardRequest.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

// Placement, sending, time and the end of a request. ForwardAnswer.cpp holds what follows a send.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using routing::NO_NODE;

namespace {

    // A server's own answer at its deadline has to arrive before this daemon answers in its place.
    constexpr loop::TimeMs LIMIT_GRACE_MS = 80;

    // Less time than this is not worth a send: it would be cut before it could be answered.
    constexpr loop::TimeMs SHORTEST_SEND_MS = 10;

    constexpr loop::TimeMs FRAMING_MS = 1'000; // for the last bytes of an answer whose events are whole

} // namespace

ForwardRequest::ForwardRequest(Environment& env, http::Exchange::Ptr exchange, Plan plan, RequestHooks hooks)
    : env_(env)
    , exchange_(std::move(exchange))
    , plan_(std::move(plan))
    , hooks_(std::move(hooks))
{
}

void ForwardRequest::start()
{
    const auto self = shared_from_this();
    env_.open.insert(self);
    const std::weak_ptr<ForwardRequest> weak = self;
    const auto whileOpen = [weak](void (ForwardRequest::*method)()) {
        return [weak, method] {
            if (const auto request = weak.lock())
                (request.get()->*method)();
        };
    };
    if (!plan_.survivesCaller)
        exchange_->onCallerDisconnected = whileOpen(&ForwardRequest::onCallerDisconnected);
    exchange_->onDrain = whileOpen(&ForwardRequest::onDrain);
    if (plan_.isLimitFinal)
        limitTimer_ = env_.loop.after(remainingMs() + LIMIT_GRACE_MS, whileOpen(&ForwardRequest::onTimeUp));
    if (!hooks_.open) {
        place();
        return;
    }
    hooks_.open([self](std::optional<ResultCode> endedWith) {
        if (endedWith)
            self->finish(*endedWith);
        else
            self->place();
    });
}

bool ForwardRequest::isMovable() const
{
    return plan_.isStream && hooks_.findBetter && attempt_.call && !isMoving_ && !isEnded_;
}

void ForwardRequest::moveAway()
{
    isMoving_ = true;
    const auto self = shared_from_this();
    hooks_.findBetter(attempt_.placement, [self](const PlacementResult& better) {
        self->isMoving_ = false;
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

void ForwardRequest::place()
{
    if (isEnded_)
        return;
    if (env_.quarantine.isBanned(plan_.fingerprint, env_.loop.now())) {
        giveUp(ResultCode::Quarantined, "");
        return;
    }
    if (remainingMs() < SHORTEST_SEND_MS) {
        giveUp(ResultCode::DeadlineUnreachable, "no time left for a send");
        return;
    }
    isPlacing_ = true;
    const std::weak_ptr<ForwardRequest> weak = weak_from_this();
    hooks_.place(progress(), [weak](const PlacementResult& result) {
        if (const auto self = weak.lock())
            self->onPlaced(result);
    });
}

void ForwardRequest::onPlaced(const PlacementResult& result)
{
    isPlacing_ = false;
    if (isEnded_) {
        if (result.placement)
            hooks_.release(*result.placement);
        return;
    }
    if (!result.placement) {
        giveUp(result.code, result.context);
        return;
    }
    send(*result.placement, serial_ == 0 ? plan_.firstReuse : http::Client::Reuse::Never);
}

void ForwardRequest::send(const Placement& placement, http::Client::Reuse reuse)
{
    attempt_ = Attempt();
    attempt_.serial = ++serial_;
    attempt_.placement = placement;
    attempt_.isPlaced = true;
    attempt_.sentAt = env_.loop.now();
    if (serial_ == 1)
        env_.metrics.onAddedLatency(static_cast<double>(env_.loop.now() - arrivedAt()));
    tried_.push_back(placement.server);
    const auto request = hooks_.encode(placement, progress());
    attempt_.call = env_.client.start(placement.address, request, hooksFor(attempt_.serial), reuse);
    lastProgressAt_ = env_.loop.now();
    armProgressTimer();
}

http::Call::Hooks ForwardRequest::hooksFor(int serial)
{
    const std::weak_ptr<ForwardRequest> weak = weak_from_this();
    // Hooks of an attempt that was given up do nothing.
    const auto current = [weak, serial]() -> Ptr {
        const auto self = weak.lock();
        return self && !self->isEnded_ && self->attempt_.serial == serial ? self : nullptr;
    };
    http::Call::Hooks hooks;
    hooks.isOwn = [weak](const Poco::Net::HTTPResponse& head) {
        const auto self = weak.lock();
        return self && self->hooks_.isOwn(head);
    };
    hooks.onHead = [current](const Poco::Net::HTTPResponse& head) {
        if (const auto self = current())
            self->onHead(head);
    };
    hooks.onBody = [current](std::string_view part) {
        if (const auto self = current())
            self->onBody(part);
    };
    hooks.onEnd = [current] {
        if (const auto self = current())
            self->onEnd();
    };
    hooks.onFailure = [current](http::FailurePoint point, const std::string& reason) {
        if (const auto self = current())
            self->onFailure(point, reason);
    };
    return hooks;
}

// ---- private: time ----

loop::TimeMs ForwardRequest::remainingMs() const
{
    const bool hasBegun = isStreaming_ && !plan_.isLimitFinal;
    return hasBegun ? plan_.limitMs : arrivedAt() + plan_.limitMs - env_.loop.now();
}

void ForwardRequest::noteProgress()
{
    const loop::TimeMs sinceMs = env_.loop.now() - lastProgressAt_;
    lastProgressAt_ = env_.loop.now();
    attempt_.isSuspected = false;
    if (attempt_.hasBody) {
        longestPauseMs_ = std::max(longestPauseMs_, sinceMs);
        return;
    }
    attempt_.hasBody = true;
    if (plan_.pauseMs < plan_.firstAnswerMs || plan_.suspectPauseMs < plan_.suspectAfterMs)
        armProgressTimer(); // it is due earlier than before
}

/// Returns the silence after which the server is looked after; 0 when it is already, or never.
loop::TimeMs ForwardRequest::suspicionMs() const
{
    if (attempt_.isSuspected || !hooks_.suspect)
        return 0;
    return attempt_.hasBody ? plan_.suspectPauseMs : plan_.suspectAfterMs;
}

/// An armed timer is not moved with each part of an answer but looks again when it is due.
void ForwardRequest::armProgressTimer()
{
    const loop::TimeMs silenceMs = suspicionMs() > 0 ? suspicionMs() : allowanceMs();
    if (silenceMs == 0)
        return;
    env_.loop.cancel(progressTimer_);
    const loop::TimeMs dueInMs = lastProgressAt_ + silenceMs - env_.loop.now();
    progressTimer_ = env_.loop.after(std::max<loop::TimeMs>(dueInMs, 1), [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onProgressDue();
    });
}

void ForwardRequest::onProgressDue()
{
    progressTimer_ = 0;
    if (isEnded_ || !attempt_.call)
        return;
    if (isCallerSlow_)
        lastProgressAt_ = env_.loop.now();
    const loop::TimeMs silentMs = env_.loop.now() - lastProgressAt_;
    if (suspicionMs() > 0 && silentMs >= suspicionMs()) {
        attempt_.isSuspected = true;
        hooks_.suspect(attempt_.placement);
    }
    if (isEnded_ || !attempt_.call)
        return;
    if (allowanceMs() > 0 && silentMs >= allowanceMs())
        onNoProgress();
    else
        armProgressTimer();
}

/// A server that may still answer is left alone when the request could not be sent to another one, also for want of a
/// retry in the budget.
void ForwardRequest::onNoProgress()
{
    if (!attempt_.call->isConnected()) {
        onUnreachable("no connection in time");
        return;
    }
    hasRetry_ = !plan_.isSilenceFinal && hasAnotherRun() && hooks_.tryRetry();
    if (hasRetry_ || plan_.isSilenceFinal) {
        onBroken(FailureKind::Silence, "no progress");
        return;
    }
    if (hasAnotherRun()) {
        lastProgressAt_ = env_.loop.now(); // the budget may have grown by then
        armProgressTimer();
    }
}

void ForwardRequest::onServerLost()
{
    // A connection that is still opening has a limit of its own.
    if (isEnded_ || !attempt_.call || !attempt_.call->isConnected())
        return;
    hasRetry_ = hasAnotherRun() && hooks_.tryRetry();
    if (hasRetry_)
        onBroken(FailureKind::Silence, "server lost");
}

void ForwardRequest::onTimeUp()
{
    limitTimer_ = 0;
    if (isEnded_)
        return;
    if (attempt_.call) {
        hooks_.explain("time-up",
            { { "server", attempt_.placement.serverId }, { "sinceSendMs", env_.loop.now() - attempt_.sentAt } });
        if (attempt_.call->isConnected())
            ++maybeRan_;
    }
    giveUp(maybeRan_ > 0 ? ResultCode::UpstreamTimeout : ResultCode::DeadlineUnreachable, "time is up");
}

// ---- private: the end ----

/// Ends a request that got no answer.
void ForwardRequest::giveUp(ResultCode code, const std::string& context)
{
    closeAttempt();
    const bool isServersFault = code == ResultCode::UpstreamFailed || code == ResultCode::UpstreamTimeout;
    if (isStreaming_ && isServersFault)
        code = ResultCode::AnswerIncomplete;
    const ResultCode told = hooks_.refuse({ code, context, maybeRan_, isStreaming_ });
    if (isStreaming_)
        hooks_.explain("cut", { { "lastEvent", position_.value_or(0) }, { "reason", context } });
    else
        hooks_.explain("refused",
            { { "code", static_cast<int>(told) }, { "name", errors::info(told).name }, { "context", context },
                { "maybeRan", maybeRan_ }, { "rejections", rejections_ }, { "unreachable", unreachable_ } });
    finish(told);
}

void ForwardRequest::stopCall()
{
    env_.loop.cancel(progressTimer_);
    progressTimer_ = 0;
    attempt_.serial = 0;
    const auto call = std::move(attempt_.call);
    attempt_.call.reset();
    if (call)
        call->cancel();
}

void ForwardRequest::closeAttempt()
{
    stopCall();
    if (attempt_.isPlaced)
        hooks_.release(attempt_.placement);
    attempt_.isPlaced = false;
}

void ForwardRequest::finish(ResultCode code)
{
    if (isEnded_)
        return;
    isEnded_ = true;
    const auto self = shared_from_this();
    if (isPlacing_ && hooks_.stopPlacing)
        hooks_.stopPlacing();
    if (code == ResultCode::Ok && plan_.endsWithMarker)
        keepCallUntilEnd();
    closeAttempt();
    env_.loop.cancel(limitTimer_);
    exchange_->onCallerDisconnected = nullptr;
    exchange_->onDrain = nullptr;
    const Summary summary { plan_.kind, code, attempt_.placement.serverId, serial_, firstAnswerMs_, longestPauseMs_ };
    report(summary);
    hooks_.finished(summary);
    env_.open.erase(self);
}

void ForwardRequest::report(const Summary& summary) const
{
    env_.metrics.onRequest(summary.kind, static_cast<int>(summary.code));
    if (summary.firstAnswerMs > 0)
        env_.metrics.onFirstAnswer(summary.kind, static_cast<double>(summary.firstAnswerMs));
    if (plan_.isStream)
        env_.metrics.onLongestPause(static_cast<double>(summary.longestPauseMs));
    if (env_.onFinished)
        env_.onFinished(summary);
}

/// Lets the connection read the rest of the answer's framing, so that it can be used again.
void ForwardRequest::keepCallUntilEnd()
{
    const auto call = std::move(attempt_.call);
    attempt_.call.reset();
    if (call)
        env_.loop.after(FRAMING_MS, [call] {});
}

void ForwardRequest::onCallerDisconnected()
{
    hooks_.explain("caller-gone", { { "server", attempt_.placement.serverId }, { "attempts", serial_ } });
    finish(ResultCode::CallerGone);
}

void ForwardRequest::onDrain()
{
    isCallerSlow_ = false;
    lastProgressAt_ = env_.loop.now();
    if (attempt_.call)
        attempt_.call->setReading(true);
}

} // namespace goldcrestcleat::forwarding
