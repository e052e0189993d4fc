#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <map>
#include <vector>

namespace goldcrestcleat::fleet {

/// Assigns each upstream a home daemon by rendezvous hashing over the daemons that may be homes.
///
/// Daemons with the same view agree without talking; a daemon's loss moves only its own upstreams.
class Homes {
public:
    /// Sets the daemons; forgets every assignment.
    void setDaemons(std::vector<routing::NodeKey> daemons);

    /// Returns the home, or NO_NODE without daemons. Complexity: O(1) amortized, O(daemons) after a change.
    routing::NodeKey homeOf(routing::NodeKey upstream) const;

    /// Returns the daemon that would be home if the first one were gone, or NO_NODE.
    routing::NodeKey secondOf(routing::NodeKey upstream) const;

    /// Returns all daemons, best home first.
    std::vector<routing::NodeKey> ranked(routing::NodeKey upstream) const;

    const std::vector<routing::NodeKey>& daemons() const { return daemons_; }

private:
    std::vector<routing::NodeKey> daemons_;
    mutable std::map<routing::NodeKey, std::pair<routing::NodeKey, routing::NodeKey>> cache_;

    const std::pair<routing::NodeKey, routing::NodeKey>& firstTwo(routing::NodeKey upstream) const;
};

} // namespace goldcrestcleat::fleet
