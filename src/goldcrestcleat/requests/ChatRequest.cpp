#include "goldcrestcleat/requests/ChatRequest.h"

#include "goldcrestcleat/observe/Digest.h"
#include "goldcrestcleat/platform/TableClient.h"

#include <Poco/Net/HTTPResponse.h>
#include <xxhash.h>

namespace goldcrestcleat::requests {

using errors::Executed;
using errors::ResultCode;
using nlohmann::json;
using routing::NO_NODE;
using routing::NodeKey;

namespace {

    constexpr std::size_t ATTEMPT_ID_BYTES = 12;
    constexpr std::size_t MAX_CALLER_BACKLOG_BYTES = 64 * 1024;
    constexpr int MAX_SPILLS_WITHOUT_WAIT = 3; // then the request queues
    constexpr loop::TimeMs QUEUE_SLICE_MS = 2'000; // wait at one engine before the loads are looked at again
    constexpr loop::TimeMs PLACE_RETRY_MS = 50;
    constexpr loop::TimeMs CANCEL_TIMEOUT_MS = 1'000;
    constexpr loop::TimeMs PLAIN_ANSWER_MS = 120'000; // a plain answer shows no progress until it is whole

    /// Urgent work weighs more in the fair queue.
    double priorityFactor(int priority)
    {
        static constexpr double factors[] = { 8.0, 4.0, 2.0, 1.0 };
        return factors[priority];
    }

