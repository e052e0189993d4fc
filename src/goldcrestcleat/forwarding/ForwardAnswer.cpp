#include "goldcrestcleat/forwarding/ForwardRequest.h"

#include <Poco/Net/HTTPResponse.h>
#include <xxhash.h>

#include <algorithm>

// The part of ForwardRequest that passes an answer on and decides what follows a failed attempt.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using routes::CallKind;
using upstreams::Outcome;

namespace {

    constexpr int MAX_REJECTIONS = 3; // further servers asked after "not run"; each is a retry to its service
    constexpr int MAX_UNREACHABLE = 4; // servers that no connection could be opened to
    constexpr std::size_t MAX_CALLER_BACKLOG_BYTES = 64 * 1024;

    // Time without progress after which a repeatable request is given to another server: multiples of the route's goal
    // for the first byte and of its longest pause for the next event, never less than the shortest time.
    constexpr loop::TimeMs FIRST_ANSWER_GOALS = 3;
    constexpr loop::TimeMs NEXT_EVENT_PAUSES = 3;
    constexpr loop::TimeMs SHORTEST_ALLOWANCE_MS = 250;

    bool isSuccess(int status) { return status >= 200 && status < 300; }

    bool isServerError(int status) { return status >= 500; }

    std::uint64_t crashIdOf(routing::NodeKey server, const std::string& requestId)
    {
        return XXH3_64bits_withSeed(requestId.data(), requestId.size(), server);
    }

} // namespace

// ---- private: the answer ----

void ForwardRequest::onHead(const Poco::Net::HTTPResponse& head)
{
    attempt_.head = env_.dialect.readHead(head);
    attempt_.hasHead = true;
    if (firstAnswerMs_ == 0)
        firstAnswerMs_ = env_.loop.now() - exchange_->arrivedAt();
    lastProgressAt_ = env_.loop.now();
}

bool ForwardRequest::isEventStream() const
{
    return route_->kind == CallKind::Stream && attempt_.head.isGenuine && isSuccess(attempt_.head.status);
}

void ForwardRequest::onBody(std::string_view part)
{
    lastProgressAt_ = env_.loop.now();
    if (!isEventStream()) {
        attempt_.body.append(part);
        return;
    }
    const auto self = shared_from_this();
    const int serial = attempt_.serial;
    const bool goesOn = attempt_.events.feed(part, [this](const StreamEvent& event) { return onEvent(event); });
    flush();
    if (!goesOn && !isEnded_ && attempt_.serial == serial)
        onBroken("unreadable event");
}

bool ForwardRequest::onEvent(const StreamEvent& event)
{
    // A run that goes on elsewhere may repeat events that the caller has.
    const bool isKnown = event.id && lastForwardedId_ && *event.id <= *lastForwardedId_;
    if (isKnown)
        return true;
    if (!event.id)
        return false;
    if (lastForwardedId_ && *event.id != *lastForwardedId_ + 1)
        return false;
    if (!isStreaming_) {
        isStreaming_ = true;
        exchange_->startStream(attempt_.head.status, attempt_.head.fields);
    }
    lastForwardedId_ = event.id;
    output_.append(event.bytes);
    env_.metrics.onStreamedToken();
    return true;
}

/// Writes the events of one read together.
void ForwardRequest::flush()
{
    if (isEnded_ || output_.empty())
        return;
    exchange_->write(output_);
    output_.clear();
    if (attempt_.call && exchange_->backlog() > MAX_CALLER_BACKLOG_BYTES)
        attempt_.call->setReading(false);
}

void ForwardRequest::onEnd()
{
    if (attempt_.head.hasNotRun) {
        onRejected();
        return;
    }
    if (isEventStream())
        finishStream();
    else
        finishPlain();
}

void ForwardRequest::finishStream()
{
    if (attempt_.events.hasPartialEvent()) {
        onBroken("stream ended within an event");
        return;
    }
    env_.servers.record(attempt_.server, Outcome::Answered, env_.loop.now());
    env_.forgive(fingerprint_);
    if (!isStreaming_)
        exchange_->startStream(attempt_.head.status, attempt_.head.fields);
    exchange_->finishStream();
    finish(ResultCode::Ok);
}

void ForwardRequest::finishPlain()
{
    const AnswerHead& head = attempt_.head;
    if (!head.isGenuine || isStreaming_) {
        onBroken("answer without the server's signature");
        return;
    }
    if (isServerError(head.status)) {
        env_.servers.record(attempt_.server, Outcome::ServerError, env_.loop.now());
        ++maybeRan_;
        if (mayRunAgain() && env_.retryBudget.tryTake(service_, env_.loop.now())) {
            retry("server error");
            return;
        }
    } else {
        env_.servers.record(attempt_.server, Outcome::Answered, env_.loop.now());
        env_.forgive(fingerprint_);
    }
    exchange_->reply(head.status, head.fields, attempt_.body);
    finish(ResultCode::Ok);
}

