#pragma once

#include "goldcrestcleat/forwarding/RequestHooks.h"
#include "goldcrestcleat/requests/ChatCall.h"
#include "goldcrestcleat/requests/Environment.h"
#include "goldcrestcleat/routing/Placement.h"

namespace goldcrestcleat::requests {

/// Chooses an engine for one chat and obtains a ticket for it from the engine's owner.
class ChatPlacement : public std::enable_shared_from_this<ChatPlacement> {
public:
    using PlacedHook = forwarding::RequestHooks::PlacedHook;

    /// `call` must outlive this object.
    ChatPlacement(Environment& env, const ChatCall& call);

    /// Requests tickets until one is granted or the remaining time is over.
    void place(const forwarding::Progress& progress, PlacedHook onPlaced);

    /// Stops requesting tickets; the hook of the last `place` is no longer called.
    void stop();

    /// Releases the ticket of a placement.
    void release(const forwarding::Placement& placement) { env_.fleet.tickets().release(placement.lease); }

    /// Requests a ticket for the least loaded other engine, without queueing there.
    void findLessLoaded(const forwarding::Placement& from, PlacedHook onPlaced);

private:
    void requestTicket();
    void retryLater();
    fleet::TicketRequest ticketRequestFor(const routing::PlacementChoice& choice) const;
    void onTicketResult(const routing::PlacementChoice& choice, const fleet::TicketResult& result);
    void finish(const forwarding::PlacementResult& result);
    forwarding::PlacementResult toResult(routing::NodeKey engine, routing::TicketId ticket, bool isSuspect) const;
    loop::TimeMs remainingMs() const { return placementDeadline_ - env_.loop.now(); }
    std::string engineId(routing::NodeKey key) const;
    void explain(const std::string& step, nlohmann::json details) const;

    Environment& env_;
    const ChatCall& call_;
    routing::PlacementQuery query_;
    PlacedHook onPlaced_; // empty while no placement is pending
    loop::TimeMs placementDeadline_ = 0;
    int denials_ = 0;
    routing::TicketId pendingTicket_ = 0;
    bool isSuspect_ = false; // of the pending ticket request
};

} // namespace goldcrestcleat::requests
