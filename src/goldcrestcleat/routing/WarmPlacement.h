#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <optional>
#include <vector>

namespace goldcrestcleat::routing {

/// A server that may take a request.
struct Candidate {
    NodeKey key = NO_NODE;
    int load = 0; ///< requests open there, as far as known
    int slots = 1; ///< requests that it works on at once
    bool isNear = true; ///< in the data centre of this daemon
};

/// How far warm context may pull load away from the mean.
struct WarmBound {
    double factor = 1.5; ///< multiple of the mean load
    double slack = 1.5; ///< requests beyond that
};

/// Where a request goes, and where its context may be fetched from.
struct WarmChoice {
    NodeKey server = NO_NODE;
    NodeKey fetchFrom = NO_NODE; ///< most likely to hold the context when the chosen one does not
    bool isFirstChoice = false; ///< the chosen server is the one that the subject hashes to
};

/// Chooses an engine for a request about a subject.
///
/// Servers are ranked by rendezvous hashing, so that a change of the list moves only the subjects of the servers that
/// came or left. The first in rank whose load stays within the bound and its slots wins; when none does, the least
/// loaded one. Complexity: O(n log n) in candidates.
WarmChoice chooseWarm(const std::vector<Candidate>& candidates, std::uint64_t subject, const WarmBound& bound);

/// Chooses a server for a request without context: the least loaded by slots, a near one among equals.
///
/// `salt` spreads requests over equal servers.
NodeKey chooseLeastLoaded(const std::vector<Candidate>& candidates, std::uint64_t salt);

} // namespace goldcrestcleat::routing
