#include "goldcrestcleat/requests/ServiceRequest.h"

#include "goldcrestcleat/observe/Digest.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

namespace goldcrestcleat::requests {

using errors::Executed;
using errors::ResultCode;
using nlohmann::json;

namespace {

    constexpr std::size_t ATTEMPT_ID_BYTES = 12;
    constexpr loop::TimeMs FIRST_LOOK_MS = 50;
    constexpr loop::TimeMs MAX_LOOK_MS = 500;
    constexpr loop::TimeMs MAX_AWAIT_MS = 5'000; // how long a repeat waits for the first call's outcome

} // namespace

ServiceRequest::ServiceRequest(Environment& env, http::Exchange::Ptr exchange, ServiceCall call)
    : env_(env)
    , exchange_(std::move(exchange))
    , call_(std::move(call))
    , arrivedAt_(env.loop.now())
{
}

void ServiceRequest::start()
{
    const auto self = shared_from_this();
    env_.explanations.begin(call_.requestId, call_.workspace->id, "", arrivedAt_);
    env_.retryBudget.onRequest();
    if (!mustNotRepeat()) {
        exchange_->onCallerGone = [self] { self->finish(ResultCode::CallerGone); };
        send();
        return;
    }
    acquireClaim(); // once claimed, the call goes on without its caller, so that a repeat finds the answer
}

// ---- private: claims ----

void ServiceRequest::acquireClaim()
{
    const auto self = shared_from_this();
    env_.claims.acquire(call_.workspace->id, call_.idempotencyKey, contentDigest(),
        [self](const ClaimResult& result) { self->onClaim(result); });
}

void ServiceRequest::onClaim(const ClaimResult& result)
{
    claim_ = result.claim;
    switch (result.state) {
    case ClaimState::Owned:
        explain("claimed");
        ownsClaim_ = true;
        send();
        return;
    case ClaimState::Answered:
        replyStored(result.answer);
        return;
    case ClaimState::Open:
        awaitOther(result.claim);
        return;
    case ClaimState::Abandoned:
        acquireClaim();
        return;
    case ClaimState::OutcomeUnknown:
        refuseUnknown(ResultCode::OutcomeUnknown, "");
        return;
    case ClaimState::KeyReused:
        refuseUnsent(ResultCode::IdempotencyKeyReused, "");
        return;
    case ClaimState::StoreUnavailable:
        refuseUnsent(ResultCode::StoreUnavailable, "nothing was sent; repeat with the same key");
        return;
    }
}

/// Another attempt holds the claim: waits for its outcome, and never sends anything.
void ServiceRequest::awaitOther(const Claim& claim)
{
    const loop::TimeMs patienceMs = std::min(MAX_AWAIT_MS, call_.profile.deadlineMs);
    if (env_.loop.now() - arrivedAt_ > patienceMs) {
        refuseUnknown(ResultCode::ClaimInProgress, "");
        return;
    }
    lookDelayMs_ = std::clamp(lookDelayMs_ * 2, FIRST_LOOK_MS, MAX_LOOK_MS);
    const auto self = shared_from_this();
    env_.loop.after(lookDelayMs_, [self, claim] {
        self->env_.claims.look(claim, [self, claim](const ClaimResult& result) {
            const bool isOpen = result.state == ClaimState::Open || result.state == ClaimState::StoreUnavailable;
            if (isOpen)
                self->awaitOther(claim);
            else
                self->onClaim(result);
        });
    });
}

// ---- private: sending ----

void ServiceRequest::send()
{
    if (isLate()) {
        refuseUnsent(ResultCode::DeadlineUnreachable, "");
        return;
    }
    const auto* server = chooseServer();
    if (!server) {
        refuseUnsent(ResultCode::NoUpstream, call_.service);
        return;
    }
    server_ = server->key;
    tried_.push_back(server_);
    attemptId_ = observe::randomHex(ATTEMPT_ID_BYTES);
    status_ = 0;
    isCrossed_ = false;
    answer_.clear();
    explain("sent", { { "server", server->id }, { "attempt", attemptId_ } });
    http::Request request;
    request.method = call_.method;
    request.target = call_.target;
    request.body = call_.body;
    request.fields = { { "X-Request-Id", attemptId_ }, { "X-Workspace", call_.workspace->id } };
    if (!call_.contentType.empty())
        request.fields.emplace_back("Content-Type", call_.contentType);
    if (mustNotRepeat())
        request.fields.emplace_back("Idempotency-Key", call_.idempotencyKey);

    const auto self = shared_from_this();
    http::Call::Hooks hooks;
    hooks.onHead = [self](const Poco::Net::HTTPResponse& head) { self->onHead(head); };
    hooks.onBody = [self](std::string_view part) { self->answer_.append(part); };
    hooks.onEnd = [self] { self->onEnd(); };
    hooks.onFailure = [self](http::FailurePoint point, const std::string&) { self->onFailure(point); };
    // A call that must not repeat goes out on a new connection: an old one could die under it.
    const auto reuse = mustNotRepeat() ? http::Client::Reuse::Fresh : http::Client::Reuse::Allowed;
    if (tried_.size() == 1)
        env_.metrics.onAddedLatency(static_cast<double>(env_.loop.now() - arrivedAt_));
    outgoing_ = env_.client.start(server->address, request, std::move(hooks), reuse);
    env_.loop.cancel(timer_);
    timer_ = env_.loop.after(env_.settings.timeouts.serviceMs, [self] { self->onTimeout(); });
}

const upstreams::Upstream* ServiceRequest::chooseServer() const
{
    const auto servers = env_.directory.serversOf(call_.service, env_.loop.now());
    const upstreams::Upstream* best = nullptr;
    std::uint64_t bestScore = 0;
    const auto spread = routing::chatKey(call_.workspace->id, call_.requestId);
    for (const auto* server : servers) {
        if (std::find(tried_.begin(), tried_.end(), server->key) != tried_.end())
            continue;
        const auto score = routing::rendezvousScore(spread, server->key);
        if (!best || score > bestScore) {
            best = server;
            bestScore = score;
        }
    }
    return best;
}

// ---- private: the server's answer ----

void ServiceRequest::onHead(const Poco::Net::HTTPResponse& head)
{
    status_ = head.getStatus();
    contentType_ = head.getContentType();
    // Servers that do not echo the id can't be checked; on those a connection serves one call at a time.
    isCrossed_ = head.has("X-Request-Id") && head.get("X-Request-Id") != attemptId_;
}

void ServiceRequest::onEnd()
{
    env_.loop.cancel(timer_);
    outgoing_.reset();
    if (isEnded_)
        return;
    if (isCrossed_) {
        env_.log.warn("crossed-answer", { { "request", call_.requestId }, { "service", call_.service } });
        retryOrRefuse(ResultCode::OutcomeUnknown, "crossed-answer");
        return;
    }
    env_.directory.onContact(server_, "");
    if (ownsClaim_)
        env_.claims.storeAnswer(claim_, { status_, contentType_, answer_ });
    replyWhole();
}

void ServiceRequest::onFailure(http::FailurePoint point)
{
    env_.loop.cancel(timer_);
    outgoing_.reset();
    if (isEnded_)
        return;
    if (point == http::FailurePoint::NotSent) {
        env_.directory.onContactFailed(server_, env_.loop.now());
        explain("connect-failed");
        send(); // no byte went out, so that another server may be tried
        return;
    }
    retryOrRefuse(ResultCode::OutcomeUnknown, "connection lost");
}

void ServiceRequest::onTimeout()
{
    timer_ = 0;
    if (isEnded_ || !outgoing_)
        return;
    const bool wasConnected = outgoing_->isConnected();
    if (const auto* server = env_.directory.find(server_))
        env_.client.dropIdle(server->address);
    outgoing_->cancel();
    if (wasConnected) {
        outgoing_.reset();
        retryOrRefuse(ResultCode::UpstreamTimeout, "no answer in time");
    } else {
        onFailure(http::FailurePoint::NotSent);
    }
}

/// Deals with a call whose outcome at the server is not known.
void ServiceRequest::retryOrRefuse(ResultCode code, const std::string& reason)
{
    wasSent_ = true;
    explain("outcome-unknown", { { "reason", reason } });
    const bool mayRepeat = !mustNotRepeat() && static_cast<int>(tried_.size()) <= call_.profile.retries;
    if (mayRepeat && env_.retryBudget.tryTake()) {
        env_.metrics.onRetry(reason);
        send();
        return;
    }
    if (ownsClaim_)
        env_.claims.storeUnknown(claim_);
    refuseUnknown(mustNotRepeat() ? ResultCode::OutcomeUnknown : code, reason);
}

// ---- private: the end ----

void ServiceRequest::replyStored(const StoredAnswer& answer)
{
    explain("stored-answer");
    exchange_->reply(answer.status,
        { { "Content-Type", answer.contentType }, { "X-Request-Id", call_.requestId },
            { "X-Idempotent-Replay", "true" } },
        answer.body);
    finish(ResultCode::Ok);
}

void ServiceRequest::replyWhole()
{
    exchange_->reply(status_, { { "Content-Type", contentType_ }, { "X-Request-Id", call_.requestId } }, answer_);
    finish(ResultCode::Ok);
}

/// Refuses a call that this attempt has certainly not sent.
void ServiceRequest::refuseUnsent(ResultCode code, const std::string& context)
{
    if (wasSent_) {
        refuseUnknown(code, context);
        return;
    }
    if (ownsClaim_)
        env_.claims.abandon(claim_);
    Refusal refusal { code, context, Executed::No, 0, false };
    refusal.retryAfterSeconds = errors::info(code).httpStatus == 503 ? 1 : 0;
    refusal.earlierAttemptsUnknown = code == ResultCode::StoreUnavailable;
    refuseWith(refusal);
}

void ServiceRequest::refuseUnknown(ResultCode code, const std::string& context)
{
    refuseWith({ code, context, Executed::Unknown, 0, false });
}

void ServiceRequest::refuseWith(const Refusal& refusal)
{
    refuse(*exchange_, refusal, call_.requestId);
    finish(refusal.code);
}

void ServiceRequest::finish(ResultCode code)
{
    if (isEnded_)
        return;
    isEnded_ = true;
    env_.loop.cancel(timer_);
    if (outgoing_)
        outgoing_->cancel();
    outgoing_.reset();
    exchange_->onCallerGone = nullptr;
    explain("finished", { { "code", static_cast<int>(code) } });
    env_.metrics.onRequest("service", static_cast<int>(code));
    env_.openCounts.close("workspace/" + call_.workspace->id);
    env_.openCounts.close("profile/" + call_.workspace->id + "/" + call_.profile.name);
    env_.log.info("service-finished",
        { { "request", call_.requestId }, { "workspace", call_.workspace->id }, { "service", call_.service },
            { "code", static_cast<int>(code) }, { "ms", env_.loop.now() - arrivedAt_ } });
}

std::string ServiceRequest::contentDigest() const
{
    return observe::sha256Hex(call_.method + "\n" + call_.service + "\n" + call_.target + "\n" + call_.body);
}

void ServiceRequest::explain(const std::string& step, json details)
{
    env_.explanations.add(call_.requestId, env_.loop.now(), step, std::move(details));
}

} // namespace goldcrestcleat::requests