void ForwardRequest::onFailure(http::FailurePoint point, const std::string& reason)
{
    if (point != http::FailurePoint::NotSent) {
        onBroken(reason);
        return;
    }
    env_.servers.record(attempt_.server, Outcome::Unreachable, env_.loop.now());
    env_.reportUnreachable(attempt_.server);
    ++unreachable_;
    explain("unreachable", { { "server", serverId() }, { "reason", reason } });
    closeAttempt();
    if (unreachable_ > MAX_UNREACHABLE)
        giveUp(ResultCode::NoUpstream, "no connection to " + std::to_string(unreachable_) + " servers");
    else
        place();
}

// ---- private: what follows a failed attempt ----

/// The server stated that the request has not run, so that another server may be asked whatever the route's kind.
void ForwardRequest::onRejected()
{
    env_.servers.record(attempt_.server, Outcome::Rejected, env_.loop.now());
    ++rejections_;
    if (rejections_ <= MAX_REJECTIONS && env_.retryBudget.tryTake(service_, env_.loop.now())) {
        retry("rejected");
        return;
    }
    explain("rejected", { { "server", serverId() }, { "status", attempt_.head.status } });
    closeAttempt();
    giveUp(ResultCode::NoUpstream, "servers are full");
}

/// The attempt ended without a whole answer; the request may have run.
void ForwardRequest::onBroken(const std::string& reason)
{
    const bool wasClosedWhileIdle = attempt_.call && attempt_.call->isReused() && attempt_.call->receivedBytes() == 0;
    explain("broken",
        { { "server", serverId() }, { "reason", reason }, { "reused", wasClosedWhileIdle },
            { "sinceSendMs", env_.loop.now() - attempt_.sentAt }, { "lastEvent", lastForwardedId_.value_or(0) } });
    ++maybeRan_;
    if (!wasClosedWhileIdle) {
        env_.servers.record(attempt_.server, Outcome::Broken, env_.loop.now());
        env_.reportBroken(attempt_.server, fingerprint_, crashIdOf(attempt_.server, inbound_.requestId));
    }
    const auto* server = env_.servers.find(attempt_.server);
    if (server && wasClosedWhileIdle)
        env_.client.dropIdle(server->entry.address);
    if (env_.quarantine.isBanned(fingerprint_, env_.loop.now())) {
        closeAttempt();
        giveUp(ResultCode::UpstreamFailed, "servers crashed while running this request");
        return;
    }
    if (mayRunAgain() && env_.retryBudget.tryTake(service_, env_.loop.now())) {
        retry(reason);
        return;
    }
    closeAttempt();
    giveUp(ResultCode::UpstreamFailed, reason);
}

bool ForwardRequest::mayRunAgain() const { return route_->mayRepeat() && maybeRan_ < route_->attempts; }

void ForwardRequest::retry(const std::string& reason)
{
    env_.metrics.onRetry(reason);
    explain("retry", { { "server", serverId() }, { "reason", reason }, { "lastEvent", lastForwardedId_.value_or(0) } });
    closeAttempt();
    const auto self = shared_from_this();
    env_.loop.after(0, [self] { self->place(); });
}

// ---- private: time ----

loop::TimeMs ForwardRequest::progressAllowanceMs() const
{
    const bool hasBegun = attempt_.hasHead || isStreaming_;
    const loop::TimeMs usual = hasBegun ? NEXT_EVENT_PAUSES * route_->maxPauseMs : FIRST_ANSWER_GOALS * route_->goalMs;
    return std::max(usual, SHORTEST_ALLOWANCE_MS);
}

/// Watches attempts that another one could replace; the others are left until the limit.
void ForwardRequest::armProgressTimer()
{
    if (!route_->mayRepeat())
        return;
    const loop::TimeMs dueInMs = lastProgressAt_ + progressAllowanceMs() - env_.loop.now();
    progressTimer_ = env_.loop.after(std::max<loop::TimeMs>(dueInMs, 1), [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->isEnded_)
            return;
        self->progressTimer_ = 0;
        if (self->env_.loop.now() - self->lastProgressAt_ < self->progressAllowanceMs())
            self->armProgressTimer();
        else
            self->onNoProgress();
    });
}

void ForwardRequest::onNoProgress()
{
    if (!attempt_.call)
        return;
    if (maybeRan_ + 1 < route_->attempts)
        onBroken("no progress");
}

void ForwardRequest::onTimeUp()
{
    limitTimer_ = 0;
    if (isEnded_)
        return;
    if (attempt_.call) {
        explain("time-up", { { "server", serverId() }, { "sinceSendMs", env_.loop.now() - attempt_.sentAt } });
        if (attempt_.call->isConnected())
            ++maybeRan_;
    }
    closeAttempt();
    giveUp(maybeRan_ > 0 ? ResultCode::UpstreamTimeout : ResultCode::DeadlineUnreachable, "time is up");
}

} // namespace goldcrestcleat::forwarding
