#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <functional>
#include <utility>
#include <vector>

namespace goldcrestcleat::routing {

/// Consistent hash ring that maps chats to nodes; removing a node remaps only the chats of that node.
class HashRing {
public:
    /// Points of each node on the ring; more points distribute chats more evenly.
    static constexpr int POINTS_PER_NODE = 128;

    HashRing() = default;

    /// Complexity: O(n log n), where n is the number of nodes times POINTS_PER_NODE.
    explicit HashRing(const std::vector<NodeKey>& nodes);

    /// Returns the node that the chat maps to, or NO_NODE on an empty ring. Complexity: O(log n).
    NodeKey pick(ChatKey chat) const;

    bool empty() const { return points_.empty(); }

private:
    std::vector<std::pair<std::uint64_t, NodeKey>> points_;
};

} // namespace goldcrestcleat::routing
