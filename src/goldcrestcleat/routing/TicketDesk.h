#pragma once

#include "goldcrestcleat/admission/FairQueue.h"
#include "goldcrestcleat/routing/LoadBound.h"
#include "goldcrestcleat/routing/LoadView.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace goldcrestcleat::routing {

/// Names a ticket among all of its holder's.
using TicketId = std::uint32_t;

/// A daemon's request to run one more request on an engine.
struct TicketAsk {
    NodeKey engine = NO_NODE;
    NodeKey holder = NO_NODE; ///< the asking daemon
    TicketId ticket = 0;
    std::uint64_t workspace = 0; ///< hash of the workspace id
    double cost = 1;
    double weight = 1; ///< workspace weight times priority factor
    loop::TimeMs waitMs = 0; ///< how long the ask may queue
    bool suspect = false; ///< an engine runs one suspect at a time
};

/// What the desk says to an ask.
struct TicketVerdict {
    NodeKey engine = NO_NODE;
    NodeKey holder = NO_NODE;
    TicketId ticket = 0;
    bool granted = false;
    int load = 0; ///< the engine's load afterwards
};

/// Counts the work on the engines whose home this daemon is, and grants tickets within the load bound.
///
/// The count of an engine is the number of tickets that its holders have out. Tickets of a holder that went
/// silent count until the engine's own report shows that they are gone.
class TicketDesk {
public:
    using VerdictHook = std::function<void(const TicketVerdict&)>;

    /// `view` must outlive the desk, which keeps the loads of its engines up to date there.
    TicketDesk(LoadView& view, const LoadBoundRule& rule, VerdictHook onVerdict);

    /// Becomes home of an engine; asks wait for `settleMs` while holders report their tickets.
    void open(NodeKey engine, loop::TimeMs now, loop::TimeMs settleMs);

    /// Stops being home: queued asks are denied and tickets are forgotten.
    void close(NodeKey engine);

    bool isOpen(NodeKey engine) const { return engines_.count(engine) > 0; }
    bool isOpenAny() const { return !engines_.empty(); }

    /// Grants, queues or denies an ask; the verdict comes by the hook, perhaps before this returns.
    void ask(const TicketAsk& ask, loop::TimeMs now);

    /// Takes a ticket back, or drops a queued ask.
    void release(NodeKey engine, NodeKey holder, TicketId ticket, loop::TimeMs now);

    /// Replaces what is known of a holder's tickets on an engine.
    void setHeld(NodeKey engine, NodeKey holder, const std::vector<TicketId>& tickets, loop::TimeMs now);

    /// Marks a holder's tickets as uncertain and drops its queued asks.
    void onHolderLost(NodeKey holder, loop::TimeMs now);

    /// Takes the engine's own count of running requests.
    void onReport(NodeKey engine, int running, loop::TimeMs now);

    /// Denies asks whose wait is over and grants what has become possible.
    void tick(loop::TimeMs now);

    /// Returns the engine's count, uncertain tickets included.
    int load(NodeKey engine) const;

    /// Returns the engines over the bound, or about to be, each with a holder that should move work away.
    std::vector<std::pair<NodeKey, NodeKey>> overloaded() const;

    std::size_t queued() const;

private:
    struct Ticket {
        bool suspect = false;
    };
    struct Holder {
        std::map<TicketId, Ticket> tickets;
        bool lost = false;
        loop::TimeMs lostAt = 0;
    };
    struct Pending {
        TicketAsk ask;
        loop::TimeMs expiresAt = 0;
    };
    struct Engine {
        std::map<NodeKey, Holder> holders;
        admission::FairQueue<Pending> queue;
        std::set<std::pair<loop::TimeMs, std::uint64_t>> expiries;
        std::map<std::pair<NodeKey, TicketId>, std::pair<loop::TimeMs, std::uint64_t>> queuedIds;
        loop::TimeMs settledAt = 0;
        int unattributed = 0; ///< load that the last home told of and no holder has claimed yet
        int lostCap = 0; ///< uncertain tickets that the engine's reports still allow for
        double meanHoldMs = 0; ///< smoothed time between a grant and its release
        std::map<std::pair<NodeKey, TicketId>, loop::TimeMs> grantedAt;
    };

    bool canGrant(NodeKey key, const Engine& engine, const TicketAsk& ask, loop::TimeMs now) const;
    void grant(NodeKey key, Engine& engine, const TicketAsk& ask, loop::TimeMs now);
    void deny(NodeKey key, const TicketAsk& ask);
    void grantQueued(NodeKey key, Engine& engine, loop::TimeMs now);
    void denyExpired(NodeKey key, Engine& engine, loop::TimeMs now);
    void dropLostTickets(Engine& engine, loop::TimeMs now);
    bool dropQueued(Engine& engine, NodeKey holder, TicketId ticket);
    void publishLoad(NodeKey key, const Engine& engine, loop::TimeMs now);
    static int countOf(const Engine& engine);
    static int sureCountOf(const Engine& engine);
    static bool hasSuspect(const Engine& engine);

    LoadView& view_;
    LoadBoundRule rule_;
    VerdictHook onVerdict_;
    std::map<NodeKey, Engine> engines_;
};

} // namespace goldcrestcleat::routing
