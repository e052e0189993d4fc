#pragma once

#include "goldcrestcleat/forwarding/RequestHooks.h"
#include "goldcrestcleat/requests/ChatCall.h"
#include "goldcrestcleat/requests/Environment.h"
#include "goldcrestcleat/routing/Placement.h"

namespace goldcrestcleat::requests {

/// Finds an engine for one chat and gets a ticket of the engine's home for it.
class ChatPlacement : public std::enable_shared_from_this<ChatPlacement> {
public:
    using PlacedHook = forwarding::RequestHooks::PlacedHook;

    /// `call` must outlive this object.
    ChatPlacement(Environment& env, const ChatCall& call);

    /// Asks engines for a place until one grants it or the time is over.
    void place(const forwarding::Progress& progress, PlacedHook onPlaced);

    /// Gives up asking; the hook of the last `place` is not called any more.
    void stop();

    /// Gives a granted place back.
    void release(const forwarding::Placement& placement) { env_.fleet.tickets().release(placement.lease); }

    /// Asks the least loaded other engine for a place, without waiting there.
    void findLessLoaded(const forwarding::Placement& from, PlacedHook onPlaced);

private:
    void ask();
    void askLater();
    fleet::TicketRequest ticketFor(const routing::PlacementChoice& choice) const;
    void onTicket(const routing::PlacementChoice& choice, const fleet::TicketResult& result);
    void conclude(const forwarding::PlacementResult& result);
    forwarding::PlacementResult toResult(routing::NodeKey engine, routing::TicketId ticket, bool isSuspect) const;
    loop::TimeMs remainingMs() const { return askUntil_ - env_.loop.now(); }
    std::string engineId(routing::NodeKey key) const;
    void explain(const std::string& step, nlohmann::json details) const;

    Environment& env_;
    const ChatCall& call_;
    routing::PlacementQuery query_;
    PlacedHook onPlaced_; // empty while nobody waits
    loop::TimeMs askUntil_ = 0;
    int denials_ = 0;
    routing::TicketId pendingTicket_ = 0;
    bool asksAsSuspect_ = false;
};

} // namespace goldcrestcleat::requests
