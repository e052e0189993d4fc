#include "goldcrestcleat/forwarding/RoutedCall.h"

#include <xxhash.h>

#include <algorithm>

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using routes::CallKind;
using routing::NO_NODE;
using routing::NodeKey;
using upstreams::Outcome;

namespace {

    // Requests that a server may have, as a multiple of its slots. A stream holds its slot for about a second, so that
    // few that wait for one are on time; calls of other services last milliseconds, and servers queue a few themselves.
    constexpr double ENGINE_QUEUE_FACTOR = 1.2;
    constexpr double SERVICE_QUEUE_FACTOR = 3.0;

    // Silence after which a repeatable request is given to another server: multiples of the route's goal for the first
    // byte and of its longest pause for the next event, never less than the shortest time.
    constexpr loop::TimeMs FIRST_ANSWER_GOALS = 3;
    constexpr loop::TimeMs NEXT_EVENT_PAUSES = 3;
    constexpr loop::TimeMs SHORTEST_ALLOWANCE_MS = 250;

    // Silence after which a server is looked after: this part of the time within which an answer earns its full credit,
    // so that some of it is left for another server. Never less than a busy server's usual pauses.
    constexpr loop::TimeMs SUSPECT_DIVISOR = 2;
    constexpr loop::TimeMs SHORTEST_SUSPICION_MS = 100;

    constexpr int FIRST_FAILURE_STATUS = 500; // servers answer so when they failed

    constexpr loop::TimeMs RETRY_AFTER_MS = 300;
    constexpr loop::TimeMs NOT_READY_RETRY_AFTER_MS = 500;

    std::uint64_t crashIdOf(NodeKey server, const std::string& requestId)
    {
        return XXH3_64bits_withSeed(requestId.data(), requestId.size(), server);
    }

    /// Time after which a caller that is refused may come back; 0 where that would not help.
    loop::TimeMs retryAfterMs(ResultCode code)
    {
        if (code == ResultCode::NotReady)
            return NOT_READY_RETRY_AFTER_MS;
        const bool mayHelp = code == ResultCode::NoUpstream || code == ResultCode::DeadlineUnreachable;
        return mayHelp ? RETRY_AFTER_MS : 0;
    }

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
        std::make_shared<ForwardRequest>(env.requests, exchange, call->plan(), call->hooks())->start();
}

// ---- private: admission ----

bool RoutedCall::admit()
{
    routes_ = env_.routes();
    if (!routes_) {
        refuseAtOnce(ResultCode::NotReady);
        return false;
    }
    route_ = routes_->find(inbound_.host, inbound_.path);
    if (!route_) {
        refuseAtOnce(ResultCode::UnknownPath);
        return false;
    }
    if (route_->needsKey && routes_->isKeyCheckEnabled()) {
        workspace_ = routes_->findWorkspace(inbound_.key);
        if (!workspace_) {
            refuseAtOnce(ResultCode::BadWorkspaceKey);
            return false;
        }
    }
    const std::string caller = workspace_ ? workspace_->name : "";
    fingerprint_ = admission::fingerprintOf(caller + "\n" + exchange_->head().getURI(), exchange_->body());
    service_ = routes::chooseService(*route_, std::uniform_real_distribution<double>(0, 1)(env_.random));
    env_.retryBudget.onRequest(service_, env_.requests.loop.now());
    return true;
}

