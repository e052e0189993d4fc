#include "goldcrestcleat/routing/AdmissionController.h"

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::routing {

namespace {

    constexpr loop::TimeMs MAX_UNCERTAIN_MS = 30'000; // expiry of uncertain tickets if the engine sends no reports
    constexpr int EXPECTED_DEPARTURES = 3; // requests that may finish on other engines while one is being moved
    constexpr double HOLD_SMOOTHING = 0.1;

} // namespace

AdmissionController::AdmissionController(LoadView& view, const LoadBoundParameters& parameters, DecisionHook onDecision)
    : view_(view)
    , parameters_(parameters)
    , onDecision_(std::move(onDecision))
{
}

void AdmissionController::open(NodeKey engine, loop::TimeMs now, loop::TimeMs settleMs)
{
    if (isOpen(engine))
        return;
    Engine& opened = engines_[engine];
    opened.settledAt = now + settleMs;
    const EngineEntry* entry = view_.find(engine);
    opened.unattributed = opened.uncertainLimit = entry ? entry->load : 0;
}

void AdmissionController::close(NodeKey key)
{
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    Engine engine = std::move(found->second);
    engines_.erase(found);
    while (auto pending = engine.queue.pop())
        deny(key, pending->request);
}

void AdmissionController::submit(const AdmissionRequest& request, loop::TimeMs now)
{
    const auto found = engines_.find(request.engine);
    if (found == engines_.end()) {
        deny(request.engine, request);
        return;
    }
    Engine& engine = found->second;
    if (engine.queue.empty() && canGrant(request.engine, engine, request, now)) {
        grant(request.engine, engine, request, now);
        return;
    }
    // A request that is unlikely to be granted within its wait is denied immediately, so that its holder tries another
    // engine.
    const double releaseIntervalMs = engine.meanHoldMs / std::max(1, countOf(engine));
    const bool exceedsWait
        = releaseIntervalMs * static_cast<double>(engine.queue.size()) > static_cast<double>(request.waitMs);
    if (request.waitMs <= 0 || (exceedsWait && now >= engine.settledAt)) {
        deny(request.engine, request);
        return;
    }
    const loop::TimeMs expiresAt = now + request.waitMs;
    const auto id = engine.queue.push(request.workspace, request.cost, request.weight, { request, expiresAt });
    engine.expiries.emplace(expiresAt, id);
    engine.queuedIds[{ request.holder, request.ticket }] = { expiresAt, id };
    grantQueued(request.engine, engine, now);
}

void AdmissionController::release(NodeKey key, NodeKey holderKey, TicketId ticket, loop::TimeMs now)
{
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    Engine& engine = found->second;
    if (dropQueued(engine, holderKey, ticket))
        return;
    const auto holder = engine.holders.find(holderKey);
    if (holder == engine.holders.end() || holder->second.tickets.erase(ticket) == 0)
        return;
    const auto granted = engine.grantedAt.find({ holderKey, ticket });
    if (granted != engine.grantedAt.end()) {
        const auto heldMs = static_cast<double>(now - granted->second);
        engine.meanHoldMs += HOLD_SMOOTHING * (heldMs - engine.meanHoldMs);
        engine.grantedAt.erase(granted);
    }
    if (holder->second.tickets.empty())
        engine.holders.erase(holder);
    publishLoad(key, engine, now);
    grantQueued(key, engine, now);
}

void AdmissionController::setHeldTickets(
    NodeKey key, NodeKey holderKey, const std::vector<TicketId>& tickets, loop::TimeMs now)
{
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    Holder next;
    for (const TicketId ticket : tickets)
        next.tickets[ticket] = {};
    Engine& engine = found->second;
    if (engine.holders.count(holderKey) == 0)
        engine.unattributed = std::max(0, engine.unattributed - static_cast<int>(tickets.size()));
    if (tickets.empty())
        found->second.holders.erase(holderKey);
    else
        found->second.holders[holderKey] = std::move(next);
    publishLoad(key, found->second, now);
}

void AdmissionController::onHolderDisconnected(NodeKey holderKey, loop::TimeMs now)
{
    for (auto& [key, engine] : engines_) {
        std::vector<TicketId> queued;
        for (const auto& [id, position] : engine.queuedIds) {
            if (id.first == holderKey)
                queued.push_back(id.second);
        }
        for (const TicketId ticket : queued)
            dropQueued(engine, holderKey, ticket);
        const auto holder = engine.holders.find(holderKey);
        if (holder == engine.holders.end() || holder->second.isDisconnected)
            continue;
        holder->second.isDisconnected = true;
        holder->second.disconnectedAt = now;
        engine.uncertainLimit += static_cast<int>(holder->second.tickets.size());
    }
}

void AdmissionController::onReport(NodeKey key, int running, loop::TimeMs now)
{
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    Engine& engine = found->second;
    engine.uncertainLimit = std::min(engine.uncertainLimit, std::max(0, running - confirmedCountOf(engine)));
    publishLoad(key, engine, now);
    grantQueued(key, engine, now);
}

void AdmissionController::tick(loop::TimeMs now)
{
    std::vector<NodeKey> keys;
    for (const auto& [key, engine] : engines_)
        keys.push_back(key);
    for (const NodeKey key : keys) {
        const auto found = engines_.find(key);
        if (found == engines_.end())
            continue;
        expireUncertainTickets(found->second, now);
        denyExpired(key, found->second, now);
        grantQueued(key, found->second, now);
    }
}

int AdmissionController::load(NodeKey engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : countOf(found->second);
}

std::vector<std::pair<NodeKey, NodeKey>> AdmissionController::overloaded() const
{
    std::vector<std::pair<NodeKey, NodeKey>> result;
    for (const auto& [key, engine] : engines_) {
        const EngineEntry* entry = view_.find(key);
        if (!entry || !entry->eligible
            || !isOverBound(view_, *entry, countOf(engine), parameters_, EXPECTED_DEPARTURES))
            continue;
        const auto fewer = [](const auto& a, const auto& b) {
            const auto size = [](const Holder& h) { return h.isDisconnected ? 0 : h.tickets.size(); };
            return size(a.second) < size(b.second);
        };
        const auto most = std::max_element(engine.holders.begin(), engine.holders.end(), fewer);
        if (most != engine.holders.end() && !most->second.isDisconnected)
            result.emplace_back(key, most->first);
    }
    return result;
}

std::size_t AdmissionController::queued() const
{
    std::size_t total = 0;
    for (const auto& [key, engine] : engines_)
        total += engine.queue.size();
    return total;
}

// ---- private ----

bool AdmissionController::canGrant(
    NodeKey key, const Engine& engine, const AdmissionRequest& request, loop::TimeMs now) const
{
    const EngineEntry* entry = view_.find(key);
    if (!entry || now < engine.settledAt)
        return false;
    if (request.suspect && hasSuspect(engine))
        return false;
    return mayAdmit(view_, *entry, countOf(engine), parameters_, now);
}

void AdmissionController::grant(NodeKey key, Engine& engine, const AdmissionRequest& request, loop::TimeMs now)
{
    engine.holders[request.holder].tickets[request.ticket] = { request.suspect };
    engine.grantedAt[{ request.holder, request.ticket }] = now;
    publishLoad(key, engine, now);
    onDecision_({ key, request.holder, request.ticket, true, countOf(engine) });
}

void AdmissionController::deny(NodeKey key, const AdmissionRequest& request)
{
    onDecision_({ key, request.holder, request.ticket, false, load(key) });
}

void AdmissionController::grantQueued(NodeKey key, Engine& engine, loop::TimeMs now)
{
    const EngineEntry* entry = view_.find(key);
    while (!engine.queue.empty() && entry && mayAdmit(view_, *entry, countOf(engine), parameters_, now)) {
        const auto isGrantable = [&](const Pending& pending) { return canGrant(key, engine, pending.request, now); };
        const auto pending = engine.queue.popFirst(isGrantable);
        if (!pending)
            return;
        const auto position = engine.queuedIds.find({ pending->request.holder, pending->request.ticket });
        engine.expiries.erase(position->second);
        engine.queuedIds.erase(position);
        grant(key, engine, pending->request, now);
    }
}

void AdmissionController::denyExpired(NodeKey key, Engine& engine, loop::TimeMs now)
{
    while (!engine.expiries.empty() && engine.expiries.begin()->first <= now) {
        const auto pending = engine.queue.remove(engine.expiries.begin()->second);
        engine.expiries.erase(engine.expiries.begin());
        engine.queuedIds.erase({ pending->request.holder, pending->request.ticket });
        deny(key, pending->request);
    }
}

void AdmissionController::expireUncertainTickets(Engine& engine, loop::TimeMs now)
{
    if (engine.uncertainLimit == 0 || now - engine.settledAt > MAX_UNCERTAIN_MS)
        engine.unattributed = 0;
    for (auto it = engine.holders.begin(); it != engine.holders.end();) {
        const bool expired = it->second.isDisconnected
            && (engine.uncertainLimit == 0 || now - it->second.disconnectedAt > MAX_UNCERTAIN_MS);
        it = expired ? engine.holders.erase(it) : std::next(it);
    }
}

bool AdmissionController::dropQueued(Engine& engine, NodeKey holder, TicketId ticket)
{
    const auto position = engine.queuedIds.find({ holder, ticket });
    if (position == engine.queuedIds.end())
        return false;
    engine.queue.remove(position->second.second);
    engine.expiries.erase(position->second);
    engine.queuedIds.erase(position);
    return true;
}

void AdmissionController::publishLoad(NodeKey key, const Engine& engine, loop::TimeMs now)
{
    assert(engine.queue.size() == engine.queuedIds.size());
    assert(engine.queue.size() == engine.expiries.size());
    view_.setLoad(key, countOf(engine), now);
}

int AdmissionController::confirmedCountOf(const Engine& engine)
{
    std::size_t count = 0;
    for (const auto& [key, holder] : engine.holders)
        count += holder.isDisconnected ? 0 : holder.tickets.size();
    return static_cast<int>(count);
}

int AdmissionController::countOf(const Engine& engine)
{
    int uncertain = engine.unattributed;
    for (const auto& [key, holder] : engine.holders)
        uncertain += holder.isDisconnected ? static_cast<int>(holder.tickets.size()) : 0;
    return confirmedCountOf(engine) + std::min(uncertain, engine.uncertainLimit);
}

bool AdmissionController::hasSuspect(const Engine& engine)
{
    for (const auto& [key, holder] : engine.holders) {
        for (const auto& [id, ticket] : holder.tickets) {
            if (ticket.suspect)
                return true;
        }
    }
    return false;
}

} // namespace goldcrestcleat::routing
