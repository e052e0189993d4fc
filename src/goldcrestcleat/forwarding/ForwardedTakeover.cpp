#include "goldcrestcleat/forwarding/ForwardedRequest.h"

#include <Poco/Net/HTTPResponse.h>

#include <utility>

// The part of ForwardedRequest that lets another server take over a request whose server makes no progress. The current
// server keeps the request until the other one goes on with it, because it may only be pausing.

namespace goldcrestcleat::forwarding {

using upstreams::Outcome;

namespace {

    // Longest time for which two servers may hold the request, which is less than the 400 ms after which two runs count
    // as repeated on the platform. A server that has not rejected the request by then has queued it.
    constexpr loop::TimeMs MAX_OVERLAP_MS = 250;
    constexpr loop::TimeMs OVERLAP_CHECK_MS = 50;

    constexpr std::size_t MAX_FIRST_EVENT_BYTES = 64 * 1024; // a server that has sent more goes on

} // namespace

/// Tries another server if that is allowed, or ends the attempt if its plan says that it fails. The server may still
/// respond, so it keeps the request until another one has taken it over.
void ForwardedRequest::onInactivity()
{
    if (!attempt_.call->isConnected()) {
        onUnreachable("connection timed out");
        return;
    }
    if (plan_.failsWhenUnresponsive) {
        onBroken(FailureKind::Unresponsive, "server made no progress within the timeout");
        return;
    }
    beginTakeover("server made no progress within the timeout");
    inactivityHandledAt_ = env_.loop.now(); // another server may be available when the timer expires again
    if (mayAbandonAttempt())
        armProgressTimer();
}

void ForwardedRequest::onServerDown()
{
    // Opening a connection has a timeout of its own.
    if (isEnded_ || !attempt_.call || !attempt_.call->isConnected())
        return;
    if (!plan_.failsWhenUnresponsive)
        beginTakeover("server became unreachable");
}

/// Sends the request to another server if it may be repeated, a server is available and the budget has a retry left.
void ForwardedRequest::beginTakeover(const std::string& reason)
{
    const bool isBanned = env_.quarantine.findBan(plan_.fingerprints) != nullptr;
    if (takeover_ || isPlacing_ || isMigrating_ || probedBan_ || isBanned || !mayAbandonAttempt())
        return;
    holdsRetry_ = holdsRetry_ || hooks_.tryTakeRetry();
    if (!holdsRetry_)
        return;
    isPlacing_ = true;
    hooks_.place(progress(), [weak = weak_from_this(), reason](const PlacementResult& result) {
        if (const auto self = weak.lock())
            self->onTakeoverPlaced(result, reason);
    });
}

void ForwardedRequest::onTakeoverPlaced(const PlacementResult& result, const std::string& reason)
{
    isPlacing_ = false;
    if (!result.placement)
        return;
    if (isEnded_ || !attempt_.call) {
        hooks_.release(*result.placement);
        return;
    }
    holdsRetry_ = false;
    hooks_.explain("takeover-begun",
        { { "server", attempt_.placement.serverId }, { "to", result.placement->serverId }, { "reason", reason },
            { "inactiveMs", env_.loop.now() - lastProgressAt_ }, { "lastEvent", position_.value_or(0) } });
    takeover_ = Takeover { startAttempt(*result.placement, http::Client::Reuse::Never), {}, {}, 0 };
    armTakeoverTimer();
}

void ForwardedRequest::armTakeoverTimer()
{
    takeover_->timer = env_.loop.after(OVERLAP_CHECK_MS, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->isEnded_ && self->takeover_)
            self->onTakeoverTimer();
    });
}

/// Ends the time in which two servers hold the request.
void ForwardedRequest::onTakeoverTimer()
{
    const Attempt& attempt = takeover_->attempt;
    if (!takeover_->connectedAt && attempt.call->isConnected())
        takeover_->connectedAt = env_.loop.now();
    if (!takeover_->connectedAt || env_.loop.now() - *takeover_->connectedAt < MAX_OVERLAP_MS) {
        armTakeoverTimer();
        return;
    }
    if (attempt.head.wasNotExecuted) {
        onTakeoverEnd();
        return;
    }
    if (attempt.headAt && !isEventStream(attempt)) {
        onTakeoverBroken(FailureKind::Unresponsive, "the rejection did not end");
        return;
    }
    abandonForTakeover();
}

void ForwardedRequest::onTakeoverHead(const Poco::Net::HTTPResponse& response)
{
    Attempt& attempt = takeover_->attempt;
    attempt.head = hooks_.readHead(response);
    attempt.headAt = env_.loop.now();
    if (hooks_.onHead)
        hooks_.onHead(attempt.placement, attempt.head);
    if (attempt.head.isForOtherRequest)
        onTakeoverBroken(FailureKind::Invalid, "response belongs to another request");
    else if (attempt.head.hasWrongPosition)
        onTakeoverBroken(FailureKind::Invalid, "server did not resume the stream at the requested position");
    else if (!attempt.head.wasNotExecuted && !canForward(attempt))
        onTakeoverBroken(FailureKind::Invalid, "response is not authentic or does not continue the stream");
    else if (!plan_.isStream && attempt.head.isAuthentic && !attempt.head.wasNotExecuted && !attempt.head.isFailure)
        abandonForTakeover();
}

