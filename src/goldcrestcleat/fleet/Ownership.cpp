#include "goldcrestcleat/fleet/Ownership.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using routing::NodeKey;

void Ownership::setDaemons(std::vector<NodeKey> daemons)
{
    std::sort(daemons.begin(), daemons.end());
    daemons_ = std::move(daemons);
    cache_.clear();
}

NodeKey Ownership::ownerOf(NodeKey upstream) const { return ownerAndBackup(upstream).first; }

NodeKey Ownership::backupOwnerOf(NodeKey upstream) const { return ownerAndBackup(upstream).second; }

std::vector<NodeKey> Ownership::ranked(NodeKey upstream) const
{
    std::vector<NodeKey> order = daemons_;
    std::sort(order.begin(), order.end(), [&](NodeKey a, NodeKey b) {
        return routing::rendezvousScore(upstream, a) > routing::rendezvousScore(upstream, b);
    });
    return order;
}

const std::pair<NodeKey, NodeKey>& Ownership::ownerAndBackup(NodeKey upstream) const
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
