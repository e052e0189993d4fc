#include "goldcrestcleat/forwarding/ForwardRequest.h"

#include <Poco/Net/HTTPResponse.h>

#include <algorithm>

// Admission, placement and sending, and the end of a request. ForwardAnswer.cpp holds what follows a send.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using routing::NO_NODE;
using routing::NodeKey;

namespace {

    // Requests that wait at a server beyond its slots, as a multiple of them; servers queue a few themselves.
    constexpr double ENGINE_QUEUE_FACTOR = 1.5;
    constexpr double SERVICE_QUEUE_FACTOR = 3.0;

    // A server's own answer at its deadline has to arrive before this daemon answers in its place.
    constexpr loop::TimeMs LIMIT_GRACE_MS = 80;

    // Less time than this is not worth a send: it would be cut before it could be answered.
    constexpr loop::TimeMs SHORTEST_SEND_MS = 10;

    constexpr loop::TimeMs RETRY_AFTER_MS = 300;
    constexpr loop::TimeMs NOT_READY_RETRY_AFTER_MS = 500;

} // namespace

ForwardRequest::ForwardRequest(ForwardEnvironment& env, http::Exchange::Ptr exchange)
    : env_(env)
    , exchange_(std::move(exchange))
{
}

void ForwardRequest::start()
{
    const auto self = shared_from_this();
    env_.open.insert(self);
    inbound_ = env_.dialect.decode(*exchange_);
    if (!admit())
        return;
    const std::weak_ptr<ForwardRequest> weak = self;
    exchange_->onCallerGone = [weak] {
        if (const auto request = weak.lock())
            request->onCallerGone();
    };
    exchange_->onDrain = [weak] {
        const auto request = weak.lock();
        if (request && request->attempt_.call)
            request->attempt_.call->setReading(true);
    };
    limitTimer_ = env_.loop.after(remainingMs() + LIMIT_GRACE_MS, [weak] {
        if (const auto request = weak.lock())
            request->onTimeUp();
    });
    place();
}

// ---- private: admission ----

bool ForwardRequest::admit()
{
    routes_ = env_.routes();
    if (!routes_) {
        refuse(ResultCode::NotReady, "", NOT_READY_RETRY_AFTER_MS);
        return false;
    }
    route_ = routes_->find(inbound_.host, inbound_.path);
    if (!route_) {
        refuse(ResultCode::UnknownPath, "", 0);
        return false;
    }
    if (route_->needsKey && routes_->checksKeys()) {
        workspace_ = routes_->holderOf(inbound_.key);
        if (!workspace_) {
            refuse(ResultCode::BadWorkspaceKey, "", 0);
            return false;
        }
    }
    const std::string caller = workspace_ ? workspace_->name : "";
    fingerprint_ = admission::fingerprintOf(caller + "\n" + exchange_->head().getURI(), exchange_->body());
    if (env_.quarantine.isBanned(fingerprint_, env_.loop.now())) {
        refuse(ResultCode::Quarantined, "", 0);
        return false;
    }
    const loop::TimeMs allowedMs = std::min(inbound_.deadlineMs.value_or(route_->timeoutMs), route_->timeoutMs);
    limitAt_ = exchange_->arrivedAt() + allowedMs;
    service_ = routes::chooseService(*route_, std::uniform_real_distribution<double>(0, 1)(env_.random));
    env_.retryBudget.onRequest(service_, env_.loop.now());
    return true;
}

// ---- private: placement ----

void ForwardRequest::place()
{
    if (isEnded_)
        return;
    if (remainingMs() < SHORTEST_SEND_MS) {
        giveUp(ResultCode::DeadlineUnreachable, "no time left for a send");
        return;
    }
    const auto able = candidates();
    if (able.empty()) {
        giveUp(ResultCode::NoUpstream, service_);
        return;
    }
    send(choose(able));
}

std::vector<routing::Candidate> ForwardRequest::candidates() const
{
    std::vector<routing::Candidate> able;
    for (const auto* server : env_.servers.usable(service_, env_.loop.now())) {
        if (std::find(tried_.begin(), tried_.end(), server->key) != tried_.end())
            continue;
        const double queueFactor = server->entry.isEngine ? ENGINE_QUEUE_FACTOR : SERVICE_QUEUE_FACTOR;
        if (server->load() >= queueFactor * server->entry.slots)
            continue;
        const bool isNear = server->entry.dataCentre == env_.settings.self.dataCentre;
        able.push_back({ server->key, server->load(), server->entry.slots, isNear });
    }
    return able;
}

routing::WarmChoice ForwardRequest::choose(const std::vector<routing::Candidate>& able) const
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
std::optional<std::uint64_t> ForwardRequest::subject() const
{
    if (!route_->hasPrompt || inbound_.prompt.empty())
        return std::nullopt;
    const std::size_t shared = inbound_.prompt.size() > 1 ? inbound_.prompt.size() - 2 : 0;
    return routing::chatKey(inbound_.model, inbound_.prompt[shared].id);
}

/// Returns the address of the engine that most likely holds the context, when the chosen one may not.
std::string ForwardRequest::fetchAddress(const routing::WarmChoice& choice) const
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
        const bool isThere = holder && !holder->vanishedAt && holder->avoidUntil <= env_.loop.now();
        if (isThere && key != choice.server)
            return holder->entry.address;
    }
    return "";
}

// ---- private: sending ----