Plan RoutedCall::plan() const
{
    Plan plan;
    plan.requestId = inbound_.requestId;
    plan.kind = kindName();
    plan.isStream = route_->kind == CallKind::Stream;
    plan.mayRepeat = route_->mayRepeat();
    plan.attempts = route_->attempts;
    plan.limitMs = std::min(inbound_.deadlineMs.value_or(route_->timeoutMs), route_->timeoutMs);
    if (plan.mayRepeat) {
        plan.firstAnswerMs = std::max(FIRST_ANSWER_GOALS * route_->goalMs, SHORTEST_ALLOWANCE_MS);
        plan.pauseMs = std::max(NEXT_EVENT_PAUSES * route_->maxPauseMs, SHORTEST_ALLOWANCE_MS);
    } else {
        // A connection that the server may have closed for idleness must not carry what can't be repeated.
        plan.firstReuse = http::Client::Reuse::RecentOnly;
    }
    plan.suspectAfterMs = std::max(route_->goalMs / SUSPECT_DIVISOR, SHORTEST_SUSPICION_MS);
    plan.suspectPauseMs = std::max(route_->maxPauseMs / SUSPECT_DIVISOR, SHORTEST_SUSPICION_MS);
    plan.fingerprint = fingerprint_;
    return plan;
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
    hooks.owner = shared_from_this();
    hooks.place
        = [this](const Progress& progress, const RequestHooks::PlacedHook& onPlaced) { onPlaced(place(progress)); };
    hooks.release = [this](const Placement& placement) { env_.servers.close(placement.server); };
    hooks.record = [this](const Placement& placement, Outcome outcome) { record(placement, outcome); };
    hooks.judge = [this](const Failure& failure, const std::function<void(NextServer)>& onJudged) {
        onBroken(failure);
        onJudged(NextServer::Another);
    };
    hooks.suspect = [this](const Placement& placement) { env_.reportSilent(placement.server); };
    hooks.tryRetry = [this] { return env_.retryBudget.tryTake(service_, env_.requests.loop.now()); };
    hooks.encode = [this](const Placement& placement, const Progress& progress) { return encode(placement, progress); };
    hooks.isOwn
        = [this](const Poco::Net::HTTPResponse& head) { return env_.dialect.isAnswerTo(head, inbound_.requestId); };
    hooks.readHead = [this](const Poco::Net::HTTPResponse& response) {
        AnswerHead head = env_.dialect.readHead(response);
        head.isFailure = head.status >= FIRST_FAILURE_STATUS;
        return head;
    };
    hooks.readEvent = readEvent;
    hooks.answered
        = [this](const Placement& placement, const AnswerHead&, const std::string&) { onAnswered(placement); };
    hooks.refuse = [this](const Ending& ending) { return refuse(ending); };
    hooks.finished = [this](const Summary& summary) { onFinished(summary); };
    hooks.explain = [this](const std::string& event, nlohmann::json fields) { explain(event, std::move(fields)); };
    return hooks;
}

// ---- private: placement ----

PlacementResult RoutedCall::place(const Progress& progress)
{
    const auto able = candidates(progress.tried);
    if (able.empty())
        return { std::nullopt, ResultCode::NoUpstream, service_ };
    const routing::WarmChoice choice = choose(able);
    const auto* server = env_.servers.find(choice.server);
    Placement placement;
    placement.server = choice.server;
    placement.serverId = server->entry.id;
    placement.address = server->entry.address;
    placement.fetchFrom = fetchAddress(choice);
    env_.servers.open(choice.server);
    if (const auto about = subject()) {
        countSharedTokens(placement, env_.contexts.find(*about) == choice.server || choice.isFirstChoice);
        env_.contexts.put(*about, choice.server);
    }
    return { placement, ResultCode::Ok, "" };
}

std::vector<routing::Candidate> RoutedCall::candidates(const std::vector<NodeKey>& tried) const
{
    std::vector<routing::Candidate> able;
    for (const auto* server : env_.servers.usable(service_, env_.requests.loop.now())) {
        if (std::find(tried.begin(), tried.end(), server->key) != tried.end())
            continue;
        const double queueFactor = server->entry.isEngine ? ENGINE_QUEUE_FACTOR : SERVICE_QUEUE_FACTOR;
        if (server->load() >= queueFactor * server->entry.slots)
            continue;
        const bool isInSameDataCentre = server->entry.dataCentre == env_.settings.self.dataCentre;
        able.push_back({ server->key, server->load(), server->entry.slots, isInSameDataCentre });
    }
    return able;
}

routing::WarmChoice RoutedCall::choose(const std::vector<routing::Candidate>& able) const
{
    const auto about = subject();
    if (about) {
        // Half of the allowance beyond the mean is left to what the other daemons place meanwhile.
        const routing::WarmBound bound { 1 + (env_.settings.bounds.loadFactor - 1) / 2, routing::WarmBound().slack };
        return routing::chooseWarm(able, *about, bound);
    }
    routing::WarmChoice choice;
    choice.server = routing::chooseLeastLoaded(able, env_.random());
    return choice;
}

/// Returns the hash of what the request is about: the last part of its prompt that it shares with others.
std::optional<std::uint64_t> RoutedCall::subject() const
{
    if (!route_->hasPrompt || inbound_.prompt.empty())
        return std::nullopt;
    const std::size_t shared = inbound_.prompt.size() > 1 ? inbound_.prompt.size() - 2 : 0;
    return routing::chatKey(inbound_.model, inbound_.prompt[shared].id);
}

