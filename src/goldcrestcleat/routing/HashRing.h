#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <functional>
#include <utility>
#include <vector>

namespace goldcrestcleat::routing {

/// Consistent hashing of chats on nodes; removing a node moves its chats only.
class HashRing {
public:
    /// Points of each node on the ring; more of them spread chats more evenly.
    static constexpr int POINTS_PER_NODE = 128;

    HashRing() = default;

    /// Builds the ring. Complexity: O(n log n) in nodes times points.
    explicit HashRing(const std::vector<NodeKey>& nodes);

    /// Returns the chat's node, or NO_NODE on an empty ring. Complexity: O(log n).
    NodeKey pick(ChatKey chat) const;

    bool empty() const { return points_.empty(); }

private:
    std::vector<std::pair<std::uint64_t, NodeKey>> points_;
};

} // namespace goldcrestcleat::routing
