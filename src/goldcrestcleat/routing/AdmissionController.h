#pragma once

#include "goldcrestcleat/admission/FairQueue.h"
#include "goldcrestcleat/routing/LoadBound.h"
#include "goldcrestcleat/routing/LoadView.h"

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace goldcrestcleat::routing {

/// Identifies a ticket; unique per holder.
using TicketId = std::uint32_t;

/// A daemon's request for a ticket: to run one more request on an engine.
struct AdmissionRequest {
    NodeKey engine = NO_NODE;
    NodeKey holder = NO_NODE; ///< the requesting daemon
    TicketId ticket = 0;
    std::uint64_t workspace = 0; ///< hash of the workspace id
    double cost = 1;
    double weight = 1; ///< weight of the workspace times priority factor
    loop::TimeMs waitMs = 0; ///< how long the request may be queued
    bool suspect = false; ///< suspected of crashing engines; an engine runs only one suspect at a time
};

/// The controller's decision on an admission request.
struct AdmissionDecision {
    NodeKey engine = NO_NODE;
    NodeKey holder = NO_NODE;
    TicketId ticket = 0;
    bool granted = false;
    int load = 0; ///< the engine's load after the decision
};

/// Tracks the load of the engines that this daemon owns, and grants tickets within the load bound.
///
/// A ticket is a lease for one request on one engine. An engine's load is the number of its tickets that are held by
/// daemons. The tickets of a holder that has disconnected are uncertain: they count until the engine's own report shows
/// that their requests have ended.
class AdmissionController {
public:
    using DecisionHook = std::function<void(const AdmissionDecision&)>;

    /// `view` must outlive the controller, which updates the loads of its engines there.
    AdmissionController(LoadView& view, const LoadBoundParameters& parameters, DecisionHook onDecision);

    /// Starts admission for an engine that this daemon now owns. Nothing is granted for `settleMs`, in which the
    /// holders report their tickets.
    void open(NodeKey engine, loop::TimeMs now, loop::TimeMs settleMs);

    /// Ends admission for an engine that this daemon no longer owns: denies queued requests and discards its tickets.
    void close(NodeKey engine);

    bool isOpen(NodeKey engine) const { return engines_.count(engine) > 0; }
    bool hasOpenEngines() const { return !engines_.empty(); }

    /// Grants, queues or denies a request. The hook receives the decision, possibly before this returns.
    void submit(const AdmissionRequest& request, loop::TimeMs now);

    /// Releases a ticket, or removes a queued request.
    void release(NodeKey engine, NodeKey holder, TicketId ticket, loop::TimeMs now);

    /// Replaces the set of tickets that a holder has on an engine.
    void setHeldTickets(NodeKey engine, NodeKey holder, const std::vector<TicketId>& tickets, loop::TimeMs now);

    /// Marks a holder's tickets as uncertain and removes its queued requests.
    void onHolderDisconnected(NodeKey holder, loop::TimeMs now);

    /// Applies the engine's own report of its running requests.
    void onReport(NodeKey engine, int running, loop::TimeMs now);

    /// Expires uncertain tickets, denies requests whose wait is over and grants those that have become possible.
    void tick(loop::TimeMs now);

    /// Returns the engine's load, including uncertain tickets.
    int load(NodeKey engine) const;

    /// Returns the engines that exceed the bound or are about to, each with the holder that should move a request away.
    std::vector<std::pair<NodeKey, NodeKey>> overloaded() const;

    /// Returns the number of queued requests.
    std::size_t queued() const;

private:
    struct Ticket {
        bool suspect = false;
    };
    struct Holder {
        std::map<TicketId, Ticket> tickets;
        bool isDisconnected = false;
        loop::TimeMs disconnectedAt = 0;
    };
    struct Pending {
        AdmissionRequest request;
        loop::TimeMs expiresAt = 0;
    };
    struct Engine {
        std::map<NodeKey, Holder> holders;
        admission::FairQueue<Pending> queue;
        std::set<std::pair<loop::TimeMs, std::uint64_t>> expiries;
        std::map<std::pair<NodeKey, TicketId>, std::pair<loop::TimeMs, std::uint64_t>> queuedIds;
        loop::TimeMs settledAt = 0;
        int unattributed = 0; ///< load that the previous owner reported and no holder has reported yet
        int uncertainLimit = 0; ///< cap on uncertain and unattributed load, from the engine's reports
        double meanHoldMs = 0; ///< exponentially smoothed time between a grant and its release
        std::map<std::pair<NodeKey, TicketId>, loop::TimeMs> grantedAt;
    };

    bool canGrant(NodeKey key, const Engine& engine, const AdmissionRequest& request, loop::TimeMs now) const;
    void grant(NodeKey key, Engine& engine, const AdmissionRequest& request, loop::TimeMs now);
    void deny(NodeKey key, const AdmissionRequest& request);
    void grantQueued(NodeKey key, Engine& engine, loop::TimeMs now);
    void denyExpired(NodeKey key, Engine& engine, loop::TimeMs now);
    void expireUncertainTickets(Engine& engine, loop::TimeMs now);
    bool dropQueued(Engine& engine, NodeKey holder, TicketId ticket);
    void publishLoad(NodeKey key, const Engine& engine, loop::TimeMs now);
    static int countOf(const Engine& engine);
    static int confirmedCountOf(const Engine& engine);
    static bool hasSuspect(const Engine& engine);

    LoadView& view_;
    LoadBoundParameters parameters_;
    DecisionHook onDecision_;
    std::map<NodeKey, Engine> engines_;
};

} // namespace goldcrestcleat::routing
