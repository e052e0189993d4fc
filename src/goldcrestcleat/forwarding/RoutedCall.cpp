#include "goldcrestcleat/forwarding/RoutedCall.h"

#include "goldcrestcleat/forwarding/InstanceProbe.h"

#include <xxhash.h>

#include <algorithm>

// Admission, wire format and results. RoutedPlacement.cpp chooses the servers.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using routes::CallKind;
using routing::NodeKey;
using upstreams::Outcome;

namespace {

    // Timeouts after which a repeatable request is sent to another server: multiples of the route's target for the
    // first byte and of its longest pause between events, never less than the minimum.
    constexpr loop::TimeMs FIRST_BYTE_TARGET_FACTOR = 3;
    constexpr loop::TimeMs IDLE_PAUSE_FACTOR = 3;
    constexpr loop::TimeMs MIN_TIMEOUT_MS = 250;

    // Inactivity after which a server is probed: the route's latency targets divided by this, so that a retry on
    // another server can still meet them. Never less than the minimum, which exceeds the usual pauses of a busy server.
    constexpr loop::TimeMs SUSPECT_DIVISOR = 2;
    constexpr loop::TimeMs MIN_SUSPECT_MS = 100;

    constexpr int MIN_FAILURE_STATUS = 500; // 5xx: the server failed to process the request

    constexpr loop::TimeMs RETRY_AFTER_MS = 300;
    constexpr loop::TimeMs NOT_READY_RETRY_AFTER_MS = 500;
    constexpr loop::TimeMs STOPPING_RETRY_AFTER_MS = 50; // another daemon takes the request at once

    // Requests to a server that asked for none resume up to this part of the time later, but at most so late.
    constexpr loop::TimeMs BACK_OFF_SPREAD_DIVISOR = 4;
    constexpr loop::TimeMs MAX_BACK_OFF_SPREAD_MS = 500;

    constexpr std::size_t MAX_LOGGED_FINGERPRINTS = 8; // limits the length of a log line

    /// Returns the id of a crash of the server instance that a request was placed on.
    std::uint64_t crashIdOf(const Placement& placement)
    {
        const std::string instance = placement.address + "/" + std::to_string(placement.serverStartedAtMs);
        return XXH3_64bits_withSeed(instance.data(), instance.size(), placement.server);
    }

    std::uint64_t hostOf(const Placement& placement)
    {
        return XXH3_64bits(placement.address.data(), placement.address.size());
    }

    // Callers wait for a part of this time at most; a quarantined request fails again for at least as long.
    constexpr loop::TimeMs QUARANTINED_RETRY_AFTER_MS = 60'000;

} // namespace

RoutedCall::RoutedCall(RoutedEnvironment& env, http::Exchange::Ptr exchange)
    : env_(env)
    , exchange_(std::move(exchange))
    , inbound_(env.dialect.decode(*exchange_))
{
}

void RoutedCall::start(RoutedEnvironment& env, const http::Exchange::Ptr& exchange)
{
    const auto call = std::make_shared<RoutedCall>(env, exchange);
    if (call->admit())
        std::make_shared<ForwardedRequest>(env.requests, exchange, call->plan(), call->hooks())->start();
}

// ---- private: admission ----

bool RoutedCall::admit()
{
    routes_ = env_.routes();
    if (!routes_) {
        refuseUnadmitted(ResultCode::NotReady);
        return false;
    }
    route_ = routes_->find(inbound_.host, inbound_.path);
    if (!route_) {
        refuseUnadmitted(ResultCode::UnknownPath);
        return false;
    }
    if (route_->needsKey && routes_->isKeyCheckEnabled()) {
        workspace_ = routes_->findWorkspace(inbound_.key);
        if (!workspace_) {
            refuseUnadmitted(ResultCode::BadWorkspaceKey);
            return false;
        }
    }
    const loop::TimeMs limitEndsAt = exchange_->arrivedAt() + timeoutMs();
    if (!maySend(env_.requests.stop, env_.requests.loop.now(), limitEndsAt)) {
        refuseUnadmitted(ResultCode::Stopping);
        return false;
    }
    const std::string caller = workspace_ ? workspace_->name : "";
    const auto content = admission::fingerprintOf(caller + "\n" + exchange_->head().getURI(), exchange_->body());
    std::vector<std::string_view> parts;
    for (const auto& part : inbound_.prompt)
        parts.emplace_back(part.id);
    fingerprints_ = admission::fingerprintsOf(content, parts);
    service_ = routes::chooseService(*route_, std::uniform_real_distribution<double>(0, 1)(env_.random));
    serviceEntry_ = routes_->findService(service_);
    env_.retryBudget.onRequest(service_, env_.requests.loop.now());
    return true;
}

