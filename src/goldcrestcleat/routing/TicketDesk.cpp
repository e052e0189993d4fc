#include "goldcrestcleat/routing/TicketDesk.h"

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::routing {

namespace {

    constexpr loop::TimeMs LOST_TICKET_MS = 30'000; // an engine without reports is believed free of them after this
    constexpr int EXPECTED_DEPARTURES = 3; // requests that finish elsewhere while work is being moved
    constexpr double HOLD_SMOOTHING = 0.1;

} // namespace

TicketDesk::TicketDesk(LoadView& view, const LoadBoundRule& rule, VerdictHook onVerdict)
    : view_(view)
    , rule_(rule)
    , onVerdict_(std::move(onVerdict))
{
}

void TicketDesk::open(NodeKey engine, loop::TimeMs now, loop::TimeMs settleMs)
{
    if (isOpen(engine))
        return;
    Engine& opened = engines_[engine];
    opened.settledAt = now + settleMs;
    const EngineEntry* entry = view_.find(engine);
    opened.unattributed = opened.lostCap = entry ? entry->load : 0;
}

void TicketDesk::close(NodeKey key)
{
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    Engine engine = std::move(found->second);
    engines_.erase(found);
    while (auto pending = engine.queue.pop())
        deny(key, pending->ask);
}

void TicketDesk::ask(const TicketAsk& ask, loop::TimeMs now)
{
    const auto found = engines_.find(ask.engine);
    if (found == engines_.end()) {
        deny(ask.engine, ask);
        return;
    }
    Engine& engine = found->second;
    if (engine.queue.empty() && canGrant(ask.engine, engine, ask, now)) {
        grant(ask.engine, engine, ask, now);
        return;
    }
    // An ask that can't be served within its wait is denied at once, so that its holder looks elsewhere.
    const double turnMs = engine.meanHoldMs / std::max(1, countOf(engine));
    const bool hopeless = turnMs * static_cast<double>(engine.queue.size()) > static_cast<double>(ask.waitMs);
    if (ask.waitMs <= 0 || (hopeless && now >= engine.settledAt)) {
        deny(ask.engine, ask);
        return;
    }
    const loop::TimeMs expiresAt = now + ask.waitMs;
    const auto id = engine.queue.push(ask.workspace, ask.cost, ask.weight, { ask, expiresAt });
    engine.expiries.emplace(expiresAt, id);
    engine.queuedIds[{ ask.holder, ask.ticket }] = { expiresAt, id };
    grantQueued(ask.engine, engine, now);
}

void TicketDesk::release(NodeKey key, NodeKey holderKey, TicketId ticket, loop::TimeMs now)
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

void TicketDesk::setHeld(NodeKey key, NodeKey holderKey, const std::vector<TicketId>& tickets, loop::TimeMs now)
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

void TicketDesk::onHolderLost(NodeKey holderKey, loop::TimeMs now)
{
    for (auto& [key, engine] : engines_) {
        std::vector<TicketId> queued;
        for (const auto& [id, place] : engine.queuedIds) {
            if (id.first == holderKey)
                queued.push_back(id.second);
        }
        for (const TicketId ticket : queued)
            dropQueued(engine, holderKey, ticket);
        const auto holder = engine.holders.find(holderKey);
        if (holder == engine.holders.end() || holder->second.lost)
            continue;
        holder->second.lost = true;
        holder->second.lostAt = now;
        engine.lostCap += static_cast<int>(holder->second.tickets.size());
    }
}

void TicketDesk::onReport(NodeKey key, int running, loop::TimeMs now)
{
    const auto found = engines_.find(key);
    if (found == engines_.end())
        return;
    Engine& engine = found->second;
    engine.lostCap = std::min(engine.lostCap, std::max(0, running - sureCountOf(engine)));
    publishLoad(key, engine, now);
    grantQueued(key, engine, now);
}

void TicketDesk::tick(loop::TimeMs now)
{
    std::vector<NodeKey> keys;
    for (const auto& [key, engine] : engines_)
        keys.push_back(key);
    for (const NodeKey key : keys) {
        const auto found = engines_.find(key);
        if (found == engines_.end())
            continue;
        dropLostTickets(found->second, now);
        denyExpired(key, found->second, now);
        grantQueued(key, found->second, now);
    }
}

int TicketDesk::load(NodeKey engine) const
{
    const auto found = engines_.find(engine);
    return found == engines_.end() ? 0 : countOf(found->second);
}

std::vector<std::pair<NodeKey, NodeKey>> TicketDesk::overloaded() const
{
    std::vector<std::pair<NodeKey, NodeKey>> result;
    for (const auto& [key, engine] : engines_) {
        const EngineEntry* entry = view_.find(key);
        if (!entry || !entry->eligible || !isOverBound(view_, *entry, countOf(engine), rule_, EXPECTED_DEPARTURES))
            continue;
        const auto fewer = [](const auto& a, const auto& b) {
            const auto size = [](const Holder& h) { return h.lost ? 0 : h.tickets.size(); };
            return size(a.second) < size(b.second);
        };
        const auto most = std::max_element(engine.holders.begin(), engine.holders.end(), fewer);
        if (most != engine.holders.end() && !most->second.lost)
            result.emplace_back(key, most->first);
    }
    return result;
}

std::size_t TicketDesk::queued() const
{
    std::size_t total = 0;
    for (const auto& [key, engine] : engines_)
        total += engine.queue.size();
    return total;
}

// ---- private ----

bool TicketDesk::canGrant(NodeKey key, const Engine& engine, const TicketAsk& ask, loop::TimeMs now) const
{
    const EngineEntry* entry = view_.find(key);
    if (!entry || now < engine.settledAt)
        return false;
    if (ask.suspect && hasSuspect(engine))
        return false;
    return mayAdmit(view_, *entry, countOf(engine), rule_, now);
}

void TicketDesk::grant(NodeKey key, Engine& engine, const TicketAsk& ask, loop::TimeMs now)
{
    engine.holders[ask.holder].tickets[ask.ticket] = { ask.suspect };
    engine.grantedAt[{ ask.holder, ask.ticket }] = now;
    publishLoad(key, engine, now);
    onVerdict_({ key, ask.holder, ask.ticket, true, countOf(engine) });
}

void TicketDesk::deny(NodeKey key, const TicketAsk& ask)
{
    onVerdict_({ key, ask.holder, ask.ticket, false, load(key) });
}

void TicketDesk::grantQueued(NodeKey key, Engine& engine, loop::TimeMs now)
{
    const EngineEntry* entry = view_.find(key);
    while (!engine.queue.empty() && entry && mayAdmit(view_, *entry, countOf(engine), rule_, now)) {
        const auto fits = [&](const Pending& pending) { return canGrant(key, engine, pending.ask, now); };
        const auto pending = engine.queue.popFirst(fits);
        if (!pending)
            return;
        const auto place = engine.queuedIds.find({ pending->ask.holder, pending->ask.ticket });
        engine.expiries.erase(place->second);
        engine.queuedIds.erase(place);
        grant(key, engine, pending->ask, now);
    }
}

void TicketDesk::denyExpired(NodeKey key, Engine& engine, loop::TimeMs now)
{
    while (!engine.expiries.empty() && engine.expiries.begin()->first <= now) {
        const auto pending = engine.queue.remove(engine.expiries.begin()->second);
        engine.expiries.erase(engine.expiries.begin());
        engine.queuedIds.erase({ pending->ask.holder, pending->ask.ticket });
        deny(key, pending->ask);
    }
}

void TicketDesk::dropLostTickets(Engine& engine, loop::TimeMs now)
{
    if (engine.lostCap == 0 || now - engine.settledAt > LOST_TICKET_MS)
        engine.unattributed = 0;
    for (auto it = engine.holders.begin(); it != engine.holders.end();) {
        const bool expired = it->second.lost && (engine.lostCap == 0 || now - it->second.lostAt > LOST_TICKET_MS);
        it = expired ? engine.holders.erase(it) : std::next(it);
    }
}

bool TicketDesk::dropQueued(Engine& engine, NodeKey holder, TicketId ticket)
{
    const auto place = engine.queuedIds.find({ holder, ticket });
    if (place == engine.queuedIds.end())
        return false;
    engine.queue.remove(place->second.second);
    engine.expiries.erase(place->second);
    engine.queuedIds.erase(place);
    return true;
}

void TicketDesk::publishLoad(NodeKey key, const Engine& engine, loop::TimeMs now)
{
    assert(engine.queue.size() == engine.queuedIds.size());
    assert(engine.queue.size() == engine.expiries.size());
    view_.setLoad(key, countOf(engine), now);
}

int TicketDesk::sureCountOf(const Engine& engine)
{
    std::size_t count = 0;
    for (const auto& [key, holder] : engine.holders)
        count += holder.lost ? 0 : holder.tickets.size();
    return static_cast<int>(count);
}

int TicketDesk::countOf(const Engine& engine)
{
    int uncertain = engine.unattributed;
    for (const auto& [key, holder] : engine.holders)
        uncertain += holder.lost ? static_cast<int>(holder.tickets.size()) : 0;
    return sureCountOf(engine) + std::min(uncertain, engine.lostCap);
}

bool TicketDesk::hasSuspect(const Engine& engine)
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
