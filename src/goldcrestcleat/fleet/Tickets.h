#pragma once

#include "goldcrestcleat/fleet/Homes.h"
#include "goldcrestcleat/fleet/PeerLinks.h"
#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/ChatAffinityCache.h"

#include <functional>
#include <map>

namespace goldcrestcleat::fleet {

/// How a request for a ticket ended.
struct TicketResult {
    bool granted = false;
    bool homeSilent = false; ///< the engine's home did not answer
    int load = 0;
    routing::NodeKey elsewhere = routing::NO_NODE; ///< the home remembers the chat on this engine
};

/// What a request needs of an engine.
struct TicketRequest {
    routing::NodeKey engine = routing::NO_NODE;
    std::uint16_t workspace = 0; ///< hash of the workspace id
    double cost = 1;
    double weight = 1;
    loop::TimeMs waitMs = 0;
    bool suspect = false;
    routing::ChatKey lookup = 0; ///< when not 0, ask the home for the chat's last engine
};

/// Gets tickets from the homes of engines, and serves them for the engines whose home this daemon is.
class Tickets {
public:
    using ResultHook = std::function<void(const TicketResult&)>;

    /// `links`, `homes`, `view` and `memory` must outlive this object.
    Tickets(loop::EventLoop& loop, routing::NodeKey self, PeerLinks& links, const Homes& homes, routing::LoadView& view,
        routing::ChatAffinityCache& memory, const routing::LoadBoundParameters& rule);

    /// Asks for a ticket; the hook is called once, never before this returns.
    routing::TicketId acquire(const TicketRequest& request, ResultHook onResult);

    /// Gives a ticket back, or gives up waiting for it. Unknown ids are ignored.
    void release(routing::TicketId ticket);

    /// Opens and closes the desk's engines after the homes changed, and reports held tickets to new homes.
    void onHomesChanged(const std::vector<routing::NodeKey>& engines);

    void onPeerUp(routing::NodeKey peer, const std::vector<routing::NodeKey>& engines);
    void onPeerDown(routing::NodeKey peer);

    void onAsk(routing::NodeKey peer, const Ask& ask);
    void onVerdict(routing::NodeKey peer, const Verdict& verdict);
    void onRelease(routing::NodeKey peer, const Release& release);
    void onHeld(routing::NodeKey peer, const Held& held);

    /// Takes the engine's own count of running requests.
    void onReport(routing::NodeKey engine, int running);

    void tick();

    /// Asks holders to move work away from engines over the bound; the own share goes to `onMove`.
    void shedOverload();

    std::function<void(routing::NodeKey engine)> onMove;

    const routing::AdmissionController& desk() const { return desk_; }

private:
    struct Open {
        TicketRequest request;
        routing::NodeKey home = routing::NO_NODE;
        ResultHook onResult; // empty once called
        bool granted = false;
        loop::EventLoop::TimerId timer = 0;
    };

    void askRemote(routing::TicketId ticket, Open& open);
    void onDeskVerdict(const routing::AdmissionDecision& verdict);
    void conclude(routing::TicketId ticket, const TicketResult& result);
    void giveBack(routing::TicketId ticket, routing::NodeKey home, routing::NodeKey engine);
    void reportHeld(routing::NodeKey engine, routing::NodeKey home);
    std::vector<routing::TicketId> heldOn(routing::NodeKey engine) const;
    routing::NodeKey rememberedElsewhere(const Ask& ask);

    loop::EventLoop& loop_;
    routing::NodeKey self_;
    PeerLinks& links_;
    const Homes& homes_;
    routing::LoadView& view_;
    routing::ChatAffinityCache& memory_;
    routing::AdmissionController desk_;
    std::map<routing::TicketId, Open> open_;
    std::map<routing::NodeKey, loop::TimeMs> lastMoveAt_;
    routing::TicketId nextTicket_ = 1;
};

} // namespace goldcrestcleat::fleet