Plan RoutedCall::plan() const
{
    Plan plan;
    plan.requestId = inbound_.requestId;
    plan.kind = kindName();
    plan.isStream = route_->kind == CallKind::Stream;
    plan.position = inbound_.lastEventId;
    plan.mayRepeat = route_->mayRepeat();
    plan.attempts = route_->attempts;
    plan.timeoutMs = timeoutMs();
    if (plan.mayRepeat) {
        plan.firstByteTimeoutMs = std::max(FIRST_BYTE_TARGET_FACTOR * route_->goalMs, MIN_TIMEOUT_MS);
        plan.idleTimeoutMs = std::max(IDLE_PAUSE_FACTOR * route_->maxPauseMs, MIN_TIMEOUT_MS);
    } else {
        // A request that must not be repeated is not sent on a connection that the server may have closed as idle.
        plan.firstSendReuse = http::Client::Reuse::RecentOnly;
    }
    plan.firstByteSuspectMs = std::max(route_->goalMs / SUSPECT_DIVISOR, MIN_SUSPECT_MS);
    plan.idleSuspectMs = std::max(route_->maxPauseMs / SUSPECT_DIVISOR, MIN_SUSPECT_MS);
    plan.fingerprints = fingerprints_;
    return plan;
}

loop::TimeMs RoutedCall::timeoutMs() const
{
    return std::min(inbound_.deadlineMs.value_or(route_->timeoutMs), route_->timeoutMs);
}

std::string RoutedCall::kindName() const
{
    if (!route_)
        return "none";
    if (route_->kind == CallKind::Stream)
        return "stream";
    return route_->kind == CallKind::Idempotent ? "idempotent" : "non-idempotent";
}

RequestHooks RoutedCall::hooks()
{
    RequestHooks hooks;
    hooks.keepAlive = shared_from_this();
    hooks.place
        = [this](const Progress& progress, const RequestHooks::PlacedHook& onPlaced) { onPlaced(place(progress)); };
    hooks.release = [this](const Placement& placement) { release(placement); };
    hooks.recordOutcome = [this](const Placement& placement, Outcome outcome) { recordOutcome(placement, outcome); };
    hooks.assessFailure = [this](const Failure& failure, const std::function<void(NextServer)>& onAssessed) {
        onBroken(failure);
        onAssessed(NextServer::Another);
    };
    hooks.confirmRunning = [this](const Placement& placement, std::function<void(bool isRunning)> onDone) {
        confirmRunning(placement, std::move(onDone));
    };
    hooks.onHead = [this](const Placement& placement, const ResponseHead& head) { onHead(placement, head); };
    hooks.recordPace = [this](const Placement& placement, loop::TimeMs durationMs) {
        env_.paces.record(service_, placement.server, static_cast<double>(durationMs), env_.requests.loop.now());
    };
    hooks.suspect = [this](const Placement& placement) { env_.reportUnresponsive(placement.server); };
    hooks.tryTakeRetry = [this] { return env_.retryBudget.tryTake(service_, env_.requests.loop.now()); };
    hooks.encode = [this](const Placement& placement, const Progress& progress) { return encode(placement, progress); };
    hooks.isOwnResponse
        = [this](const Poco::Net::HTTPResponse& head) { return env_.dialect.isResponseTo(head, inbound_.requestId); };
    hooks.isIdentified = env_.dialect.isIdentified;
    hooks.readHead = [this](const Poco::Net::HTTPResponse& response) {
        ResponseHead head = env_.dialect.readHead(response);
        head.isFailure = head.status >= MIN_FAILURE_STATUS;
        return head;
    };
    hooks.readEvent = readEvent;
    hooks.onCompleteResponse = [this](const Placement& placement, const ResponseHead&, const std::string&) {
        onCompleteResponse(placement);
    };
    hooks.refuse = [this](const TerminalError& error) { return refuse(error); };
    hooks.onFinished = [this](const RequestSummary& summary) { onFinished(summary); };
    hooks.explain = [this](const std::string& event, nlohmann::json fields) { explain(event, std::move(fields)); };
    return hooks;
}

