#include "goldcrestcleat/fleet/TicketManager.h"

namespace goldcrestcleat::fleet {

using routing::NO_NODE;
using routing::NodeKey;
using routing::TicketId;

namespace {

    constexpr loop::TimeMs OWNER_REPLY_MS = 200; // added to the wait that the request allows
    constexpr loop::TimeMs HOLDER_REPORT_MS = 300; // a new owner waits this long for holders to report
    constexpr loop::TimeMs MOVE_PERIOD_MS = 100; // per engine, which sheds one request at a time

} // namespace

TicketManager::TicketManager(loop::EventLoop& loop, NodeKey self, PeerLinks& links, const Ownership& ownership,
    routing::LoadView& view, routing::ChatAffinityCache& memory, const routing::LoadBoundParameters& rule)
    : loop_(loop)
    , self_(self)
    , links_(links)
    , ownership_(ownership)
    , view_(view)
    , memory_(memory)
    , admission_(view, rule, [this](const routing::AdmissionDecision& decision) { onDecision(decision); })
{
}

TicketId TicketManager::acquire(const TicketRequest& request, ResultHook onResult)
{
    const TicketId ticket = nextTicket_++;
    OpenTicket& entry = tickets_[ticket];
    entry.request = request;
    entry.onResult = std::move(onResult);
    entry.owner = ownership_.ownerOf(request.engine);
    if (entry.owner != self_) {
        requestFromOwner(ticket, entry);
        return ticket;
    }
    // The admission controller may decide synchronously, so the request is deferred until this call has returned.
    loop_.after(0, [this, ticket] {
        const auto found = tickets_.find(ticket);
        if (found == tickets_.end() || found->second.owner != self_)
            return;
        const TicketRequest& r = found->second.request;
        admission_.submit({ r.engine, self_, ticket, r.workspace, r.cost, r.weight, r.waitMs, r.suspect }, loop_.now());
    });
    return ticket;
}

void TicketManager::release(TicketId ticket)
{
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end())
        return;
    loop_.cancel(found->second.timer);
    const NodeKey owner = found->second.owner;
    const NodeKey engine = found->second.request.engine;
    tickets_.erase(found);
    returnTicket(ticket, owner, engine);
}

void TicketManager::onOwnershipChanged(const std::vector<NodeKey>& engines)
{
    for (const NodeKey engine : engines) {
        const bool isOwn = ownership_.ownerOf(engine) == self_;
        if (isOwn && !admission_.isOpen(engine)) {
            const bool isAlone = ownership_.daemons().size() <= 1;
            admission_.open(engine, loop_.now(), isAlone ? 0 : HOLDER_REPORT_MS);
            admission_.setHeldTickets(engine, self_, heldOn(engine), loop_.now());
        } else if (!isOwn && admission_.isOpen(engine)) {
            admission_.close(engine);
        }
    }
    std::map<NodeKey, NodeKey> moved; // engine to its new owner
    std::vector<TicketId> orphaned;
    for (auto& [ticket, entry] : tickets_) {
        const NodeKey owner = ownership_.ownerOf(entry.request.engine);
        if (owner == entry.owner)
            continue;
        entry.owner = owner;
        if (entry.granted)
            moved[entry.request.engine] = owner;
        else
            orphaned.push_back(ticket);
    }
    for (const auto& [engine, owner] : moved)
        reportHeld(engine, owner);
    for (const TicketId ticket : orphaned)
        complete(ticket, { false, true, 0, NO_NODE });
}

void TicketManager::onPeerUp(NodeKey peer, const std::vector<NodeKey>& engines)
{
    for (const NodeKey engine : engines) {
        if (ownership_.ownerOf(engine) == peer)
            reportHeld(engine, peer);
    }
}

void TicketManager::onPeerDown(NodeKey peer)
{
    admission_.onHolderDisconnected(peer, loop_.now());
    std::vector<TicketId> unanswered;
    for (const auto& [ticket, entry] : tickets_) {
        if (entry.owner == peer && !entry.granted)
            unanswered.push_back(ticket);
    }
    for (const TicketId ticket : unanswered)
        complete(ticket, { false, true, 0, NO_NODE });
}

void TicketManager::onAcquire(NodeKey peer, const AcquireTicket& request)
{
    const NodeKey rememberedEngine = rememberedEngineFor(request);
    if (rememberedEngine != NO_NODE) {
        links_.send(peer, TicketReply { request.ticket, false, admission_.load(request.engine), rememberedEngine });
        return;
    }
    admission_.submit({ request.engine, peer, request.ticket, request.workspace, request.cost, request.weight,
                          request.waitMs, request.suspect },
        loop_.now());
}

