#include "goldcrestcleat/forwarding/ForwardRequest.h"

#include <Poco/Net/HTTPResponse.h>

#include <utility>

// The part of ForwardRequest that passes an answer on and decides what follows a failed attempt.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using upstreams::Outcome;

namespace {

    constexpr int MAX_REJECTIONS = 3; // further servers asked after "not run"; each is a retry to its service
    constexpr int MAX_UNREACHABLE = 4; // servers that no connection could be opened to
    constexpr std::size_t MAX_CALLER_BACKLOG_BYTES = 64 * 1024;

    /// Short names of the ways to fail, for metrics.
    const char* nameOf(FailureKind kind)
    {
        switch (kind) {
        case FailureKind::Silence:
            return "silence";
        case FailureKind::Broken:
            return "broken";
        case FailureKind::Unreadable:
            break;
        }
        return "unreadable";
    }

    bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

// ---- private: the answer ----

void ForwardRequest::onHead(const Poco::Net::HTTPResponse& head)
{
    attempt_.head = hooks_.readHead(head);
    if (firstAnswerMs_ == 0)
        firstAnswerMs_ = env_.loop.now() - arrivedAt();
    if (attempt_.head.isForeign)
        onBroken(FailureKind::Unreadable, "answer to another request");
    else if (attempt_.head.goesOnElsewhere)
        giveUp(ResultCode::AnswerIncomplete, "the server does not resume");
}

bool ForwardRequest::isEventStream() const
{
    return plan_.isStream && attempt_.head.isGenuine && isSuccess(attempt_.head.status);
}

void ForwardRequest::onBody(std::string_view part)
{
    if (!isEventStream()) {
        attempt_.body.append(part);
        if (!plan_.isAttemptTimed)
            noteProgress();
        return;
    }
    noteProgress();
    const auto self = shared_from_this();
    const int serial = attempt_.serial;
    const bool goesOn = attempt_.events.feed(part, [this](const StreamEvent& event) { return onEvent(event); });
    flush();
    if (isEnded_ || attempt_.serial != serial)
        return;
    if (isComplete_)
        finishStream();
    else if (!goesOn)
        onBroken(FailureKind::Unreadable, "unreadable event");
}

bool ForwardRequest::onEvent(const StreamEvent& event)
{
    const EventReading reading = hooks_.readEvent(event, position_);
    if (reading.kind == EventReading::Kind::Skip)
        return true;
    if (reading.kind == EventReading::Kind::Unreadable)
        return false;
    if (!isStreaming_) {
        isStreaming_ = true;
        exchange_->startStream(attempt_.head.status, attempt_.head.fields);
    }
    position_ = reading.position;
    output_.append(reading.bytes);
    if (reading.hasContent)
        env_.metrics.onStreamedPart();
    isComplete_ = reading.kind == EventReading::Kind::Complete;
    return !isComplete_;
}

/// Writes the events of one read together.
void ForwardRequest::flush()
{
    if (isEnded_ || output_.empty())
        return;
    exchange_->write(output_);
    output_.clear();
    if (attempt_.call && exchange_->backlog() > MAX_CALLER_BACKLOG_BYTES) {
        isCallerSlow_ = true;
        attempt_.call->setReading(false);
    }
}

void ForwardRequest::onEnd()
{
    if (attempt_.head.hasNotRun)
        onRejected();
    else if (!isEventStream())
        finishPlain();
    else if (attempt_.events.hasPartialEvent() || plan_.endsWithMarker)
        onBroken(FailureKind::Unreadable, "stream ended too early");
    else
        finishStream();
}

void ForwardRequest::finishStream()
{
    hooks_.answered(attempt_.placement, attempt_.head, "");
    if (!isStreaming_)
        exchange_->startStream(attempt_.head.status, attempt_.head.fields);
    exchange_->finishStream();
    finish(ResultCode::Ok);
}

void ForwardRequest::finishPlain()
{
    const AnswerHead& head = attempt_.head;
    if (!head.isGenuine || isStreaming_) {
        onBroken(FailureKind::Unreadable, "answer that no server vouches for");
        return;
    }
    if (head.isFailure) {
        hooks_.record(attempt_.placement, Outcome::ServerError);
        ++maybeRan_;
        if (mayRunAgain() && takeRetry()) {
            retry("server error", NextServer::Another);
            return;
        }
    } else {
        hooks_.answered(attempt_.placement, head, attempt_.body);
    }
    exchange_->reply(head.status, head.fields, attempt_.body);
    finish(ResultCode::Ok);
}

void ForwardRequest::onFailure(http::FailurePoint point, const std::string& reason)
{
    if (point == http::FailurePoint::NotSent)
        onUnreachable(reason);
    else
        onBroken(FailureKind::Broken, reason);
}

// ---- private: what follows a failed attempt ----

/// No byte of the request left this process, so that another server may be asked whatever the request is.
void ForwardRequest::onUnreachable(const std::string& reason)
{
    hooks_.record(attempt_.placement, Outcome::Unreachable);
    ++unreachable_;
    hooks_.explain("unreachable", { { "server", attempt_.placement.serverId }, { "reason", reason } });
    closeAttempt();
    if (unreachable_ > MAX_UNREACHABLE)
        giveUp(ResultCode::NoUpstream, "no connection to " + std::to_string(unreachable_) + " servers");
    else
        place();
}

/// The server stated that the request has not run, so that another server may be asked whatever the request is.
void ForwardRequest::onRejected()
{
    hooks_.record(attempt_.placement, Outcome::Rejected);
    ++rejections_;
    if (rejections_ <= MAX_REJECTIONS && takeRetry()) {
        retry("rejected", NextServer::Another);
        return;
    }
    hooks_.explain("rejected", { { "server", attempt_.placement.serverId }, { "status", attempt_.head.status } });
    giveUp(ResultCode::NoUpstream, "servers are full");
}

/// The attempt ended without a whole answer; the request may have run.
void ForwardRequest::onBroken(FailureKind kind, const std::string& reason)
{
    const bool wasClosedWhileIdle = attempt_.call && attempt_.call->isReused() && attempt_.call->receivedBytes() == 0;
    hooks_.explain("broken",
        { { "server", attempt_.placement.serverId }, { "reason", reason }, { "reused", wasClosedWhileIdle },
            { "sinceSendMs", env_.loop.now() - attempt_.sentAt }, { "lastEvent", position_.value_or(0) } });
    ++maybeRan_;
    stopCall();
    const std::weak_ptr<ForwardRequest> weak = weak_from_this();
    hooks_.judge({ kind, attempt_.placement, wasClosedWhileIdle, isStreaming_ }, [weak, kind, reason](NextServer next) {
        if (const auto self = weak.lock())
            self->onJudged(kind, reason, next);
    });
}

void ForwardRequest::onJudged(FailureKind kind, const std::string& reason, NextServer next)
{
    if (isEnded_)
        return;
    if (env_.quarantine.isBanned(plan_.fingerprint, env_.loop.now()))
        giveUp(ResultCode::Quarantined, "servers crashed while running this request");
    else if (mayRunAgain() && takeRetry())
        retry(nameOf(kind), next);
    else
        giveUp(kind == FailureKind::Silence ? ResultCode::UpstreamTimeout : ResultCode::UpstreamFailed, reason);
}

bool ForwardRequest::takeRetry() { return std::exchange(hasRetry_, false) || hooks_.tryRetry(); }

void ForwardRequest::retry(const std::string& reason, NextServer next)
{
    env_.metrics.onRetry(reason);
    hooks_.explain("retry",
        { { "server", attempt_.placement.serverId }, { "reason", reason }, { "lastEvent", position_.value_or(0) } });
    if (next == NextServer::Same) {
        stopCall();
        const Placement placement = attempt_.placement;
        send(placement, http::Client::Reuse::Never);
        return;
    }
    closeAttempt();
    const auto self = shared_from_this();
    env_.loop.after(0, [self] { self->place(); });
}

} // namespace goldcrestcleat::forwarding