    std::uint64_t crashIdOf(NodeKey engine, const std::string& run)
    {
        return XXH3_64bits_withSeed(run.data(), run.size(), engine);
    }

} // namespace

ChatRequest::ChatRequest(Environment& env, ChatRequests& registry, http::Exchange::Ptr exchange, ChatCall call)
    : env_(env)
    , registry_(registry)
    , exchange_(std::move(exchange))
    , call_(std::move(call))
    , arrivedAt_(env.loop.now())
{
}

void ChatRequest::start()
{
    const auto self = shared_from_this();
    registry_.add(self);
    exchange_->onCallerGone = [self] { self->onCallerGone(); };
    exchange_->onDrain = [self] {
        if (self->attempt_.call)
            self->attempt_.call->setReading(true);
    };
    env_.explanations.begin(call_.requestId, call_.workspace->id, call_.chatId, arrivedAt_);
    env_.retryBudget.onRequest();
    query_.chat = call_.chat;
    query_.model = call_.model;
    query_.isReturning = call_.isReturning;
    query_.hinted = env_.hints.open(call_.chat, call_.hint);
    query_.remembered = env_.fleet.remembered(call_.chat);
    place();
}

void ChatRequest::moveAway()
{
    const auto target
        = env_.view.leastLoaded(call_.model, { attempt_.engine }, routing::LEAST_LOADED_SAMPLES, env_.random);
    const auto* from = env_.view.find(attempt_.engine);
    const auto* to = env_.view.find(target);
    if (!from || !to || to->load + 1 >= from->load)
        return;
    isMoving_ = true;
    fleet::TicketRequest request;
    request.engine = target;
    request.workspace = static_cast<std::uint16_t>(routing::nodeKey(call_.workspace->id));
    const auto self = shared_from_this();
    const auto ticket = std::make_shared<routing::TicketId>(0);
    *ticket = env_.fleet.tickets().acquire(request, [self, ticket, target](const fleet::TicketResult& result) {
        self->isMoving_ = false;
        if (!result.granted)
            return;
        if (self->isEnded_ || !self->attempt_.call) {
            self->env_.fleet.tickets().release(*ticket);
            return;
        }
        self->explain("moved", { { "from", self->engineId(self->attempt_.engine) }, { "to", self->engineId(target) } });
        self->env_.metrics.onRetry("moved");
        self->dropAttempt();
        self->send(target, *ticket, http::Client::Reuse::Allowed);
    });
}

// ---- private: placement ----

void ChatRequest::place()
{
    if (isEnded_)
        return;
    if (env_.quarantine.isBanned(call_.fingerprint, env_.loop.now())) {
        refuseWith(ResultCode::Quarantined, "");
        return;
    }
    if (remainingMs() <= 0) {
        refuseWith(ResultCode::DeadlineUnreachable, "");
        return;
    }
    const auto choice = routing::choosePlacement(env_.view, query_, env_.random);
    if (choice.engine == NO_NODE) {
        if (env_.view.eligibleCount(call_.model) == 0) {
            refuseWith(ResultCode::NoUpstream, call_.model);
            return;
        }
        placeLater();
        return;
    }
    fleet::TicketRequest request;
    request.engine = choice.engine;
    request.workspace = static_cast<std::uint16_t>(routing::nodeKey(call_.workspace->id));
    request.cost = call_.profile.cost;
    request.weight = call_.workspace->weight * priorityFactor(call_.profile.priority);
    request.suspect = placedAsSuspect_ = env_.quarantine.isSuspect(call_.fingerprint, env_.loop.now());
    if (choice.isWarm) {
        const double patience = 2 * env_.settings.routing.reuseWeight;
        request.waitMs = std::min(
            static_cast<loop::TimeMs>(static_cast<double>(call_.profile.warmWaitMs) * patience), remainingMs());
    } else if (denials_ >= MAX_SPILLS_WITHOUT_WAIT) {
        request.waitMs = std::min(QUEUE_SLICE_MS, remainingMs());
    }
    if (choice.reason == routing::PlacementReason::Hashed && call_.isReturning)
        request.lookup = call_.chat;
    const auto self = shared_from_this();
    pendingTicket_ = env_.fleet.tickets().acquire(
        request, [self, choice](const fleet::TicketResult& result) { self->onTicket(choice, result); });
}

void ChatRequest::onTicket(const routing::PlacementChoice& choice, const fleet::TicketResult& result)
{
    const routing::TicketId ticket = pendingTicket_;
    pendingTicket_ = 0;
    if (isEnded_) {
        env_.fleet.tickets().release(ticket);
        return;
    }
    const json details = { { "engine", engineId(choice.engine) }, { "reason", routing::toString(choice.reason) },
        { "load", result.load } };
    if (result.granted) {
        explain("placed", details);
        env_.metrics.onPlacement(routing::toString(choice.reason), choice.isWarm);
        send(choice.engine, ticket, http::Client::Reuse::Allowed);
        return;
    }
    explain(result.homeSilent ? "home-silent" : "denied", details);
    if (result.elsewhere != NO_NODE) {
        query_.remembered = result.elsewhere;
        place();
        return;
    }
    ++denials_;
    query_.tried.push_back(choice.engine);
    place();
}

void ChatRequest::placeLater()
{
    query_.tried.clear();
    query_.hinted = NO_NODE; // its wait is over
    query_.remembered = NO_NODE;
    const auto self = shared_from_this();
    env_.loop.after(PLACE_RETRY_MS, [self] { self->place(); });
}

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

/// Asks the engine over a new connection whether it still runs, before anything is sent again.
void ChatRequest::investigate(const std::string& reason)
{
    disarmTimer();
    const NodeKey engine = attempt_.engine;
    const auto* upstream = env_.directory.find(engine);
    // After a stall only the run that began this answer can be compared: an engine that was started anew some time
    // ago has not crashed under this request.
    const bool isStall = reason == "stalled";
    const std::string run = isStall || !attempt_.run.empty() || !upstream ? attempt_.run : upstream->run;
    const auto self = shared_from_this();
    env_.prober.probeNow(engine, [self, engine, run, reason, isStall](const upstreams::ProbeAnswer& answer) {
        if (self->isEnded_)
            return;
        const bool isNewRun = !run.empty() && !answer.run.empty() && answer.run != run;
        if (!answer.isAlive || isNewRun) {
            if (!answer.isAlive)
                self->env_.directory.onContactFailed(engine, self->env_.loop.now());
            self->explain("engine-crashed", { { "engine", self->engineId(engine) } });
            self->env_.fleet.suspect({ { self->call_.fingerprint, crashIdOf(engine, run), self->attempt_.isSuspect } });
            self->retryElsewhere("crash");
            return;
        }
        if (self->forwarded_ == 0 && isStall)
            self->retryElsewhere("first-token");
        else
            self->resumeHere(reason);
    });
}

/// Called when no part of the answer came for too long: the connection may have gone silent.
void ChatRequest::onStall()
{
    explain("stalled", { { "engine", engineId(attempt_.engine) } });
    const auto* upstream = env_.directory.find(attempt_.engine);
    if (upstream)
        env_.client.dropIdle(upstream->address);
    cancelAtEngine();
    if (attempt_.call)
        attempt_.call->cancel();
    investigate("stalled");
}

void ChatRequest::cancelAtEngine()
{
    const auto* upstream = env_.directory.find(attempt_.engine);
    if (!upstream)
        return;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/cancel";
    request.fields = { { "Content-Type", "application/json" } };
    request.body = json { { "id", attempt_.id } }.dump();
    platform::callOnce(env_.loop, env_.client, upstream->address, request, CANCEL_TIMEOUT_MS,
        http::Client::Reuse::Fresh, [](http::FailurePoint, int, const std::string&) {});
}

// ---- private: further attempts ----

void ChatRequest::retryElsewhere(const std::string& reason)
{
    const NodeKey failed = attempt_.engine;
    dropAttempt();
    if (!mayRetry(reason))
        return;
    query_.tried = { failed };
    denials_ = 0;
    const auto self = shared_from_this();
    env_.loop.after(0, [self] { self->place(); });
}

void ChatRequest::resumeHere(const std::string& reason)
{
    const NodeKey engine = attempt_.engine;
    const routing::TicketId ticket = attempt_.ticket;
    attempt_.ticket = 0; // kept for the next attempt
    dropAttempt();
    if (!mayRetry(reason)) {
        env_.fleet.tickets().release(ticket);
        return;
    }
    send(engine, ticket, http::Client::Reuse::Fresh);
}

bool ChatRequest::mayRetry(const std::string& reason)
{
    if (isEnded_)
        return false;
    if (retries_ >= call_.profile.retries || !env_.retryBudget.tryTake()) {
        refuseWith(exchange_->isStreaming() ? ResultCode::AnswerIncomplete : ResultCode::UpstreamFailed, reason);
        return false;
    }
    ++retries_;
    env_.metrics.onRetry(reason);
    explain("retry", { { "reason", reason }, { "position", forwarded_ } });
    return true;
}

void ChatRequest::dropAttempt()
{
    disarmTimer();
    const auto call = std::move(attempt_.call);
    attempt_.call.reset();
    if (call)
        call->cancel();
    if (attempt_.ticket != 0)
        env_.fleet.tickets().release(attempt_.ticket);
    attempt_.ticket = 0;
}

/// Allows the engine some time for its next sign of life. An armed timer is not moved but looks again when it is due.
void ChatRequest::armTimer(loop::TimeMs delayMs)
{
    lastProgressAt_ = env_.loop.now();
    patienceMs_ = delayMs;
    if (timer_ == 0 || delayMs < timerMs_)
        startTimer(delayMs);
}

void ChatRequest::startTimer(loop::TimeMs delayMs)
{
    env_.loop.cancel(timer_);
    timerMs_ = delayMs;
    timer_ = env_.loop.after(delayMs, [weak = weak_from_this()] {
        const auto self = weak.lock();
        if (!self || self->isEnded_)
            return;
        self->timer_ = 0;
        const loop::TimeMs leftMs = self->lastProgressAt_ + self->patienceMs_ - self->env_.loop.now();
        if (leftMs > 0)
            self->startTimer(leftMs);
        else
            self->onStall();
    });
}

void ChatRequest::disarmTimer()
{
    env_.loop.cancel(timer_);
    timer_ = 0;
}

// ---- private: the end ----

void ChatRequest::complete()
{
    if (call_.isStream && attempt_.status == 200) {
        output_.append("data: [DONE]\n\n");
        exchange_->write(output_);
        output_.clear();
        exchange_->finishStream();
    } else {
        exchange_->reply(attempt_.status,
            { { "Content-Type", attempt_.contentType }, { "X-Request-Id", call_.requestId },
                { "X-Hint", env_.hints.seal(call_.chat, attempt_.engine) },
                { "X-Served-By", engineId(attempt_.engine) } },
            attempt_.body);
    }
    if (!call_.chatId.empty())
        env_.fleet.remember(call_.model, call_.chat, attempt_.engine);
    finish(ResultCode::Ok);
}

void ChatRequest::refuseWith(ResultCode code, const std::string& context)
{
    Refusal refusal;
    refusal.code = code;
    refusal.context = context;
    refusal.executed = wasSent_ ? Executed::Unknown : Executed::No;
    refusal.retryAfterSeconds = errors::info(code).httpStatus == 503 ? 1 : 0;
    refuse(*exchange_, refusal, call_.requestId);
    finish(code);
}

void ChatRequest::finish(ResultCode code)
{
    if (isEnded_)
        return;
    isEnded_ = true;
    const auto self = shared_from_this();
    if (pendingTicket_ != 0)
        env_.fleet.tickets().release(pendingTicket_);
    pendingTicket_ = 0;
    if (code == ResultCode::Ok) {
        // The call ended by itself, so that its connection may serve another one.
        disarmTimer();
        env_.fleet.tickets().release(attempt_.ticket);
        attempt_.ticket = 0;
        keepCallUntilEnd();
    } else {
        dropAttempt();
    }
    exchange_->onCallerGone = nullptr;
    exchange_->onDrain = nullptr;
    explain("finished", { { "code", static_cast<int>(code) } });
    env_.metrics.onRequest("chat", static_cast<int>(code));
    env_.openCounts.close("workspace/" + call_.workspace->id);
    env_.openCounts.close("profile/" + call_.workspace->id + "/" + call_.profile.name);
    env_.log.info("chat-finished",
        { { "request", call_.requestId }, { "workspace", call_.workspace->id }, { "code", static_cast<int>(code) },
            { "retries", retries_ }, { "ms", env_.loop.now() - arrivedAt_ } });
    registry_.remove(self);
}

/// Lets the connection read the rest of the answer's framing, so that it can be used again.
void ChatRequest::keepCallUntilEnd()
{
    const auto call = std::move(attempt_.call);
    attempt_.call.reset();
    if (call)
        env_.loop.after(CANCEL_TIMEOUT_MS, [call] {});
}

void ChatRequest::onCallerGone()
{
    explain("caller-gone");
    finish(ResultCode::CallerGone);
}

loop::TimeMs ChatRequest::remainingMs() const
{
    // The deadline is for the start of the work; what has begun goes on.
    if (forwarded_ > 0)
        return call_.profile.deadlineMs;
    return arrivedAt_ + call_.profile.deadlineMs - env_.loop.now();
}

void ChatRequest::explain(const std::string& step, json details)
{
    env_.explanations.add(call_.requestId, env_.loop.now(), step, std::move(details));
}

std::string ChatRequest::engineId(NodeKey key) const
{
    const auto* upstream = env_.directory.find(key);
    return upstream ? upstream->id : "";
}

// ---- ChatRequests ----

void ChatRequests::moveOneFrom(NodeKey engine)
{
    std::shared_ptr<ChatRequest> youngest;
    for (const auto& request : open_) {
        const bool fits = request->engine() == engine && request->isMovable();
        if (fits && (!youngest || request->startedAt() > youngest->startedAt()))
            youngest = request;
    }
    if (youngest)
        youngest->moveAway();
}

} // namespace goldcrestcleat::requests