// ---- private: wire format ----

http::Request RoutedCall::encode(const Placement& placement, const Progress& progress) const
{
    ForwardingMetadata metadata;
    metadata.serverId = placement.serverId;
    metadata.deadlineMs = progress.remainingMs;
    metadata.workspace = workspace_ ? workspace_->name : "";
    metadata.priority = workspace_ && workspace_->priority ? workspace_->priority : route_->priority;
    metadata.lastEventId = progress.position;
    metadata.fetchFrom = placement.fetchFrom;
    return env_.dialect.encode(*exchange_, metadata);
}

ParsedEvent RoutedCall::readEvent(const StreamEvent& event, std::optional<std::uint64_t> position)
{
    // A stream that is resumed on another server may repeat events that the caller already has.
    if (event.id && position && *event.id <= *position)
        return { ParsedEvent::Kind::Skip, {}, position, true };
    if (hasNoFields(event.bytes))
        return { ParsedEvent::Kind::Forward, event.bytes, position, false };
    const bool isNext = event.id && (!position || *event.id == *position + 1);
    if (!isNext)
        return {};
    return { ParsedEvent::Kind::Forward, event.bytes, event.id, true };
}

// ---- private: results ----

void RoutedCall::onHead(const Placement& placement, const ResponseHead& head)
{
    if (head.isServerLeaving)
        env_.reportLeaving({ placement.server, placement.serverStartedAtMs, placement.address });
    if (head.backOffMs <= 0)
        return;
    // The daemons that a server rejected at the same moment return spread over some time.
    const loop::TimeMs longestDelayMs = std::min(head.backOffMs / BACK_OFF_SPREAD_DIVISOR, MAX_BACK_OFF_SPREAD_MS);
    const loop::TimeMs delayMs = std::uniform_int_distribution<loop::TimeMs>(0, longestDelayMs)(env_.random);
    env_.servers.backOff(placement.server, env_.requests.loop.now() + head.backOffMs + delayMs);
    explain("backed-off", { { "server", placement.serverId }, { "forMs", head.backOffMs + delayMs } });
}

void RoutedCall::recordOutcome(const Placement& placement, Outcome outcome)
{
    env_.servers.recordOutcome(placement.server, outcome, env_.requests.loop.now());
    if (outcome == Outcome::Unreachable)
        env_.reportUnreachable(placement.server);
}

void RoutedCall::onBroken(const Failure& failure)
{
    const NodeKey server = failure.placement.server;
    if (failure.wasClosedWhileIdle)
        env_.requests.client.dropIdle(failure.placement.address);
    else
        env_.servers.recordOutcome(server, Outcome::Broken, env_.requests.loop.now());
    if (failure.kind == FailureKind::Broken)
        env_.reportBroken(server,
            { crashIdOf(failure.placement), hostOf(failure.placement), fingerprints_, failure.stage },
            failure.wasClosedWhileIdle);
}

void RoutedCall::onCompleteResponse(const Placement& placement)
{
    env_.servers.recordOutcome(placement.server, Outcome::Answered, env_.requests.loop.now());
}

