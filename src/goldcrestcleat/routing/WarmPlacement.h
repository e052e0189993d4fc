#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <optional>
#include <vector>

namespace goldcrestcleat::routing {

/// A server that is able to accept a request.
struct Candidate {
    NodeKey key = NO_NODE;
    double load = 0; ///< open requests, as this daemon estimates them
    int slots = 1; ///< requests that it processes concurrently
    bool isInSameDataCentre = true; ///< as this daemon
    double slowness = 1; ///< time that it takes for a request, as a multiple of what the others take

    /// Returns its load in requests of a server that is not slow.
    double effectiveLoad() const { return load * slowness; }

    /// Returns its effective load with one more request.
    double nextEffectiveLoad() const { return (load + 1) * slowness; }
};

/// Load limit up to which a request is sent to the server that probably holds its context.
struct WarmBound {
    double factor = 1.5; ///< multiple of the mean load
    double slack = 1.5; ///< requests allowed in addition
};

/// The server for a request, and the server from which the request's context may be fetched.
struct WarmChoice {
    NodeKey server = NO_NODE;
    NodeKey fetchFrom = NO_NODE; ///< the most likely holder of the context if `server` does not have it
    bool isFirstChoice = false; ///< `server` ranks first for the context key
};

/// Chooses an engine for a request with a context, such as a prompt prefix, that is identified by `contextKey`.
///
/// Candidates are ranked by rendezvous hashing, so that adding or removing a server moves only the contexts of that
/// server. The highest-ranked one whose effective load stays within the bound and below its slots is chosen; if there
/// is none, the least loaded one is. Complexity: O(n log n) in candidates.
WarmChoice chooseWarm(const std::vector<Candidate>& candidates, std::uint64_t contextKey, const WarmBound& bound);

/// Chooses a server for a request without context: the one with the lowest effective load per slot. Among equals, one
/// in this daemon's data centre is preferred.
///
/// `salt` distributes requests over servers that are still equal.
NodeKey chooseLeastLoaded(const std::vector<Candidate>& candidates, std::uint64_t salt);

} // namespace goldcrestcleat::routing
