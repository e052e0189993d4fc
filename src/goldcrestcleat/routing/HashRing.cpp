#include "goldcrestcleat/routing/HashRing.h"

#include <algorithm>

namespace goldcrestcleat::routing {

HashRing::HashRing(const std::vector<NodeKey>& nodes)
{
    points_.reserve(nodes.size() * POINTS_PER_NODE);
    for (const NodeKey node : nodes) {
        for (int i = 0; i < POINTS_PER_NODE; ++i)
            points_.emplace_back(rendezvousScore(static_cast<std::uint64_t>(i) + 1, node), node);
    }
    std::sort(points_.begin(), points_.end());
}

NodeKey HashRing::pick(ChatKey chat) const
{
    if (points_.empty())
        return NO_NODE;
    const std::uint64_t position = rendezvousScore(chat, 1);
    const auto at = std::lower_bound(points_.begin(), points_.end(), std::make_pair(position, NodeKey { 0 }));
    return at == points_.end() ? points_.front().second : at->second;
}

} // namespace goldcrestcleat::routing