/// Returns the address of the engine that most likely holds the context, when the chosen one may not.
std::string RoutedCall::fetchAddress(const routing::WarmChoice& choice) const
{
    const auto about = subject();
    if (!about)
        return "";
    const NodeKey last = env_.contexts.find(*about);
    if (last == choice.server)
        return "";
    // A holder that has ended would keep the engine waiting.
    for (const NodeKey key : { last, choice.fetchFrom }) {
        const auto* holder = env_.servers.find(key);
        const bool isThere = holder && !holder->vanishedAt && !holder->isAvoided(env_.requests.loop.now());
        if (isThere && key != choice.server)
            return holder->entry.address;
    }
    return "";
}

void RoutedCall::countSharedTokens(const Placement& placement, bool isWarm) const
{
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < inbound_.prompt.size(); ++i)
        tokens += static_cast<double>(inbound_.prompt[i].tokens);
    const char* context = isWarm ? "warm" : placement.fetchFrom.empty() ? "cold" : "fetched";
    env_.requests.metrics.onSharedTokens(context, tokens);
}

// ---- private: wire ----

http::Request RoutedCall::encode(const Placement& placement, const Progress& progress) const
{
    Addition addition;
    addition.serverId = placement.serverId;
    addition.deadlineMs = progress.remainingMs;
    addition.workspace = workspace_ ? workspace_->name : "";
    addition.priority = workspace_ && workspace_->priority ? workspace_->priority : route_->priority;
    addition.lastEventId = progress.position ? progress.position : inbound_.lastEventId;
    addition.fetchFrom = placement.fetchFrom;
    return env_.dialect.encode(*exchange_, addition);
}

EventReading RoutedCall::readEvent(const StreamEvent& event, std::optional<std::uint64_t> position)
{
    // A run that goes on elsewhere may repeat events that the caller has.
    if (event.id && position && *event.id <= *position)
        return { EventReading::Kind::Skip, {}, position, false };
    const bool follows = event.id && (!position || *event.id == *position + 1);
    if (!follows)
        return {};
    return { EventReading::Kind::Forward, event.bytes, event.id, true };
}

// ---- private: what became of it ----

void RoutedCall::record(const Placement& placement, Outcome outcome)
{
    env_.servers.record(placement.server, outcome, env_.requests.loop.now());
    if (outcome == Outcome::Unreachable)
        env_.reportUnreachable(placement.server);
}

void RoutedCall::onBroken(const Failure& failure)
{
    const NodeKey server = failure.placement.server;
    if (failure.wasClosedWhileIdle) {
        env_.requests.client.dropIdle(failure.placement.address);
        return;
    }
    env_.servers.record(server, Outcome::Broken, env_.requests.loop.now());
    env_.reportBroken(server, fingerprint_, crashIdOf(server, inbound_.requestId));
}

void RoutedCall::onAnswered(const Placement& placement)
{
    env_.servers.record(placement.server, Outcome::Answered, env_.requests.loop.now());
    env_.forgive(fingerprint_);
}

/// Says that a request has not run only when that is certain.
ResultCode RoutedCall::refuse(const Ending& ending)
{
    if (ending.isStreaming) {
        exchange_->abort(); // the caller must not take what it has for the whole
        return ResultCode::AnswerIncomplete;
    }
    ResultCode code = ending.code;
    if (ending.maybeRan > 0 && code != ResultCode::UpstreamTimeout)
        code = ResultCode::UpstreamFailed;
    env_.dialect.refuse(*exchange_, code, ending.context, retryAfterMs(code));
    return code;
}

/// Refuses a request that was not admitted.
void RoutedCall::refuseAtOnce(ResultCode code)
{
    explain("refused", { { "code", static_cast<int>(code) }, { "name", errors::info(code).name }, { "maybeRan", 0 } });
    refuse({ code, "", 0, false });
    env_.requests.metrics.onRequest(kindName(), static_cast<int>(code));
    if (env_.requests.onFinished)
        env_.requests.onFinished({ kindName(), code, "", 0, 0, 0 });
}

void RoutedCall::onFinished(const Summary& summary) const
{
    if (summary.code == ResultCode::Ok)
        explain("served",
            { { "server", summary.serverId }, { "attempts", summary.attempts }, { "firstMs", summary.firstAnswerMs } });
}

void RoutedCall::explain(const std::string& event, nlohmann::json fields) const
{
    fields["request"] = inbound_.requestId;
    fields["route"] = route_ ? route_->name : "";
    fields["service"] = service_;
    fields["config"] = routes_ ? routes_->version() : 0;
    fields["ms"] = env_.requests.loop.now() - exchange_->arrivedAt();
    env_.log.infoRateLimited(event, std::move(fields));
}

} // namespace goldcrestcleat::forwarding