void ForwardRequest::send(const routing::WarmChoice& choice)
{
    const auto* server = env_.servers.find(choice.server);
    const std::string address = server->entry.address;
    attempt_ = Attempt();
    attempt_.serial = ++serial_;
    attempt_.server = choice.server;
    attempt_.sentAt = env_.loop.now();
    if (serial_ == 1)
        env_.metrics.onAddedLatency(static_cast<double>(env_.loop.now() - exchange_->arrivedAt()));
    const auto request = env_.dialect.encode(*exchange_, additionFor(*server, choice));
    tried_.push_back(choice.server);
    env_.servers.open(choice.server);
    if (const auto about = subject())
        env_.contexts.put(*about, choice.server);
    attempt_.call = env_.client.start(address, request, hooksFor(attempt_.serial), reuse());
    lastProgressAt_ = env_.loop.now();
    armProgressTimer();
}

Addition ForwardRequest::additionFor(const upstreams::Server& server, const routing::WarmChoice& choice) const
{
    Addition addition;
    addition.serverId = server.entry.id;
    addition.deadlineMs = remainingMs();
    addition.workspace = workspace_ ? workspace_->name : "";
    addition.priority = workspace_ && workspace_->priority ? workspace_->priority : route_->priority;
    addition.lastEventId = lastForwardedId_ ? lastForwardedId_ : inbound_.lastEventId;
    addition.fetchFrom = fetchAddress(choice);
    return addition;
}

/// A connection that the server may have closed for idleness must not carry what can't be repeated.
http::Client::Reuse ForwardRequest::reuse() const
{
    if (serial_ > 1)
        return http::Client::Reuse::Fresh;
    return route_->mayRepeat() ? http::Client::Reuse::Allowed : http::Client::Reuse::Recent;
}

http::Call::Hooks ForwardRequest::hooksFor(int serial)
{
    const std::weak_ptr<ForwardRequest> weak = weak_from_this();
    // Hooks of an attempt that was given up do nothing.
    const auto current = [weak, serial]() -> std::shared_ptr<ForwardRequest> {
        const auto self = weak.lock();
        return self && !self->isEnded_ && self->attempt_.serial == serial ? self : nullptr;
    };
    http::Call::Hooks hooks;
    hooks.isOwn = [weak](const Poco::Net::HTTPResponse& head) {
        const auto self = weak.lock();
        return self && self->env_.dialect.isAnswerTo(head, self->inbound_.requestId);
    };
    hooks.onHead = [current](const Poco::Net::HTTPResponse& head) {
        if (const auto self = current())
            self->onHead(head);
    };
    hooks.onBody = [current](std::string_view part) {
        if (const auto self = current())
            self->onBody(part);
    };
    hooks.onEnd = [current] {
        if (const auto self = current())
            self->onEnd();
    };
    hooks.onFailure = [current](http::FailurePoint point, const std::string& reason) {
        if (const auto self = current())
            self->onFailure(point, reason);
    };
    return hooks;
}

// ---- private: the end ----

/// Ends a request that got no answer. Says that it has not run only when that is certain.
void ForwardRequest::giveUp(ResultCode code, const std::string& context)
{
    if (isStreaming_) {
        explain("cut", { { "lastEvent", lastForwardedId_.value_or(0) }, { "reason", context } });
        exchange_->abort(); // the caller must not take what it has for the whole
        finish(ResultCode::AnswerIncomplete);
        return;
    }
    if (maybeRan_ == 0) {
        refuse(code, context, RETRY_AFTER_MS);
        return;
    }
    const bool isTimeout = code == ResultCode::UpstreamTimeout;
    refuse(isTimeout ? code : ResultCode::UpstreamFailed, context, 0);
}

void ForwardRequest::refuse(ResultCode code, const std::string& context, loop::TimeMs retryAfterMs)
{
    explain("refused",
        { { "code", static_cast<int>(code) }, { "name", errors::info(code).name }, { "context", context },
            { "maybeRan", maybeRan_ }, { "rejections", rejections_ }, { "unreachable", unreachable_ } });
    env_.dialect.refuse(*exchange_, code, context, retryAfterMs);
    finish(code);
}

void ForwardRequest::closeAttempt()
{
    env_.loop.cancel(progressTimer_);
    progressTimer_ = 0;
    const auto call = std::move(attempt_.call);
    attempt_.call.reset();
    if (attempt_.server != NO_NODE)
        env_.servers.close(attempt_.server);
    attempt_.server = NO_NODE;
    attempt_.serial = 0;
    if (call)
        call->cancel();
}

void ForwardRequest::finish(ResultCode code)
{
    if (isEnded_)
        return;
    isEnded_ = true;
    const auto self = shared_from_this();
    const std::string server = serverId();
    closeAttempt();
    env_.loop.cancel(limitTimer_);
    exchange_->onCallerGone = nullptr;
    exchange_->onDrain = nullptr;
    env_.metrics.onRequest(route_ ? route_->name : "none", static_cast<int>(code));
    if (code == ResultCode::Ok)
        explain("served", { { "server", server }, { "attempts", serial_ }, { "firstMs", firstAnswerMs_ } });
    env_.open.erase(self);
}

void ForwardRequest::onCallerGone()
{
    explain("caller-gone", { { "server", serverId() }, { "attempts", serial_ } });
    finish(ResultCode::CallerGone);
}

loop::TimeMs ForwardRequest::remainingMs() const { return limitAt_ - env_.loop.now(); }

void ForwardRequest::explain(const std::string& event, nlohmann::json fields) const
{
    fields["request"] = inbound_.requestId;
    fields["route"] = route_ ? route_->name : "";
    fields["service"] = service_;
    fields["config"] = routes_ ? routes_->version() : 0;
    fields["ms"] = env_.loop.now() - exchange_->arrivedAt();
    env_.log.decision(event, std::move(fields));
}

std::string ForwardRequest::serverId() const
{
    const auto* server = env_.servers.find(attempt_.server);
    return server ? server->entry.id : "";
}

} // namespace goldcrestcleat::forwarding
