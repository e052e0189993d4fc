#include "goldcrestcleat/observe/Digest.h"
#include "goldcrestcleat/requests/ChatRequest.h"

#include <Poco/Net/HTTPResponse.h>

// The part of ChatRequest that sends an attempt and passes the engine's answer on.

namespace goldcrestcleat::requests {

using errors::ResultCode;
using nlohmann::json;
using routing::NodeKey;

namespace {

    constexpr std::size_t ATTEMPT_ID_BYTES = 12;
    constexpr std::size_t MAX_CALLER_BACKLOG_BYTES = 64 * 1024;
    constexpr loop::TimeMs PLAIN_ANSWER_MS = 120'000; // a plain answer shows no progress until it is whole

} // namespace

// ---- private: sending ----

void ChatRequest::send(NodeKey engine, routing::TicketId ticket, http::Client::Reuse reuse)
{
    const auto* upstream = env_.directory.find(engine);
    if (!upstream || remainingMs() <= 0) {
        env_.fleet.tickets().release(ticket);
        refuseWith(upstream ? ResultCode::DeadlineUnreachable : ResultCode::NoUpstream, "");
        return;
    }
    attempt_ = Attempt();
    attempt_.id = observe::randomHex(ATTEMPT_ID_BYTES);
    attempt_.engine = engine;
    attempt_.ticket = ticket;
    attempt_.resumedAt = forwarded_;
    attempt_.isSuspect = placedAsSuspect_;
    if (firstAttemptId_.empty()) {
        firstAttemptId_ = attempt_.id;
        env_.metrics.onAddedLatency(static_cast<double>(env_.loop.now() - arrivedAt_));
    }
    wasSent_ = true;
    attempt_.call = env_.client.start(upstream->address, engineRequest(), callHooks(), reuse);
    armTimer(call_.isStream ? call_.profile.firstTokenMs : PLAIN_ANSWER_MS);
}

http::Request ChatRequest::engineRequest() const
{
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.fields = { { "Content-Type", "application/json" }, { "X-Request-Id", attempt_.id },
        { "X-Priority", std::to_string(call_.profile.priority) } };
    if (attempt_.resumedAt == 0) {
        request.body = call_.body.dump();
        return request;
    }
    json body = call_.body;
    body["resume_position"] = attempt_.resumedAt;
    request.body = body.dump();
    return request;
}

http::Call::Hooks ChatRequest::callHooks()
{
    const std::weak_ptr<ChatRequest> weak = weak_from_this();
    http::Call::Hooks hooks;
    hooks.onHead = [weak](const Poco::Net::HTTPResponse& head) {
        if (const auto self = weak.lock())
            self->onHead(head);
    };
    hooks.onBody = [weak](std::string_view part) {
        if (const auto self = weak.lock())
            self->onBody(part);
    };
    hooks.onEnd = [weak] {
        if (const auto self = weak.lock())
            self->onEnd();
    };
    hooks.onFailure = [weak](http::FailurePoint point, const std::string& reason) {
        if (const auto self = weak.lock())
            self->onFailure(point, reason);
    };
    return hooks;
}

// ---- private: the engine's answer ----

void ChatRequest::onHead(const Poco::Net::HTTPResponse& head)
{
    attempt_.status = head.getStatus();
    attempt_.contentType = head.getContentType();
    if (head.get("X-Request-Id", "") != attempt_.id) {
        explain("crossed-answer");
        env_.log.warn("crossed-answer", { { "request", call_.requestId }, { "engine", engineId(attempt_.engine) } });
        retryElsewhere("crossed");
        return;
    }
    attempt_.run = head.get("X-Run-Id", "");
    if (!attempt_.run.empty())
        env_.directory.onContact(attempt_.engine, attempt_.run);
    if (attempt_.resumedAt > 0 && head.get("X-Resume-Position", "") != std::to_string(attempt_.resumedAt))
        refuseWith(ResultCode::AnswerIncomplete, "the engine does not resume");
}

void ChatRequest::onBody(std::string_view part)
{
    if (!attempt_.call)
        return;
    const bool isEventStream = call_.isStream && attempt_.status == 200;
    if (!isEventStream) {
        attempt_.body.append(part);
        return;
    }
    armTimer(call_.profile.stallMs);
    const auto self = shared_from_this();
    const std::string attemptId = attempt_.id;
    const bool goesOn = attempt_.events.feed(part, [&](const SseEvent& event) { return onEvent(event); });
    flushOutput();
    if (!goesOn && !isEnded_ && attempt_.id == attemptId)
        retryElsewhere("bad-event");
}

bool ChatRequest::onEvent(const SseEvent& event)
{
    if (event.isDone) {
        if (attempt_.sawFinish)
            complete();
        return attempt_.sawFinish;
    }
    if (event.isError || event.data.find(attempt_.id) == std::string_view::npos) {
        explain(event.isError ? "error-event" : "crossed-event");
        return false;
    }
    attempt_.sawFinish = attempt_.sawFinish || event.isFinish;
    const bool wasForwardedBefore = attempt_.resumedAt > 0 && !event.hasContent && !event.isFinish;
    if (!wasForwardedBefore)
        forward(event);
    return true;
}

void ChatRequest::forward(const SseEvent& event)
{
    if (!exchange_->isStreaming()) {
        exchange_->startStream(200,
            { { "Content-Type", "text/event-stream" }, { "Cache-Control", "no-store" },
                { "X-Request-Id", call_.requestId }, { "X-Hint", env_.hints.seal(call_.chat, attempt_.engine) },
                { "X-Served-By", engineId(attempt_.engine) } });
    }
    const std::size_t start = output_.size();
    output_.append("data: ").append(event.data);
    if (attempt_.id != firstAttemptId_)
        output_.replace(output_.find(attempt_.id, start), attempt_.id.size(), firstAttemptId_);
    output_.append("\n\n");
    if (event.hasContent) {
        ++forwarded_;
        env_.metrics.onStreamedToken();
    }
}

/// Writes the events of one read together.
void ChatRequest::flushOutput()
{
    if (isEnded_ || output_.empty())
        return;
    exchange_->write(output_);
    output_.clear();
    if (attempt_.call && exchange_->backlog() > MAX_CALLER_BACKLOG_BYTES) {
        attempt_.call->setReading(false);
        disarmTimer(); // the server's own time-out watches a caller that takes nothing
    }
}

void ChatRequest::onEnd()
{
    if (isEnded_)
        return;
    if (call_.isStream && attempt_.status == 200) {
        retryElsewhere("truncated");
        return;
    }
    if (attempt_.status == 503 || attempt_.status == 429) {
        retryElsewhere("engine-busy");
        return;
    }
    complete();
}

void ChatRequest::onFailure(http::FailurePoint point, const std::string& reason)
{
    const bool wasStale = attempt_.call && attempt_.call->isReused() && attempt_.call->receivedBytes() == 0;
    const NodeKey engine = attempt_.engine;
    explain("attempt-failed", { { "engine", engineId(engine) }, { "reason", reason } });
    if (point == http::FailurePoint::NotSent) {
        env_.directory.onContactFailed(engine, env_.loop.now());
        retryElsewhere("connect-failed");
        return;
    }
    investigate(wasStale ? "stale-connection" : reason);
}
} // namespace goldcrestcleat::requests
