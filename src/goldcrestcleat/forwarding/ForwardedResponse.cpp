#include "goldcrestcleat/forwarding/ForwardedRequest.h"

#include <Poco/Net/HTTPResponse.h>

#include <utility>

// The part of ForwardedRequest that forwards responses and handles failed attempts.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using upstreams::Outcome;

namespace {

    constexpr std::size_t MAX_CALLER_BACKLOG_BYTES = 64 * 1024;

    // The body of a rejection is read, so that its connection can be reused, only if it is short and arrives in time.
    constexpr int MAX_REJECTION_BYTES = 16 * 1024;
    constexpr loop::TimeMs MAX_REJECTION_MS = 100;

    /// Returns the label of a failure kind in metrics.
    const char* labelOf(FailureKind kind)
    {
        switch (kind) {
        case FailureKind::Unresponsive:
            return "silence";
        case FailureKind::Broken:
            return "broken";
        case FailureKind::Invalid:
            break;
        }
        return "unreadable";
    }

    bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

// ---- private: response handling ----

void ForwardedRequest::onHead(const Poco::Net::HTTPResponse& head)
{
    attempt_.head = hooks_.readHead(head);
    attempt_.headAt = env_.loop.now();
    if (hooks_.onHead)
        hooks_.onHead(attempt_.placement, attempt_.head);
    if (timeToHeadMs_ == 0)
        timeToHeadMs_ = env_.loop.now() - arrivedAt();
    if (attempt_.head.isForOtherRequest) {
        onBroken(FailureKind::Invalid, "response belongs to another request");
    } else if (attempt_.head.hasWrongPosition) {
        if (!continueByTakeover())
            fail(ResultCode::AnswerIncomplete, "server did not resume the stream at the requested position");
    } else if (attempt_.head.wasNotExecuted) {
        awaitRejectionEnd(head.getContentLength());
    } else if (!canForward(attempt_)) {
        onBroken(FailureKind::Invalid, "response is not authentic or does not continue the stream");
    }
}

/// Returns whether the caller may get this response. The body of any other is not worth reading.
bool ForwardedRequest::canForward(const Attempt& attempt) const
{
    return attempt.head.isAuthentic && (!isStreaming_ || isEventStream(attempt));
}

/// The body of a rejection has no meaning, and may be long or never end.
void ForwardedRequest::awaitRejectionEnd(std::int64_t bodyBytes)
{
    const bool isShort = bodyBytes >= 0 && bodyBytes <= MAX_REJECTION_BYTES;
    const loop::TimeMs waitMs = isShort ? MAX_REJECTION_MS : 0;
    env_.loop.after(waitMs, [weak = weak_from_this(), serial = attempt_.serial] {
        const auto self = weak.lock();
        if (self && !self->isEnded_ && self->attempt_.serial == serial)
            self->onRejected();
    });
}

bool ForwardedRequest::isEventStream(const Attempt& attempt) const
{
    return plan_.isStream && attempt.head.isAuthentic && isSuccess(attempt.head.status);
}

/// Returns how far the current run has come, which tells how likely its request is to have crashed the server.
admission::RunStage ForwardedRequest::stage() const
{
    if (!attempt_.headAt)
        return admission::RunStage::Waiting;
    const bool hasJustBegun = attempt_.endedAt.value_or(env_.loop.now()) - *attempt_.headAt <= admission::BEGINNING_MS;
    return hasJustBegun ? admission::RunStage::Begun : admission::RunStage::Running;
}

/// Reports once per attempt that the server has survived the beginning of its answer.
void ForwardedRequest::noteSurvival()
{
    if (std::exchange(attempt_.hasSurvived, true))
        return;
    if (env_.quarantineHooks.onAnswerBegun)
        env_.quarantineHooks.onAnswerBegun(plan_.fingerprints);
    if (probedBan_ && env_.quarantineHooks.onProbeAnswered)
        env_.quarantineHooks.onProbeAnswered(*probedBan_);
}

void ForwardedRequest::onBody(std::string_view part)
{
    if (!isEventStream(attempt_)) {
        appendToBody(part);
        return;
    }
    if (stage() == admission::RunStage::Running)
        noteSurvival();
    const auto self = shared_from_this();
    const int serial = attempt_.serial;
    const bool shouldContinue = attempt_.events.feed(part, [this](const StreamEvent& event) { return onEvent(event); });
    flush();
    if (isEnded_ || attempt_.serial != serial)
        return;
    const std::size_t partialBytes = attempt_.events.partialEventBytes();
    if (attempt_.memory || partialBytes > AnswerBuffers::SMALL_ANSWER_BYTES)
        countMemory(partialBytes);
    if (isComplete_)
        finishStream();
    else if (!shouldContinue)
        onBroken(FailureKind::Invalid, "malformed or unexpected stream event");
}

/// Buffers a part of a response that is no stream. A server may send a body without end.
void ForwardedRequest::appendToBody(std::string_view part)
{
    if (attempt_.head.wasNotExecuted)
        return;
    if (attempt_.body.size() + part.size() > AnswerBuffers::MAX_ANSWER_BYTES) {
        onBroken(FailureKind::Invalid, "response body exceeds the size limit");
        return;
    }
    const std::size_t previousCapacity = attempt_.body.capacity();
    attempt_.body.append(part);
    if (!attempt_.memory || attempt_.body.capacity() != previousCapacity) // a server may send single bytes
        countMemory(attempt_.body.capacity());
    if (!plan_.firstByteTimeoutCoversBody)
        recordProgress();
}

/// Updates the memory that the current response uses.
void ForwardedRequest::countMemory(std::size_t bytes)
{
    if (!attempt_.memory) {
        const auto ifCurrent = [weak = weak_from_this(), serial = attempt_.serial](auto method) {
            return [weak, serial, method](auto argument) {
                const auto self = weak.lock();
                if (self && !self->isEnded_ && self->attempt_.serial == serial)
                    (self.get()->*method)(argument);
            };
        };
        attempt_.memory = env_.answerBuffers->add(
            { ifCurrent(&ForwardedRequest::onMemoryPause), ifCurrent(&ForwardedRequest::onMemoryVerdict) });
    }
    attempt_.memory->resize(bytes);
}

void ForwardedRequest::onMemoryPause(bool isReading)
{
    attempt_.isPaused = !isReading;
    lastProgressAt_ = env_.loop.now();
    setReading(isReading && !isCallerSlow_);
}

void ForwardedRequest::setReading(bool isReading)
{
    if (attempt_.call)
        attempt_.call->setReading(isReading);
}

/// Ends the attempt for lack of memory. The server is at fault only if its answer did not end while it was read alone.
void ForwardedRequest::onMemoryVerdict(MemoryVerdict verdict)
{
    if (verdict == MemoryVerdict::NeverEnds && !attempt_.endedAt) {
        onBroken(FailureKind::Invalid, "response did not end, and all responses exceed the memory limit");
        return;
    }
    const std::string reason = "all responses exceed the memory limit, and this is the largest";
    explainBroken(reason, false);
    ++possibleRuns_;
    cancelCall();
    onAssessed(FailureKind::Invalid, reason, NextServer::Another);
}

bool ForwardedRequest::onEvent(const StreamEvent& event)
{
    const ParsedEvent parsed = hooks_.readEvent(event, position_);
    if (parsed.kind == ParsedEvent::Kind::Invalid)
        return false;
    if (event.id)
        attempt_.lastEventId = event.id;
    if (parsed.hasContent && attempt_.hasBody && !isCallerSlow_)
        recordPace(env_.loop.now() - lastProgressAt_);
    if (parsed.hasContent || !attempt_.hasBody)
        recordProgress(); // a server that has stalled may still send single bytes or comments
    if (parsed.kind == ParsedEvent::Kind::Skip)
        return true;
    if (!isStreaming_) {
        isStreaming_ = true;
        exchange_->startStream(attempt_.head.status, attempt_.head.fields);
    }
    position_ = parsed.position;
    output_.append(parsed.bytes);
    if (parsed.hasContent)
        env_.metrics.onStreamedPart();
    isComplete_ = parsed.kind == ParsedEvent::Kind::Complete;
    return !isComplete_;
}

/// Writes all events of one read with a single call.
void ForwardedRequest::flush()
{
    if (isEnded_ || output_.empty())
        return;
    exchange_->write(output_);
    output_.clear();
    if (attempt_.call && exchange_->backlog() > MAX_CALLER_BACKLOG_BYTES) {
        isCallerSlow_ = true;
        setReading(false);
    }
}

void ForwardedRequest::onEnd()
{
    const bool isStream = isEventStream(attempt_);
    if (attempt_.head.wasNotExecuted)
        onRejected();
    else if (isStream && (attempt_.events.hasPartialEvent() || plan_.requiresEndMarker))
        onBroken(FailureKind::Broken, "stream ended before it was complete");
    else if (isStream && attempt_.lastEventId && attempt_.lastEventId < position_)
        onBroken(FailureKind::Invalid, "stream ended before the event at which it was to go on");
    else if (!attempt_.call->isDelimitedByClose())
        completeAnswer();
    else if (isStream && !attempt_.hasBody && !position_)
        onBroken(FailureKind::Broken, "connection closed before the first event");
    else
        confirmEnd();
}

/// The system closes the connections of a process that ends in the same way as a server that has sent everything.
void ForwardedRequest::confirmEnd()
{
    attempt_.endedAt = env_.loop.now();
    env_.loop.cancel(progressTimer_);
    progressTimer_ = 0;
    hooks_.confirmRunning(attempt_.placement, [weak = weak_from_this(), serial = attempt_.serial](bool isRunning) {
        const auto self = weak.lock();
        if (self && !self->isEnded_ && self->attempt_.serial == serial)
            self->onEndConfirmed(isRunning);
    });
}

void ForwardedRequest::onEndConfirmed(bool isRunning)
{
    explainClosed(isRunning);
    env_.metrics.onClosedAnswer(isRunning);
    if (isRunning)
        completeAnswer();
    else
        onBroken(FailureKind::Broken, "server ended with the connection");
}

void ForwardedRequest::completeAnswer()
{
    if (isEventStream(attempt_))
        finishStream();
    else
        finishBuffered();
}

void ForwardedRequest::finishStream()
{
    noteSurvival();
    hooks_.onCompleteResponse(attempt_.placement, attempt_.head, "");
    if (!isStreaming_)
        exchange_->startStream(attempt_.head.status, attempt_.head.fields);
    exchange_->finishStream();
    finish(ResultCode::Ok);
}

void ForwardedRequest::finishBuffered()
{
    const ResponseHead& head = attempt_.head;
    noteSurvival();
    if (head.isFailure) {
        hooks_.recordOutcome(attempt_.placement, Outcome::ServerError);
        ++possibleRuns_;
        if (continueByTakeover())
            return;
        if (mayRunAgain() && takeRetry()) {
            retry("server error", NextServer::Another);
            return;
        }
    } else {
        hooks_.onCompleteResponse(attempt_.placement, head, attempt_.body);
    }
    exchange_->reply(head.status, head.fields, attempt_.body);
    finish(ResultCode::Ok);
}

void ForwardedRequest::onFailure(http::FailurePoint point, const std::string& reason)
{
    if (point == http::FailurePoint::NotSent)
        onUnreachable(reason);
    else
        onBroken(FailureKind::Broken, reason);
}

// ---- private: failure handling and retries ----

/// No byte of the request left this process, so any request may be sent to another server.
void ForwardedRequest::onUnreachable(const std::string& reason)
{
    hooks_.recordOutcome(attempt_.placement, Outcome::Unreachable);
    ++connectFailures_;
    hooks_.explain("unreachable", { { "server", attempt_.placement.serverId }, { "reason", reason } });
    closeAttempt();
    if (connectFailures_ > MAX_CONNECT_RETRIES)
        fail(ResultCode::NoUpstream, "could not connect to " + std::to_string(connectFailures_) + " servers");
    else
        place();
}

/// The server stated that it did not execute the request, so any request may be sent to another server.
void ForwardedRequest::onRejected()
{
    hooks_.recordOutcome(attempt_.placement, Outcome::Rejected);
    ++rejections_;
    if (continueByTakeover())
        return;
    if (!probedBan_ && rejections_ <= MAX_REJECTED_RETRIES && takeRetry()) {
        retry("rejected", NextServer::Another);
        return;
    }
    hooks_.explain("rejected", { { "server", attempt_.placement.serverId }, { "status", attempt_.head.status } });
    fail(ResultCode::NoUpstream, "rejected by servers, no attempts left");
}

/// The attempt ended without a complete response; the request may have been executed.
void ForwardedRequest::onBroken(FailureKind kind, const std::string& reason)
{
    const bool wasClosedWhileIdle = attempt_.call && attempt_.call->isReused() && attempt_.call->receivedBytes() == 0;
    explainBroken(reason, wasClosedWhileIdle);
    ++possibleRuns_;
    cancelCall();
    const std::weak_ptr<ForwardedRequest> weak = weak_from_this();
    hooks_.assessFailure(
        { kind, attempt_.placement, wasClosedWhileIdle, isStreaming_, stage() }, [weak, kind, reason](NextServer next) {
            if (const auto self = weak.lock())
                self->onAssessed(kind, reason, next);
        });
}

void ForwardedRequest::explainBroken(const std::string& reason, bool wasClosedWhileIdle) const
{
    hooks_.explain("broken",
        { { "server", attempt_.placement.serverId }, { "reason", reason }, { "reused", wasClosedWhileIdle },
            { "sinceSendMs", env_.loop.now() - attempt_.sentAt },
            { "sinceHeadMs", attempt_.headAt ? env_.loop.now() - *attempt_.headAt : -1 },
            { "bytes", attempt_.body.size() + attempt_.events.partialEventBytes() },
            { "lastEvent", position_.value_or(0) } });
}

/// Logs the end of a response that only the end of its connection delimits.
void ForwardedRequest::explainClosed(bool isRunning) const
{
    hooks_.explain("closed",
        { { "server", attempt_.placement.serverId }, { "serverRuns", isRunning },
            { "sinceSendMs", env_.loop.now() - attempt_.sentAt },
            { "sinceProgressMs", env_.loop.now() - lastProgressAt_ }, { "bytes", attempt_.call->receivedBytes() },
            { "lastEvent", position_.value_or(0) } });
}

void ForwardedRequest::onAssessed(FailureKind kind, const std::string& reason, NextServer next)
{
    if (isEnded_)
        return;
    if (const auto* ban = env_.quarantine.findBan(plan_.fingerprints)) {
        failQuarantined(ban->fingerprint);
        return;
    }
    if (continueByTakeover())
        return;
    if (mayRunAgain() && takeRetry())
        retry(labelOf(kind), next);
    else
        fail(kind == FailureKind::Unresponsive ? ResultCode::UpstreamTimeout : ResultCode::UpstreamFailed, reason);
}

bool ForwardedRequest::takeRetry() { return std::exchange(holdsRetry_, false) || hooks_.tryTakeRetry(); }

void ForwardedRequest::retry(const std::string& reason, NextServer next)
{
    env_.metrics.onRetry(reason);
    hooks_.explain("retry",
        { { "server", attempt_.placement.serverId }, { "reason", reason }, { "lastEvent", position_.value_or(0) } });
    if (next == NextServer::Same) {
        cancelCall();
        const Placement placement = attempt_.placement;
        send(placement, http::Client::Reuse::Never);
        return;
    }
    closeAttempt();
    const auto self = shared_from_this();
    env_.loop.after(0, [self] { self->place(); });
}

} // namespace goldcrestcleat::forwarding