void RoutedCall::confirmRunning(const Placement& placement, std::function<void(bool isRunning)> onDone) const
{
    const auto* server = env_.servers.find(placement.server);
    const bool isEngine = server && server->entry.isEngine;
    const ProbedInstance instance { placement.serverId, placement.serverStartedAtMs, isEngine,
        serviceEntry_ ? serviceEntry_->healthPath : "" };
    InstanceProbe::start(env_.requests.loop, env_.requests.client,
        { placement.address, env_.dialect.encodeProbe(instance), !isEngine,
            [&dialect = env_.dialect, instance](const Poco::Net::HTTPResponse& head, const std::string& body) {
                return dialect.isFromInstance(head, body, instance);
            } },
        [onDone = std::move(onDone), isEngine, instance, &servers = env_.servers, key = placement.server](
            ProbeOutcome outcome) {
            const auto* current = servers.find(key);
            const bool wasRestarted = current && instance.startedAtMs > 0
                && current->entry.startedAtMs > instance.startedAtMs; // an older entry may be read again
            onDone(showsRunning(outcome, !isEngine) && !wasRestarted);
        });
}

/// Reports that a request was not executed only if that is certain.
ResultCode RoutedCall::refuse(const TerminalError& error)
{
    if (error.isStreaming) {
        exchange_->abort(); // the caller must not take a truncated response for a complete one
        return ResultCode::AnswerIncomplete;
    }
    ResultCode code = error.code;
    if (error.possibleRuns > 0 && code != ResultCode::UpstreamTimeout)
        code = ResultCode::UpstreamFailed;
    env_.dialect.refuse(*exchange_, code, error.context, retryAfterMs(code));
    return code;
}

/// Returns the time after which a refused caller may retry; 0 where a retry would not help.
loop::TimeMs RoutedCall::retryAfterMs(ResultCode code) const
{
    if (code == ResultCode::NotReady)
        return NOT_READY_RETRY_AFTER_MS;
    if (code == ResultCode::Quarantined)
        return QUARANTINED_RETRY_AFTER_MS;
    if (code == ResultCode::Stopping)
        return STOPPING_RETRY_AFTER_MS;
    if (code != ResultCode::NoUpstream && code != ResultCode::DeadlineUnreachable)
        return 0;
    const loop::TimeMs now = env_.requests.loop.now();
    if (!env_.servers.usable(service_, now).empty())
        return RETRY_AFTER_MS;
    return std::max(RETRY_AFTER_MS, env_.servers.backedOffUntil(service_, now).value_or(now) - now);
}

/// Refuses a request that was not admitted.
void RoutedCall::refuseUnadmitted(ResultCode code)
{
    explain("refused", { { "code", static_cast<int>(code) }, { "name", errors::info(code).name }, { "maybeRan", 0 } });
    refuse({ code, "", 0, false });
    env_.requests.metrics.onRequest(kindName(), static_cast<int>(code));
    if (env_.requests.onFinished)
        env_.requests.onFinished({ kindName(), code, "", 0, 0, 0 });
}

void RoutedCall::onFinished(const RequestSummary& summary) const
{
    if (summary.code == ResultCode::Ok)
        explain("served",
            { { "server", summary.serverId }, { "attempts", summary.attempts }, { "firstMs", summary.timeToHeadMs } });
}

/// Returns the first fingerprints, the content first, as they appear in the lines of the quarantine.
std::vector<std::string> RoutedCall::loggedFingerprints() const
{
    std::vector<std::string> logged;
    for (std::size_t i = 0; i < fingerprints_.size() && i < MAX_LOGGED_FINGERPRINTS; ++i)
        logged.push_back(admission::toHex(fingerprints_[i]));
    return logged;
}

void RoutedCall::explain(const std::string& event, nlohmann::json fields) const
{
    fields["request"] = inbound_.requestId;
    fields["route"] = route_ ? route_->name : "";
    if (event == "broken")
        fields["fingerprints"] = loggedFingerprints();
    fields["service"] = service_;
    fields["config"] = routes_ ? routes_->version() : 0;
    fields["ms"] = env_.requests.loop.now() - exchange_->arrivedAt();
    env_.log.infoRateLimited(event, std::move(fields));
}

} // namespace goldcrestcleat::forwarding
