#include "goldcrestcleat/fleet/Tickets.h"

namespace goldcrestcleat::fleet {

using routing::NO_NODE;
using routing::NodeKey;
using routing::TicketId;

namespace {

    constexpr loop::TimeMs HOME_REPLY_MS = 200; // beyond the wait that was asked for
    constexpr loop::TimeMs SETTLE_MS = 300; // time for holders to report to a new home
    constexpr loop::TimeMs MOVE_PERIOD_MS = 100; // one piece of work an engine at a time

} // namespace

Tickets::Tickets(loop::EventLoop& loop, NodeKey self, PeerLinks& links, const Homes& homes, routing::LoadView& view,
    routing::ChatAffinityCache& memory, const routing::LoadBoundParameters& rule)
    : loop_(loop)
    , self_(self)
    , links_(links)
    , homes_(homes)
    , view_(view)
    , memory_(memory)
    , desk_(view, rule, [this](const routing::AdmissionDecision& verdict) { onDeskVerdict(verdict); })
{
}

TicketId Tickets::acquire(const TicketRequest& request, ResultHook onResult)
{
    const TicketId ticket = nextTicket_++;
    Open& open = open_[ticket];
    open.request = request;
    open.onResult = std::move(onResult);
    open.home = homes_.homeOf(request.engine);
    if (open.home != self_) {
        askRemote(ticket, open);
        return ticket;
    }
    // The desk may answer at once, so it is asked in a later step.
    loop_.after(0, [this, ticket] {
        const auto found = open_.find(ticket);
        if (found == open_.end() || found->second.home != self_)
            return;
        const TicketRequest& r = found->second.request;
        desk_.submit({ r.engine, self_, ticket, r.workspace, r.cost, r.weight, r.waitMs, r.suspect }, loop_.now());
    });
    return ticket;
}

void Tickets::release(TicketId ticket)
{
    const auto found = open_.find(ticket);
    if (found == open_.end())
        return;
    loop_.cancel(found->second.timer);
    const NodeKey home = found->second.home;
    const NodeKey engine = found->second.request.engine;
    open_.erase(found);
    giveBack(ticket, home, engine);
}

void Tickets::onHomesChanged(const std::vector<NodeKey>& engines)
{
    for (const NodeKey engine : engines) {
        const bool isOwn = homes_.homeOf(engine) == self_;
        if (isOwn && !desk_.isOpen(engine)) {
            const bool isAlone = homes_.daemons().size() <= 1;
            desk_.open(engine, loop_.now(), isAlone ? 0 : SETTLE_MS);
            desk_.setHeldTickets(engine, self_, heldOn(engine), loop_.now());
        } else if (!isOwn && desk_.isOpen(engine)) {
            desk_.close(engine);
        }
    }
    std::map<NodeKey, NodeKey> moved; // engine to its new home
    std::vector<TicketId> orphaned;
    for (auto& [ticket, open] : open_) {
        const NodeKey home = homes_.homeOf(open.request.engine);
        if (home == open.home)
            continue;
        open.home = home;
        if (open.granted)
            moved[open.request.engine] = home;
        else
            orphaned.push_back(ticket);
    }
    for (const auto& [engine, home] : moved)
        reportHeld(engine, home);
    for (const TicketId ticket : orphaned)
        conclude(ticket, { false, true, 0, NO_NODE });
}

void Tickets::onPeerUp(NodeKey peer, const std::vector<NodeKey>& engines)
{
    for (const NodeKey engine : engines) {
        if (homes_.homeOf(engine) == peer)
            reportHeld(engine, peer);
    }
}

void Tickets::onPeerDown(NodeKey peer)
{
    desk_.onHolderDisconnected(peer, loop_.now());
    std::vector<TicketId> unanswered;
    for (const auto& [ticket, open] : open_) {
        if (open.home == peer && !open.granted)
            unanswered.push_back(ticket);
    }
    for (const TicketId ticket : unanswered)
        conclude(ticket, { false, true, 0, NO_NODE });
}

void Tickets::onAsk(NodeKey peer, const Ask& ask)
{
    const NodeKey elsewhere = rememberedElsewhere(ask);
    if (elsewhere != NO_NODE) {
        links_.send(peer, Verdict { ask.ticket, false, desk_.load(ask.engine), elsewhere });
        return;
    }
    desk_.submit(
        { ask.engine, peer, ask.ticket, ask.workspace, ask.cost, ask.weight, ask.waitMs, ask.suspect }, loop_.now());
}

void Tickets::onVerdict(NodeKey peer, const Verdict& verdict)
{
    const auto found = open_.find(verdict.ticket);
    if (found == open_.end() || !found->second.onResult || found->second.home != peer)
        return; // given up; the release that was sent then undoes a late grant
    conclude(verdict.ticket, { verdict.granted, false, verdict.load, verdict.elsewhere });
}

void Tickets::onRelease(NodeKey peer, const Release& release)
{
    desk_.release(release.engine, peer, release.ticket, loop_.now());
}

void Tickets::onHeld(NodeKey peer, const Held& held)
{
    desk_.setHeldTickets(held.engine, peer, held.tickets, loop_.now());
}

void Tickets::onReport(NodeKey engine, int running) { desk_.onReport(engine, running, loop_.now()); }

void Tickets::tick() { desk_.tick(loop_.now()); }

void Tickets::shedOverload()
{
    for (const auto& [engine, holder] : desk_.overloaded()) {
        loop::TimeMs& last = lastMoveAt_[engine];
        if (loop_.now() - last < MOVE_PERIOD_MS)
            continue;
        last = loop_.now();
        if (holder != self_)
            links_.send(holder, Move { engine });
        else if (onMove)
            onMove(engine);
    }
}

// ---- private ----

void Tickets::askRemote(TicketId ticket, Open& open)
{
    const TicketRequest& r = open.request;
    const bool sent = links_.send(
        open.home, Ask { ticket, r.engine, r.workspace, r.cost, r.weight, r.waitMs, r.suspect, r.lookup });
    const loop::TimeMs patienceMs = sent ? r.waitMs + HOME_REPLY_MS : 0;
    open.timer = loop_.after(patienceMs, [this, ticket] { conclude(ticket, { false, true, 0, NO_NODE }); });
}

void Tickets::onDeskVerdict(const routing::AdmissionDecision& verdict)
{
    if (verdict.holder != self_) {
        links_.send(verdict.holder, Verdict { verdict.ticket, verdict.granted, verdict.load, NO_NODE });
        return;
    }
    // The holder's code may call the desk again, so it runs in a later step.
    loop_.after(0, [this, verdict] {
        const auto found = open_.find(verdict.ticket);
        if (found != open_.end() && found->second.onResult)
            conclude(verdict.ticket, { verdict.granted, false, verdict.load, NO_NODE });
    });
}

void Tickets::conclude(TicketId ticket, const TicketResult& result)
{
    const auto found = open_.find(ticket);
    if (found == open_.end() || !found->second.onResult)
        return;
    loop_.cancel(found->second.timer);
    const auto onResult = std::move(found->second.onResult);
    found->second.onResult = nullptr;
    found->second.granted = result.granted;
    if (!result.granted) {
        const NodeKey home = found->second.home;
        const NodeKey engine = found->second.request.engine;
        open_.erase(found);
        if (result.homeSilent)
            giveBack(ticket, home, engine);
    }
    onResult(result);
}

void Tickets::giveBack(TicketId ticket, NodeKey home, NodeKey engine)
{
    if (home == self_)
        desk_.release(engine, self_, ticket, loop_.now());
    else
        links_.send(home, Release { ticket, engine });
}

void Tickets::reportHeld(NodeKey engine, NodeKey home)
{
    if (home == self_)
        desk_.setHeldTickets(engine, self_, heldOn(engine), loop_.now());
    else
        links_.send(home, Held { engine, heldOn(engine) });
}

std::vector<TicketId> Tickets::heldOn(NodeKey engine) const
{
    std::vector<TicketId> held;
    for (const auto& [ticket, open] : open_) {
        if (open.granted && open.request.engine == engine)
            held.push_back(ticket);
    }
    return held;
}

NodeKey Tickets::rememberedElsewhere(const Ask& ask)
{
    if (ask.lookup == 0)
        return NO_NODE;
    const NodeKey engine = memory_.find(ask.lookup);
    const routing::EngineEntry* entry = view_.find(engine);
    return entry && entry->eligible && engine != ask.engine ? engine : NO_NODE;
}

} // namespace goldcrestcleat::fleet
