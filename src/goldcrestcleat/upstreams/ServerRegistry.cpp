#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace goldcrestcleat::upstreams {

using routing::NodeKey;

namespace {

    // Time from a failed connection to the next check, doubled with each further failure. A crashed server usually
    // returns after some seconds.
    constexpr loop::TimeMs FIRST_CHECK_MS = 250;
    constexpr int MAX_CHECK_DOUBLINGS = 3;

    // A server is avoided if its failure rate is at least MIN_FAILURE_SHARE and more than this multiple of the rate of
    // the other servers of its service, given enough outcomes.
    constexpr double FAILURE_SHARE_FACTOR = 2.5;
    constexpr double MIN_FAILURE_SHARE = 0.25;
    constexpr double MIN_OUTCOME_WEIGHT = 4;
    constexpr loop::TimeMs AVOID_MS = 1'500;

} // namespace

bool ServerRegistry::put(const ServerEntry& entry, loop::TimeMs now, bool isRestored)
{
    const NodeKey key = routing::nodeKey(entry.id);
    Server& server = servers_[key];
    const bool isKnown = server.key != routing::NO_NODE;
    const bool isNewInstance = !isKnown || server.entry.instance() != entry.instance();
    const bool isHeld = isRestored && isContradicted(entry, server);
    if (isNewInstance) {
        const int localOpen = server.localOpen;
        server = Server();
        server.localOpen = localOpen;
        server.peerOpen = openAtPeers(key);
        server.weightsUpdatedAt = now;
        server.hasAnnouncedLeaving = hasAnnouncedLeaving(entry.instance());
    }
    server.coldUntil = entry.coldLeftMs > 0 ? now + entry.coldLeftMs : 0;
    if (server.removedAt || server.entry.isLeaving)
        server.connectFailures = 0; // the new entry is more recent evidence than the failed connections
    server.isHeld = isHeld;
    if (!isRestored)
        forgetRemoved(entry.instance());
    server.key = key;
    server.entry = entry;
    server.removedAt.reset();
    server.mayHaveExpired = false;
    return isKnown && isNewInstance;
}

bool ServerRegistry::markLeaving(const ServerInstance& instance)
{
    if (hasAnnouncedLeaving(instance))
        return false;
    leavingInstances_.push_back(instance);
    if (leavingInstances_.size() > MAX_LEAVING_INSTANCES)
        leavingInstances_.pop_front();
    const auto found = servers_.find(instance.server);
    if (found != servers_.end() && found->second.entry.instance() == instance)
        found->second.hasAnnouncedLeaving = true;
    return true;
}

void ServerRegistry::backOff(NodeKey key, loop::TimeMs until)
{
    const auto found = servers_.find(key);
    if (found != servers_.end())
        found->second.backOffUntil = std::max(found->second.backOffUntil, until);
}

std::optional<loop::TimeMs> ServerRegistry::backedOffUntil(const std::string& service, loop::TimeMs now) const
{
    std::optional<loop::TimeMs> earliest;
    for (const auto& [key, server] : servers_) {
        const bool isBackedOff = server.backOffUntil > now && !server.isLeaving() && !server.removedAt;
        if (server.entry.service == service && isBackedOff && !isEvacuated(server))
            earliest = std::min(earliest.value_or(server.backOffUntil), server.backOffUntil);
    }
    return earliest;
}

bool ServerRegistry::endEvacuation(const std::string& dataCentre, loop::TimeMs now)
{
    if (evacuated_.erase(dataCentre) == 0)
        return false;
    for (auto& [key, server] : servers_) {
        if (server.entry.dataCentre == dataCentre)
            server.mayBeColdSince = now;
    }
    return true;
}

void ServerRegistry::remove(const std::string& id) { servers_.erase(routing::nodeKey(id)); }

