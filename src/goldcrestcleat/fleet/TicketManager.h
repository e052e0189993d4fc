#pragma once

#include "goldcrestcleat/fleet/Ownership.h"
#include "goldcrestcleat/fleet/PeerLinks.h"
#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/ChatAffinityCache.h"

#include <functional>
#include <map>

namespace goldcrestcleat::fleet {

/// How a request for a ticket ended.
struct TicketResult {
    bool granted = false;
    bool ownerUnavailable = false; ///< the engine's owner did not answer, or ownership moved meanwhile
    int load = 0;
    routing::NodeKey rememberedEngine = routing::NO_NODE; ///< engine on which the owner remembers the chat
};

/// A request for a ticket on an engine.
struct TicketRequest {
    routing::NodeKey engine = routing::NO_NODE;
    std::uint16_t workspace = 0; ///< hash of the workspace id
    double cost = 1;
    double weight = 1;
    loop::TimeMs waitMs = 0;
    bool suspect = false;
    routing::ChatKey lookupChat = 0; ///< if not 0, the owner looks up the chat's last engine
};

/// Acquires tickets from the owners of engines, and grants them for the engines that this daemon owns.
class TicketManager {
public:
    using ResultHook = std::function<void(const TicketResult&)>;

    /// `links`, `ownership`, `view` and `memory` must outlive this object.
    TicketManager(loop::EventLoop& loop, routing::NodeKey self, PeerLinks& links, const Ownership& ownership,
        routing::LoadView& view, routing::ChatAffinityCache& memory, const routing::LoadBoundParameters& rule);

    /// Requests a ticket; the hook is called once, never before this returns.
    routing::TicketId acquire(const TicketRequest& request, ResultHook onResult);

    /// Releases a ticket, or cancels the request for it. Unknown ids are ignored.
    void release(routing::TicketId ticket);

    /// Opens and closes engines in the admission controller, and reports held tickets to the new owners.
    void onOwnershipChanged(const std::vector<routing::NodeKey>& engines);

    void onPeerUp(routing::NodeKey peer, const std::vector<routing::NodeKey>& engines);
    void onPeerDown(routing::NodeKey peer);

    void onAcquire(routing::NodeKey peer, const AcquireTicket& request);
    void onReply(routing::NodeKey peer, const TicketReply& reply);
    void onRelease(routing::NodeKey peer, const ReleaseTicket& release);
    void onHeld(routing::NodeKey peer, const HeldTickets& held);

    /// Passes the engine's own count of running requests to the admission controller.
    void onReport(routing::NodeKey engine, int running);

    void tick();

    /// Asks holders to move requests away from engines over the load bound; calls `onMove` for own requests.
    void shedOverload();

    std::function<void(routing::NodeKey engine)> onMove;

    const routing::AdmissionController& admissionController() const { return admission_; }

private:
    struct OpenTicket {
        TicketRequest request;
        routing::NodeKey owner = routing::NO_NODE;
        ResultHook onResult; // empty once called
        bool granted = false;
        loop::EventLoop::TimerId timer = 0;
    };

    void requestFromOwner(routing::TicketId ticket, OpenTicket& entry);
    void onDecision(const routing::AdmissionDecision& decision);
    void complete(routing::TicketId ticket, const TicketResult& result);
    void returnTicket(routing::TicketId ticket, routing::NodeKey owner, routing::NodeKey engine);
    void reportHeld(routing::NodeKey engine, routing::NodeKey owner);
    std::vector<routing::TicketId> heldOn(routing::NodeKey engine) const;
    routing::NodeKey rememberedEngineFor(const AcquireTicket& request);

    loop::EventLoop& loop_;
    routing::NodeKey self_;
    PeerLinks& links_;
    const Ownership& ownership_;
    routing::LoadView& view_;
    routing::ChatAffinityCache& memory_;
    routing::AdmissionController admission_;
    std::map<routing::TicketId, OpenTicket> tickets_;
    std::map<routing::NodeKey, loop::TimeMs> lastMoveAt_;
    routing::TicketId nextTicket_ = 1;
};

} // namespace goldcrestcleat::fleet
