#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <map>
#include <vector>

namespace goldcrestcleat::fleet {

/// Assigns each upstream an owner, the daemon that counts its load, by rendezvous hashing over the eligible daemons.
///
/// Daemons with the same view of the membership agree without exchanging messages; when a daemon leaves, only the
/// upstreams that it owned are reassigned.
class Ownership {
public:
    /// Sets the eligible daemons and clears the cached assignments.
    void setDaemons(std::vector<routing::NodeKey> daemons);

    /// Returns the owner, or NO_NODE if there are no daemons. Complexity: O(1) amortized, O(daemons log daemons) for an
    /// upstream's first query after a change.
    routing::NodeKey ownerOf(routing::NodeKey upstream) const;

    /// Returns the daemon that becomes the owner if the current one is removed, or NO_NODE.
    routing::NodeKey backupOwnerOf(routing::NodeKey upstream) const;

    /// Returns all daemons in descending order of rendezvous score; the first one is the owner.
    std::vector<routing::NodeKey> ranked(routing::NodeKey upstream) const;

    const std::vector<routing::NodeKey>& daemons() const { return daemons_; }

private:
    std::vector<routing::NodeKey> daemons_;
    mutable std::map<routing::NodeKey, std::pair<routing::NodeKey, routing::NodeKey>> cache_;

    const std::pair<routing::NodeKey, routing::NodeKey>& ownerAndBackup(routing::NodeKey upstream) const;
};

} // namespace goldcrestcleat::fleet