void ServerRegistry::markRemoved(const std::vector<std::string>& ids, bool mayHaveExpired, loop::TimeMs now)
{
    purgeRemoved();
    for (const auto& id : ids) {
        const auto found = servers_.find(routing::nodeKey(id));
        if (found == servers_.end() || found->second.removedAt)
            continue;
        Server& server = found->second;
        server.removedAt = now;
        // The entry of a server that announced that it leaves was removed, it did not expire.
        server.mayHaveExpired = mayHaveExpired && !server.isLeaving();
        if (!server.mayHaveExpired)
            rememberRemoved(server.entry.instance());
    }
}

std::vector<std::string> ServerRegistry::giveUpExpired()
{
    std::vector<std::string> ids;
    for (auto& [key, server] : servers_) {
        if (server.mayHaveExpired) {
            ids.push_back(server.entry.id);
            rememberRemoved(server.entry.instance());
        }
        server.mayHaveExpired = false;
    }
    return ids;
}

std::vector<std::string> ServerRegistry::releaseHeld()
{
    std::vector<std::string> ids;
    for (auto& [key, server] : servers_) {
        if (server.isHeld)
            ids.push_back(server.entry.id);
        server.isHeld = false;
    }
    return ids;
}

std::vector<const Server*> ServerRegistry::usable(const std::string& service, loop::TimeMs now) const
{
    std::vector<const Server*> preferred;
    std::vector<const Server*> avoided;
    for (const auto& [key, server] : servers_) {
        const bool isGone = server.removedAt && !server.mayHaveExpired;
        if (server.entry.service != service || isGone || server.isLeaving() || server.backOffUntil > now
            || server.isHeld || isEvacuated(server))
            continue;
        (server.isAvoided(now) ? avoided : preferred).push_back(&server);
    }
    return preferred.empty() ? avoided : preferred;
}

const Server* ServerRegistry::find(NodeKey key) const
{
    const auto found = servers_.find(key);
    return found == servers_.end() ? nullptr : &found->second;
}

void ServerRegistry::addRequest(NodeKey key)
{
    const auto found = servers_.find(key);
    if (found != servers_.end())
        ++found->second.localOpen;
}

void ServerRegistry::removeRequest(NodeKey key)
{
    const auto found = servers_.find(key);
    if (found != servers_.end() && found->second.localOpen > 0)
        --found->second.localOpen;
}

void ServerRegistry::setPeerLoads(NodeKey peer, const std::vector<std::pair<NodeKey, int>>& open)
{
    const auto before = peerOpen_[peer];
    const std::map<NodeKey, int> after(open.begin(), open.end());
    for (const auto& [server, count] : before) {
        if (after.count(server) == 0)
            setPeerOpen(peer, server, 0);
    }
    for (const auto& [server, count] : after)
        setPeerOpen(peer, server, count);
}

void ServerRegistry::removePeer(NodeKey peer)
{
    setPeerLoads(peer, {});
    peerOpen_.erase(peer);
}

void ServerRegistry::onConnected(NodeKey key, loop::TimeMs now)
{
    const auto found = servers_.find(key);
    if (found != servers_.end())
        markReachable(found->second, now);
}

void ServerRegistry::recordOutcome(NodeKey key, Outcome outcome, loop::TimeMs now)
{
    const auto found = servers_.find(key);
    if (found == servers_.end())
        return;
    Server& server = found->second;
    if (outcome == Outcome::Unreachable) {
        const int doublings = std::min(server.connectFailures, MAX_CHECK_DOUBLINGS);
        ++server.connectFailures;
        server.nextCheckAt = now + (FIRST_CHECK_MS << doublings);
        return;
    }
    markReachable(server, now);
    decayWeights(server, now);
    server.outcomeWeight += 1;
    if (outcome == Outcome::Answered)
        return;
    server.failureWeight += 1;
    if (failsMoreThanService(server, now))
        server.avoidUntil = std::max(server.avoidUntil, now + AVOID_MS);
    assert(server.failureWeight <= server.outcomeWeight + 1e-6);
}

