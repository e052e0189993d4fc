#include "goldcrestcleat/fleet/Homes.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using routing::NodeKey;

void Homes::setDaemons(std::vector<NodeKey> daemons)
{
    std::sort(daemons.begin(), daemons.end());
    daemons_ = std::move(daemons);
    cache_.clear();
}

NodeKey Homes::homeOf(NodeKey upstream) const { return firstTwo(upstream).first; }

NodeKey Homes::secondOf(NodeKey upstream) const { return firstTwo(upstream).second; }

std::vector<NodeKey> Homes::ranked(NodeKey upstream) const
{
    std::vector<NodeKey> order = daemons_;
    std::sort(order.begin(), order.end(), [&](NodeKey a, NodeKey b) {
        return routing::rendezvousScore(upstream, a) > routing::rendezvousScore(upstream, b);
    });
    return order;
}

const std::pair<NodeKey, NodeKey>& Homes::firstTwo(NodeKey upstream) const
{
    const auto cached = cache_.find(upstream);
    if (cached != cache_.end())
        return cached->second;
    const auto order = ranked(upstream);
    const NodeKey first = order.empty() ? routing::NO_NODE : order[0];
    const NodeKey second = order.size() < 2 ? routing::NO_NODE : order[1];
    return cache_[upstream] = { first, second };
}

} // namespace goldcrestcleat::fleet
