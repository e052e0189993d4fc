#include "goldcrestcleat/requests/ChatRequest.h"

namespace goldcrestcleat::requests {

using errors::Executed;
using errors::ResultCode;
using nlohmann::json;
using routing::NO_NODE;
using routing::NodeKey;

namespace {

    constexpr int MAX_SPILLS_WITHOUT_WAIT = 3; // then the request queues
    constexpr loop::TimeMs QUEUE_SLICE_MS = 2'000; // wait at one engine before the loads are looked at again
    constexpr loop::TimeMs PLACE_RETRY_MS = 50;
    constexpr loop::TimeMs FRAMING_MS = 1'000; // for the last bytes of an answer whose events are whole

    /// Urgent work weighs more in the fair queue.
    double priorityFactor(int priority)
    {
        static constexpr double factors[] = { 8.0, 4.0, 2.0, 1.0 };
        return factors[priority];
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
        env_.loop.after(FRAMING_MS, [call] {});
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