std::vector<std::pair<NodeKey, int>> ServerRegistry::localOpen() const
{
    std::vector<std::pair<NodeKey, int>> open;
    for (const auto& [key, server] : servers_) {
        if (server.localOpen > 0)
            open.emplace_back(key, server.localOpen);
    }
    return open;
}

// ---- private ----

void ServerRegistry::setPeerOpen(NodeKey peer, NodeKey server, int open)
{
    int& known = peerOpen_[peer][server];
    const int change = open - known;
    known = open;
    if (open == 0)
        peerOpen_[peer].erase(server);
    const auto found = servers_.find(server);
    if (found != servers_.end())
        found->second.peerOpen = std::max(0, found->second.peerOpen + change);
}

bool ServerRegistry::hasAnnouncedLeaving(const ServerInstance& instance) const
{
    return std::find(leavingInstances_.begin(), leavingInstances_.end(), instance) != leavingInstances_.end();
}

void ServerRegistry::rememberRemoved(const ServerInstance& instance)
{
    removedInstances_.push_back(instance);
    if (removedInstances_.size() > MAX_LEAVING_INSTANCES)
        removedInstances_.pop_front();
}

void ServerRegistry::forgetRemoved(const ServerInstance& instance)
{
    removedInstances_.erase(
        std::remove(removedInstances_.begin(), removedInstances_.end(), instance), removedInstances_.end());
}

/// Returns whether a restored entry may be older than the knowledge that its server leaves or was removed.
bool ServerRegistry::isContradicted(const ServerEntry& entry, const Server& known) const
{
    const bool wasLeaving
        = known.key != routing::NO_NODE && known.entry.instance() == entry.instance() && known.entry.isLeaving;
    return wasLeaving
        || std::find(removedInstances_.begin(), removedInstances_.end(), entry.instance()) != removedInstances_.end();
}

void ServerRegistry::purgeRemoved()
{
    for (auto it = servers_.begin(); it != servers_.end();) {
        const Server& server = it->second;
        const bool isGone = server.removedAt && !server.mayHaveExpired;
        it = isGone && server.localOpen == 0 ? servers_.erase(it) : std::next(it);
    }
}

void ServerRegistry::markReachable(Server& server, loop::TimeMs now)
{
    if (server.connectFailures > 0)
        server.mayBeColdSince = now;
    server.connectFailures = 0;
}

int ServerRegistry::openAtPeers(NodeKey server) const
{
    int sum = 0;
    for (const auto& [peer, open] : peerOpen_) {
        const auto known = open.find(server);
        sum += known == open.end() ? 0 : known->second;
    }
    return sum;
}

void ServerRegistry::decayWeights(Server& server, loop::TimeMs now) const
{
    const double halvings
        = static_cast<double>(now - server.weightsUpdatedAt) / static_cast<double>(HEALTH_HALF_LIFE_MS);
    const double factor = std::exp2(-std::max(0.0, halvings));
    server.failureWeight *= factor;
    server.outcomeWeight *= factor;
    server.weightsUpdatedAt = now;
}

bool ServerRegistry::failsMoreThanService(const Server& server, loop::TimeMs now) const
{
    if (server.outcomeWeight < MIN_OUTCOME_WEIGHT || server.failureWeight / server.outcomeWeight < MIN_FAILURE_SHARE)
        return false;
    double failureWeight = 0;
    double outcomeWeight = 0;
    for (const auto& [key, other] : servers_) {
        if (other.entry.service != server.entry.service || key == server.key)
            continue;
        Server weighed = other;
        decayWeights(weighed, now);
        failureWeight += weighed.failureWeight;
        outcomeWeight += weighed.outcomeWeight;
    }
    const double othersShare = outcomeWeight > 0 ? failureWeight / outcomeWeight : 0;
    return server.failureWeight / server.outcomeWeight > FAILURE_SHARE_FACTOR * othersShare;
}

} // namespace goldcrestcleat::upstreams
