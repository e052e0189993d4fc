#include "goldcrestcleat/requests/ChatRequest.h"
#include "goldcrestcleat/store/TableClient.h"

#include <xxhash.h>

// The part of ChatRequest that finds out what became of a failed attempt and makes further ones.

namespace goldcrestcleat::requests {

using errors::ResultCode;
using nlohmann::json;
using routing::NodeKey;

namespace {

    constexpr loop::TimeMs CANCEL_TIMEOUT_MS = 1'000;

    std::uint64_t crashIdOf(NodeKey engine, const std::string& run)
    {
        return XXH3_64bits_withSeed(run.data(), run.size(), engine);
    }

} // namespace

// ---- private: what became of an attempt ----

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
    store::callOnce(env_.loop, env_.client, upstream->address, request, CANCEL_TIMEOUT_MS, http::Client::Reuse::Fresh,
        [](http::FailurePoint, int, const std::string&) {});
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
} // namespace goldcrestcleat::requests
