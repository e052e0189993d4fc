#include "goldcrestcleat/requests/ChatPlacement.h"

namespace goldcrestcleat::requests {

using errors::ResultCode;
using forwarding::Placement;
using forwarding::PlacementResult;
using nlohmann::json;
using routing::NO_NODE;
using routing::NodeKey;

namespace {

    constexpr int MAX_DENIALS_WITHOUT_WAIT = 3; // after that, requests are queued
    constexpr loop::TimeMs QUEUE_SLICE_MS = 2'000; // wait for one engine before the loads are compared again
    constexpr loop::TimeMs PLACE_RETRY_MS = 50;

    /// Returns the weight factor in the fair queue; urgent requests get a higher one.
    double priorityFactor(int priority)
    {
        static constexpr double factors[] = { 8.0, 4.0, 2.0, 1.0 };
        return factors[priority];
    }

} // namespace

ChatPlacement::ChatPlacement(Environment& env, const ChatCall& call)
    : env_(env)
    , call_(call)
{
    query_.chat = call_.chat;
    query_.model = call_.model;
    query_.isReturning = call_.isReturning;
    query_.preferredEngine = env_.affinityTokens.verify(call_.chat, call_.affinityToken);
    query_.rememberedEngine = env_.fleet.rememberedEngine(call_.chat);
}

void ChatPlacement::place(const forwarding::Progress& progress, PlacedHook onPlaced)
{
    onPlaced_ = std::move(onPlaced);
    placementDeadline_ = env_.loop.now() + progress.remainingMs;
    if (!progress.tried.empty()) {
        query_.tried = { progress.tried.back() };
        denials_ = 0;
    }
    requestTicket();
}

void ChatPlacement::stop()
{
    onPlaced_ = nullptr;
    if (pendingTicket_ != 0)
        env_.fleet.tickets().release(pendingTicket_);
    pendingTicket_ = 0;
}

void ChatPlacement::findLessLoaded(const Placement& from, PlacedHook onPlaced)
{
    const auto target = env_.view.leastLoaded(call_.model, { from.server }, routing::LEAST_LOADED_SAMPLES, env_.random);
    const auto* current = env_.view.find(from.server);
    const auto* other = env_.view.find(target);
    if (!current || !other || other->load + 1 >= current->load) {
        onPlaced({});
        return;
    }
    fleet::TicketRequest request;
    request.engine = target;
    request.workspace = static_cast<std::uint16_t>(routing::nodeKey(call_.workspace->id));
    const auto self = shared_from_this();
    const auto ticket = std::make_shared<routing::TicketId>(0);
    *ticket = env_.fleet.tickets().acquire(
        request, [self, ticket, target, onPlaced = std::move(onPlaced)](const fleet::TicketResult& result) {
            onPlaced(result.granted ? self->toResult(target, *ticket, false) : PlacementResult());
        });
}

// ---- private ----

void ChatPlacement::requestTicket()
{
    if (!onPlaced_)
        return;
    if (remainingMs() <= 0) {
        finish({ std::nullopt, ResultCode::DeadlineUnreachable, "" });
        return;
    }
    const auto choice = routing::choosePlacement(env_.view, query_, env_.random);
    if (choice.engine == NO_NODE) {
        if (env_.view.eligibleCount(call_.model) == 0)
            finish({ std::nullopt, ResultCode::NoUpstream, call_.model });
        else
            retryLater();
        return;
    }
    isSuspect_ = env_.quarantine.isSuspect(call_.fingerprints, env_.loop.now());
    const auto self = shared_from_this();
    pendingTicket_ = env_.fleet.tickets().acquire(ticketRequestFor(choice),
        [self, choice](const fleet::TicketResult& result) { self->onTicketResult(choice, result); });
}

fleet::TicketRequest ChatPlacement::ticketRequestFor(const routing::PlacementChoice& choice) const
{
    fleet::TicketRequest request;
    request.engine = choice.engine;
    request.workspace = static_cast<std::uint16_t>(routing::nodeKey(call_.workspace->id));
    request.cost = call_.profile.cost;
    request.weight = call_.workspace->weight * priorityFactor(call_.profile.priority);
    request.suspect = isSuspect_;
    if (choice.isWarm) {
        const double waitFactor = 2 * env_.settings.routing.reuseWeight;
        const double waitMs = static_cast<double>(call_.profile.warmWaitMs) * waitFactor;
        request.waitMs = std::min(static_cast<loop::TimeMs>(waitMs), remainingMs());
    } else if (denials_ >= MAX_DENIALS_WITHOUT_WAIT) {
        request.waitMs = std::min(QUEUE_SLICE_MS, remainingMs());
    }
    if (choice.reason == routing::PlacementReason::Hashed && call_.isReturning)
        request.lookupChat = call_.chat;
    return request;
}

void ChatPlacement::onTicketResult(const routing::PlacementChoice& choice, const fleet::TicketResult& result)
{
    const routing::TicketId ticket = pendingTicket_;
    pendingTicket_ = 0;
    if (!onPlaced_) {
        env_.fleet.tickets().release(ticket);
        return;
    }
    const json details = { { "engine", engineId(choice.engine) }, { "reason", routing::toString(choice.reason) },
        { "load", result.load } };
    if (result.granted) {
        explain("placed", details);
        env_.metrics.onPlacement(routing::toString(choice.reason), choice.isWarm);
        finish(toResult(choice.engine, ticket, isSuspect_));
        return;
    }
    explain(result.ownerUnavailable ? "home-silent" : "denied", details);
    if (result.rememberedEngine != NO_NODE) {
        query_.rememberedEngine = result.rememberedEngine;
    } else {
        ++denials_;
        query_.tried.push_back(choice.engine);
    }
    requestTicket();
}

void ChatPlacement::retryLater()
{
    query_.tried.clear();
    query_.preferredEngine = NO_NODE; // the wait for it is over
    query_.rememberedEngine = NO_NODE;
    const auto self = shared_from_this();
    env_.loop.after(PLACE_RETRY_MS, [self] { self->requestTicket(); });
}

void ChatPlacement::finish(const PlacementResult& result)
{
    const auto onPlaced = std::move(onPlaced_);
    onPlaced_ = nullptr;
    onPlaced(result);
}

/// Returns an error if the engine was removed while its ticket was in transit.
PlacementResult ChatPlacement::toResult(NodeKey engine, routing::TicketId ticket, bool isSuspect) const
{
    const auto* upstream = env_.directory.find(engine);
    if (!upstream) {
        env_.fleet.tickets().release(ticket);
        return { std::nullopt, ResultCode::NoUpstream, call_.model };
    }
    Placement placement;
    placement.server = engine;
    placement.serverId = upstream->id;
    placement.address = upstream->address;
    placement.lease = ticket;
    placement.isSuspect = isSuspect;
    return { placement, ResultCode::Ok, "" };
}

std::string ChatPlacement::engineId(NodeKey key) const
{
    const auto* upstream = env_.directory.find(key);
    return upstream ? upstream->id : "";
}

void ChatPlacement::explain(const std::string& step, json details) const
{
    env_.explanations.add(call_.requestId, env_.loop.now(), step, std::move(details));
}

} // namespace goldcrestcleat::requests