void TicketManager::onReply(NodeKey peer, const TicketReply& reply)
{
    const auto found = tickets_.find(reply.ticket);
    if (found == tickets_.end() || !found->second.onResult || found->second.owner != peer)
        return; // no longer awaited; the release that was sent then revokes a late grant
    complete(reply.ticket, { reply.granted, false, reply.load, reply.rememberedEngine });
}

void TicketManager::onRelease(NodeKey peer, const ReleaseTicket& release)
{
    admission_.release(release.engine, peer, release.ticket, loop_.now());
}

void TicketManager::onHeld(NodeKey peer, const HeldTickets& held)
{
    admission_.setHeldTickets(held.engine, peer, held.tickets, loop_.now());
}

void TicketManager::onReport(NodeKey engine, int running) { admission_.onReport(engine, running, loop_.now()); }

void TicketManager::tick() { admission_.tick(loop_.now()); }

void TicketManager::shedOverload()
{
    for (const auto& [engine, holder] : admission_.overloaded()) {
        loop::TimeMs& last = lastMoveAt_[engine];
        if (loop_.now() - last < MOVE_PERIOD_MS)
            continue;
        last = loop_.now();
        if (holder != self_)
            links_.send(holder, MoveRequest { engine });
        else if (onMove)
            onMove(engine);
    }
}

// ---- private ----

void TicketManager::requestFromOwner(TicketId ticket, OpenTicket& entry)
{
    const TicketRequest& r = entry.request;
    const bool sent = links_.send(entry.owner,
        AcquireTicket { ticket, r.engine, r.workspace, r.cost, r.weight, r.waitMs, r.suspect, r.lookupChat });
    const loop::TimeMs timeoutMs = sent ? r.waitMs + OWNER_REPLY_MS : 0;
    entry.timer = loop_.after(timeoutMs, [this, ticket] { complete(ticket, { false, true, 0, NO_NODE }); });
}

void TicketManager::onDecision(const routing::AdmissionDecision& decision)
{
    if (decision.holder != self_) {
        links_.send(decision.holder, TicketReply { decision.ticket, decision.granted, decision.load, NO_NODE });
        return;
    }
    // The result hook may call the admission controller again, so it is deferred until the controller has returned.
    loop_.after(0, [this, decision] {
        const auto found = tickets_.find(decision.ticket);
        if (found != tickets_.end() && found->second.onResult)
            complete(decision.ticket, { decision.granted, false, decision.load, NO_NODE });
    });
}

void TicketManager::complete(TicketId ticket, const TicketResult& result)
{
    const auto found = tickets_.find(ticket);
    if (found == tickets_.end() || !found->second.onResult)
        return;
    loop_.cancel(found->second.timer);
    const auto onResult = std::move(found->second.onResult);
    found->second.onResult = nullptr;
    found->second.granted = result.granted;
    if (!result.granted) {
        const NodeKey owner = found->second.owner;
        const NodeKey engine = found->second.request.engine;
        tickets_.erase(found);
        if (result.ownerUnavailable)
            returnTicket(ticket, owner, engine);
    }
    onResult(result);
}

void TicketManager::returnTicket(TicketId ticket, NodeKey owner, NodeKey engine)
{
    if (owner == self_)
        admission_.release(engine, self_, ticket, loop_.now());
    else
        links_.send(owner, ReleaseTicket { ticket, engine });
}

void TicketManager::reportHeld(NodeKey engine, NodeKey owner)
{
    if (owner == self_)
        admission_.setHeldTickets(engine, self_, heldOn(engine), loop_.now());
    else
        links_.send(owner, HeldTickets { engine, heldOn(engine) });
}

std::vector<TicketId> TicketManager::heldOn(NodeKey engine) const
{
    std::vector<TicketId> held;
    for (const auto& [ticket, entry] : tickets_) {
        if (entry.granted && entry.request.engine == engine)
            held.push_back(ticket);
    }
    return held;
}

NodeKey TicketManager::rememberedEngineFor(const AcquireTicket& request)
{
    if (request.lookupChat == 0)
        return NO_NODE;
    const NodeKey engine = memory_.find(request.lookupChat);
    const routing::EngineEntry* entry = view_.find(engine);
    return entry && entry->eligible && engine != request.engine ? engine : NO_NODE;
}

} // namespace goldcrestcleat::fleet
