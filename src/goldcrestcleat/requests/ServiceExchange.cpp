#include "goldcrestcleat/requests/ServiceExchange.h"

#include "goldcrestcleat/observe/Digest.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

namespace goldcrestcleat::requests {

using errors::Executed;
using errors::ResultCode;
using forwarding::PlacementResult;
using nlohmann::json;
using upstreams::Outcome;

namespace {

    constexpr std::size_t ATTEMPT_ID_BYTES = 12;
    constexpr loop::TimeMs INITIAL_POLL_MS = 50;
    constexpr loop::TimeMs MAX_POLL_MS = 500;
    constexpr loop::TimeMs MAX_AWAIT_MS = 5'000; // how long a repeated call waits for the outcome of the first one
    constexpr const char* ID_FIELD = "X-Request-Id";

} // namespace

ServiceExchange::ServiceExchange(Environment& env, http::Exchange::Ptr exchange, ServiceCall call)
    : env_(env)
    , exchange_(std::move(exchange))
    , call_(std::move(call))
{
}

void ServiceExchange::start(Environment& env, const http::Exchange::Ptr& exchange, ServiceCall call)
{
    env.explanations.begin(call.requestId, call.workspace->id, "", env.loop.now());
    env.retryBudget.onRequest();
    const auto service = std::make_shared<ServiceExchange>(env, exchange, std::move(call));
    std::make_shared<forwarding::ForwardedRequest>(env.forwarding, exchange, service->plan(), service->hooks())
        ->start();
}

// ---- private ----

forwarding::Plan ServiceExchange::plan() const
{
    forwarding::Plan plan;
    plan.requestId = call_.requestId;
    plan.kind = "service";
    plan.mayRepeat = !call_.mustNotRepeat();
    plan.continuesWithoutCaller = call_.mustNotRepeat();
    plan.attempts = 1 + call_.profile.retries;
    plan.timeoutMs = call_.profile.deadlineMs;
    plan.timeoutCoversResponse = false;
    plan.firstByteTimeoutMs = env_.settings.timeouts.serviceMs;
    plan.idleTimeoutMs = env_.settings.timeouts.serviceMs;
    plan.firstByteTimeoutCoversBody = true;
    plan.failsWhenUnresponsive = true;
    // A call that must not be repeated is sent on a new connection, since an idle one might be closed while it is sent.
    plan.firstSendReuse = call_.mustNotRepeat() ? http::Client::Reuse::Never : http::Client::Reuse::Allowed;
    return plan;
}

forwarding::RequestHooks ServiceExchange::hooks()
{
    forwarding::RequestHooks hooks;
    hooks.keepAlive = shared_from_this();
    if (call_.mustNotRepeat())
        hooks.prepare = [this](const PreparedHook& onOpened) { acquireClaim(onOpened); };
    hooks.place = [this](const forwarding::Progress& progress, const forwarding::RequestHooks::PlacedHook& onPlaced) {
        onPlaced(place(progress));
    };
    hooks.release = [](const forwarding::Placement&) {}; // plain services have no load accounting
    hooks.recordOutcome
        = [this](const forwarding::Placement& placement, Outcome outcome) { recordOutcome(placement, outcome); };
    hooks.assessFailure
        = [this](const forwarding::Failure& failure, const std::function<void(forwarding::NextServer)>& onAssessed) {
              if (failure.kind == forwarding::FailureKind::Unresponsive)
                  env_.client.dropIdle(failure.placement.address);
              onAssessed(forwarding::NextServer::Another);
          };
    // Answers of services do not state their run, and the directory may know only an earlier one.
    hooks.confirmRunning = [this](const forwarding::Placement& placement, std::function<void(bool)> onDone) {
        env_.prober.confirmRunning(placement.server, /*runId*/ "", std::move(onDone));
    };
    hooks.tryTakeRetry = [this] { return env_.retryBudget.tryTake(); };
    hooks.encode
        = [this](const forwarding::Placement& placement, const forwarding::Progress&) { return encode(placement); };
    hooks.isOwnResponse = [](const Poco::Net::HTTPResponse&) { return true; };
    hooks.readHead = [this](const Poco::Net::HTTPResponse& response) { return readHead(response); };
    hooks.readEvent
        = [](const forwarding::StreamEvent&, std::optional<std::uint64_t>) { return forwarding::ParsedEvent(); };
    hooks.onCompleteResponse = [this](const forwarding::Placement& placement, const forwarding::ResponseHead& head,
                                   const std::string& body) { onAnswered(placement, head, body); };
    hooks.refuse = [this](const forwarding::TerminalError& error) { return refuse(error); };
    hooks.onFinished = [this](const forwarding::RequestSummary& summary) { onFinished(summary); };
    hooks.explain = [this](const std::string& step, json details) { explain(step, std::move(details)); };
    return hooks;
}

// ---- private: claims ----

void ServiceExchange::acquireClaim(const PreparedHook& onOpened)
{
    const auto self = shared_from_this();
    env_.claims.acquire(call_.workspace->id, call_.idempotencyKey, contentDigest(),
        [self, onOpened](const ClaimResult& result) { self->onClaim(result, onOpened); });
}

void ServiceExchange::onClaim(const ClaimResult& result, const PreparedHook& onOpened)
{
    claim_ = result.claim;
    switch (result.state) {
    case ClaimState::Owned:
        explain("claimed");
        ownsClaim_ = true;
        onOpened(std::nullopt);
        return;
    case ClaimState::Answered:
        onOpened(replyStoredAnswer(result.answer));
        return;
    case ClaimState::Open:
        awaitOutcome(result.claim, onOpened);
        return;
    case ClaimState::Abandoned:
        acquireClaim(onOpened);
        return;
    case ClaimState::OutcomeUnknown:
        onOpened(refuseUnknownOutcome(ResultCode::OutcomeUnknown, ""));
        return;
    case ClaimState::KeyReused:
        onOpened(refuseNotSent(ResultCode::IdempotencyKeyReused, ""));
        return;
    case ClaimState::StoreUnavailable:
        onOpened(refuseNotSent(ResultCode::StoreUnavailable, "nothing was sent; repeat with the same key"));
        return;
    }
}

/// Waits for the outcome of another attempt that holds the claim; does not send the call meanwhile.
void ServiceExchange::awaitOutcome(const Claim& claim, const PreparedHook& onOpened)
{
    const loop::TimeMs maxWaitMs = std::min(MAX_AWAIT_MS, call_.profile.deadlineMs);
    if (env_.loop.now() - exchange_->arrivedAt() > maxWaitMs) {
        onOpened(refuseUnknownOutcome(ResultCode::ClaimInProgress, ""));
        return;
    }
    pollDelayMs_ = std::clamp(pollDelayMs_ * 2, INITIAL_POLL_MS, MAX_POLL_MS);
    const auto self = shared_from_this();
    env_.loop.after(pollDelayMs_, [self, claim, onOpened] {
        self->env_.claims.readState(claim, [self, claim, onOpened](const ClaimResult& result) {
            const bool isPending = result.state == ClaimState::Open || result.state == ClaimState::StoreUnavailable;
            if (isPending)
                self->awaitOutcome(claim, onOpened);
            else
                self->onClaim(result, onOpened);
        });
    });
}

ResultCode ServiceExchange::replyStoredAnswer(const StoredAnswer& answer)
{
    explain("stored-answer");
    exchange_->reply(answer.status,
        { { "Content-Type", answer.contentType }, { ID_FIELD, call_.requestId }, { "X-Idempotent-Replay", "true" } },
        answer.body);
    return ResultCode::Ok;
}

// ---- private: servers, requests to them and their answers ----

PlacementResult ServiceExchange::place(const forwarding::Progress& progress) const
{
    const upstreams::Upstream* best = nullptr;
    std::uint64_t bestScore = 0;
    const auto salt = routing::chatKey(call_.workspace->id, call_.requestId);
    for (const auto* server : env_.directory.serversOf(call_.service, env_.loop.now())) {
        if (std::find(progress.tried.begin(), progress.tried.end(), server->key) != progress.tried.end())
            continue;
        const auto score = routing::rendezvousScore(salt, server->key);
        if (!best || score > bestScore) {
            best = server;
            bestScore = score;
        }
    }
    if (!best)
        return { std::nullopt, ResultCode::NoUpstream, call_.service };
    forwarding::Placement placement;
    placement.server = best->key;
    placement.serverId = best->id;
    placement.address = best->address;
    return { placement, ResultCode::Ok, "" };
}

http::Request ServiceExchange::encode(const forwarding::Placement& placement)
{
    attemptId_ = observe::randomHex(ATTEMPT_ID_BYTES);
    explain("sent", { { "server", placement.serverId }, { "attempt", attemptId_ } });
    http::Request request;
    request.method = call_.method;
    request.target = call_.target;
    request.body = call_.body;
    request.fields = { { ID_FIELD, attemptId_ }, { "X-Workspace", call_.workspace->id } };
    if (!call_.contentType.empty())
        request.fields.emplace_back("Content-Type", call_.contentType);
    if (call_.mustNotRepeat())
        request.fields.emplace_back("Idempotency-Key", call_.idempotencyKey);
    return request;
}

forwarding::ResponseHead ServiceExchange::readHead(const Poco::Net::HTTPResponse& response) const
{
    forwarding::ResponseHead head;
    head.status = response.getStatus();
    // Servers that do not echo the id cannot be checked; their connections carry one call at a time.
    head.isForOtherRequest = response.has(ID_FIELD) && response.get(ID_FIELD) != attemptId_;
    if (head.isForOtherRequest)
        env_.log.warn("crossed-answer", { { "request", call_.requestId }, { "service", call_.service } });
    head.isAuthentic = !head.isForOtherRequest;
    head.fields = { { "Content-Type", response.getContentType() }, { ID_FIELD, call_.requestId } };
    return head;
}

void ServiceExchange::recordOutcome(const forwarding::Placement& placement, Outcome outcome)
{
    if (outcome == Outcome::Unreachable)
        env_.directory.onConnectFailed(placement.server, env_.loop.now());
}

void ServiceExchange::onAnswered(
    const forwarding::Placement& placement, const forwarding::ResponseHead& head, const std::string& body)
{
    env_.directory.onConnected(placement.server, "");
    if (ownsClaim_)
        env_.claims.storeAnswer(claim_, { head.status, head.fields.front().second, body });
}

// ---- private: end of the request ----

ResultCode ServiceExchange::refuse(const forwarding::TerminalError& error)
{
    if (error.possibleRuns == 0)
        return refuseNotSent(error.code, error.context);
    if (ownsClaim_)
        env_.claims.storeUnknownOutcome(claim_);
    const bool isTimeout = error.code == ResultCode::UpstreamTimeout && !call_.mustNotRepeat();
    return refuseUnknownOutcome(isTimeout ? error.code : ResultCode::OutcomeUnknown, error.context);
}

/// Refuses a call that this attempt has definitely not sent.
ResultCode ServiceExchange::refuseNotSent(ResultCode code, const std::string& context)
{
    if (ownsClaim_)
        env_.claims.abandon(claim_);
    ErrorResponse response { code, context, Executed::No, 0, false };
    response.retryAfterSeconds = errors::info(code).httpStatus == 503 ? 1 : 0;
    response.earlierAttemptsUnknown = code == ResultCode::StoreUnavailable;
    requests::refuse(*exchange_, response, call_.requestId);
    return code;
}

ResultCode ServiceExchange::refuseUnknownOutcome(ResultCode code, const std::string& context)
{
    requests::refuse(*exchange_, { code, context, Executed::Unknown, 0, false }, call_.requestId);
    return code;
}

void ServiceExchange::onFinished(const forwarding::RequestSummary& summary)
{
    const int code = static_cast<int>(summary.code);
    explain("finished", { { "code", code } });
    env_.openCounts.close("workspace/" + call_.workspace->id);
    env_.openCounts.close("profile/" + call_.workspace->id + "/" + call_.profile.name);
    env_.log.info("service-finished",
        { { "request", call_.requestId }, { "workspace", call_.workspace->id }, { "service", call_.service },
            { "code", code }, { "ms", env_.loop.now() - exchange_->arrivedAt() } });
}

std::string ServiceExchange::contentDigest() const
{
    return observe::sha256Hex(call_.method + "\n" + call_.service + "\n" + call_.target + "\n" + call_.body);
}

void ServiceExchange::explain(const std::string& step, json details) const
{
    env_.explanations.add(call_.requestId, env_.loop.now(), step, std::move(details));
}

} // namespace goldcrestcleat::requests