/// Waits for the first complete event of a stream, which shows that the server continues it.
void ForwardedRequest::onTakeoverBody(std::string_view part)
{
    if (!isEventStream(takeover_->attempt))
        return;
    takeover_->bytes.append(part);
    bool isValid = true;
    bool goesOn = takeover_->bytes.size() > MAX_FIRST_EVENT_BYTES;
    const bool isReadable = EventReader().feed(takeover_->bytes, [&](const StreamEvent& event) {
        const ParsedEvent parsed = hooks_.readEvent(event, position_);
        isValid = parsed.kind != ParsedEvent::Kind::Invalid;
        goesOn = isValid && (parsed.hasContent || parsed.kind == ParsedEvent::Kind::Complete);
        return isValid && !goesOn;
    });
    if (!isValid || (!isReadable && !goesOn))
        onTakeoverBroken(FailureKind::Invalid, "malformed or unexpected stream event");
    else if (goesOn)
        abandonForTakeover();
}

void ForwardedRequest::onTakeoverEnd()
{
    const Attempt& attempt = takeover_->attempt;
    if (attempt.head.wasNotExecuted) {
        hooks_.recordOutcome(attempt.placement, Outcome::Rejected);
        endTakeover("rejected");
        if (++rejections_ <= MAX_REJECTED_RETRIES)
            beginTakeover("rejected by another server");
    } else if (isEventStream(attempt) && !attempt.call->isDelimitedByClose() && takeover_->bytes.empty()) {
        abandonForTakeover(); // the caller has all events already
        if (!isEnded_ && attempt_.call)
            onEnd();
    } else if (attempt.head.isAuthentic && attempt.head.isFailure) {
        hooks_.recordOutcome(attempt.placement, Outcome::ServerError);
        ++possibleRuns_;
        endTakeover("server error");
    } else {
        onTakeoverBroken(FailureKind::Broken, "answer ended before it went on");
    }
}

void ForwardedRequest::onTakeoverFailure(http::FailurePoint point, const std::string& reason)
{
    if (point != http::FailurePoint::NotSent) {
        onTakeoverBroken(FailureKind::Broken, reason);
        return;
    }
    hooks_.recordOutcome(takeover_->attempt.placement, Outcome::Unreachable);
    endTakeover(reason);
    holdsRetry_ = true; // no server has received the request
    if (++connectFailures_ <= MAX_CONNECT_RETRIES)
        beginTakeover("another server is unreachable");
}

/// The current server keeps the request. The other one may have executed it.
void ForwardedRequest::onTakeoverBroken(FailureKind kind, const std::string& reason)
{
    ++possibleRuns_;
    const Attempt& attempt = takeover_->attempt;
    const bool hasJustBegun = attempt.headAt && env_.loop.now() - *attempt.headAt <= admission::BEGINNING_MS;
    const auto stage = hasJustBegun ? admission::RunStage::Begun : admission::RunStage::Waiting;
    hooks_.assessFailure({ kind, attempt.placement, false, isStreaming_, stage }, [](NextServer) {});
    if (takeover_) // otherwise the assessment has ended the request
        endTakeover(reason);
}

/// Gives up the current server, which made no progress, for the one that takes the request over.
void ForwardedRequest::abandonForTakeover()
{
    ++possibleRuns_;
    hooks_.assessFailure(
        { FailureKind::Unresponsive, attempt_.placement, false, isStreaming_, stage() }, [](NextServer) {});
    if (!isEnded_ && takeover_)
        completeTakeover();
}

/// Makes the takeover the current attempt, and handles what it has received of a stream.
void ForwardedRequest::completeTakeover()
{
    env_.metrics.onRetry("silence");
    hooks_.explain("retry",
        { { "server", attempt_.placement.serverId }, { "to", takeover_->attempt.placement.serverId },
            { "reason", "silence" }, { "lastEvent", position_.value_or(0) } });
    closeAttempt();
    env_.loop.cancel(takeover_->timer);
    const std::string bytes = std::move(takeover_->bytes);
    attempt_ = std::move(takeover_->attempt);
    takeover_.reset();
    if (timeToHeadMs_ == 0 && attempt_.headAt)
        timeToHeadMs_ = *attempt_.headAt - arrivedAt();
    lastProgressAt_ = env_.loop.now();
    armProgressTimer();
    if (!bytes.empty())
        onBody(bytes);
}

/// Ends the takeover because the current server has made progress.
void ForwardedRequest::onProgressDuringTakeover()
{
    const Attempt& attempt = takeover_->attempt;
    possibleRuns_ += attempt.call->isConnected() && !attempt.head.wasNotExecuted ? 1 : 0;
    endTakeover("the current server goes on");
}

/// Continues at the other server because the current one has failed. Returns false if there is none.
bool ForwardedRequest::continueByTakeover()
{
    if (!takeover_)
        return false;
    completeTakeover();
    return true;
}

void ForwardedRequest::endTakeover(const std::string& reason)
{
    env_.loop.cancel(takeover_->timer);
    Attempt attempt = std::move(takeover_->attempt);
    takeover_.reset();
    hooks_.explain("takeover-ended", { { "server", attempt.placement.serverId }, { "reason", reason } });
    attempt.call->cancel();
    hooks_.release(attempt.placement);
}

} // namespace goldcrestcleat::forwarding
