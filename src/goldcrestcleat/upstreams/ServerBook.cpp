#include "goldcrestcleat/upstreams/ServerBook.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace goldcrestcleat::upstreams {

using routing::NodeKey;

namespace {

    // Time after a failed connection until the next one; doubled with each further one. A server that crashed is back
    // after some seconds.
    constexpr loop::TimeMs FIRST_CHECK_MS = 250;
    constexpr int MAX_CHECK_DOUBLINGS = 3;

    // A server is avoided when its share of failures is this many times that of its service, given enough outcomes.
    constexpr double SUSPECT_FACTOR = 2.5;
    constexpr double SUSPECT_SHARE = 0.25;
    constexpr double MIN_OUTCOMES = 4;
    constexpr loop::TimeMs SUSPECT_AVOID_MS = 1'500;

    // Longest time between a change in the store and the arrival of a request that was placed just before it was
    // learnt: changes are grouped for 200 ms and passed on, and a new connection is given 400 ms.
    constexpr loop::TimeMs ON_ITS_WAY_MS = 800;

} // namespace

bool ServerBook::put(const ServerEntry& entry, loop::TimeMs now)
{
    const NodeKey key = routing::nodeKey(entry.id);
    Server& server = servers_[key];
    const bool isKnown = server.key != routing::NO_NODE;
    const bool isNewStart = !isKnown || server.entry.bornMs != entry.bornMs || server.entry.address != entry.address;
    if (isNewStart) {
        const int ownOpen = server.ownOpen;
        server = Server();
        server.ownOpen = ownOpen;
        server.peerOpen = reportedOpen(key);
        server.weighedAt = now;
    }
    if (server.vanishedAt || server.entry.isLeaving)
        server.unreachable = 0; // it is listed again, which says more than what was seen before
    server.key = key;
    server.entry = entry;
    server.vanishedAt.reset();
    return isKnown && isNewStart;
}

void ServerBook::remove(const std::string& id) { servers_.erase(routing::nodeKey(id)); }

void ServerBook::vanish(const std::vector<std::string>& ids, const VanishRule& rule, loop::TimeMs now)
{
    forgetVanished(now);
    std::map<std::string, std::size_t> listedBefore;
    std::map<std::string, std::vector<Server*>> gone;
    for (const auto& id : ids) {
        const auto found = servers_.find(routing::nodeKey(id));
        if (found == servers_.end() || found->second.vanishedAt)
            continue;
        const std::string& service = found->second.entry.service;
        if (listedBefore.count(service) == 0)
            listedBefore[service] = countListed(service);
        found->second.vanishedAt = now;
        gone[service].push_back(&found->second);
    }
    for (const auto& [service, servers] : gone) {
        const bool isHalf = servers.size() > 1 && 2 * servers.size() >= listedBefore[service];
        for (auto* server : servers) {
            // A server that had announced its end has not lapsed.
            server->mayHaveLapsed = (rule.mayHaveLapsed || isHalf) && !server->entry.isLeaving;
            server->keptUntil
                = server->mayHaveLapsed ? now + std::max<loop::TimeMs>(0, rule.leavesMs - ON_ITS_WAY_MS) : now;
        }
    }
}

std::vector<const Server*> ServerBook::usable(const std::string& service, loop::TimeMs now) const
{
    std::vector<const Server*> preferred;
    std::vector<const Server*> avoided;
    std::vector<const Server*> lastResort;
    if (isStoreAway && isStoreAway())
        storeSeenAwayAt_ = now;
    for (const auto& [key, server] : servers_) {
        if (server.entry.service != service || server.entry.isLeaving)
            continue;
        if (!server.vanishedAt || now < server.keptUntil)
            (server.isAvoided(now) ? avoided : preferred).push_back(&server);
        else if (isLastResort(server, now))
            lastResort.push_back(&server);
    }
    if (!preferred.empty())
        return preferred;
    return avoided.empty() ? lastResort : avoided;
}

const Server* ServerBook::find(NodeKey key) const
{
    const auto found = servers_.find(key);
    return found == servers_.end() ? nullptr : &found->second;
}

void ServerBook::open(NodeKey key)
{
    const auto found = servers_.find(key);
    if (found != servers_.end())
        ++found->second.ownOpen;
}

void ServerBook::close(NodeKey key)
{
    const auto found = servers_.find(key);
    if (found != servers_.end() && found->second.ownOpen > 0)
        --found->second.ownOpen;
}

void ServerBook::setPeerLoads(NodeKey peer, const std::vector<std::pair<NodeKey, int>>& open)
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

void ServerBook::forgetPeer(NodeKey peer)
{
    setPeerLoads(peer, {});
    peerOpen_.erase(peer);
}

void ServerBook::onReached(NodeKey key)
{
    const auto found = servers_.find(key);
    if (found != servers_.end())
        found->second.unreachable = 0;
}

void ServerBook::record(NodeKey key, Outcome outcome, loop::TimeMs now)
{
    const auto found = servers_.find(key);
    if (found == servers_.end())
        return;
    Server& server = found->second;
    if (outcome == Outcome::Unreachable) {
        const int doublings = std::min(server.unreachable, MAX_CHECK_DOUBLINGS);
        ++server.unreachable;
        server.checkAt = now + (FIRST_CHECK_MS << doublings);
        return;
    }
    server.unreachable = 0;
    weigh(server, now);
    server.total += 1;
    if (outcome == Outcome::Answered)
        return;
    server.bad += 1;
    if (failsMoreThanService(server, now))
        server.avoidUntil = std::max(server.avoidUntil, now + SUSPECT_AVOID_MS);
    assert(server.bad <= server.total + 1e-6);
}

std::vector<std::pair<NodeKey, int>> ServerBook::ownOpen() const
{
    std::vector<std::pair<NodeKey, int>> open;
    for (const auto& [key, server] : servers_) {
        if (server.ownOpen > 0)
            open.emplace_back(key, server.ownOpen);
    }
    return open;
}

// ---- private ----

void ServerBook::setPeerOpen(NodeKey peer, NodeKey server, int open)
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

bool ServerBook::isLastResort(const Server& server, loop::TimeMs now) const
{
    const loop::TimeMs since = std::max(*server.vanishedAt, storeSeenAwayAt_);
    return server.mayHaveLapsed && now - since < LAPSED_MS;
}

std::size_t ServerBook::countListed(const std::string& service) const
{
    return static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [&](const auto& item) {
        const Server& server = item.second;
        return server.entry.service == service && !server.entry.isLeaving && !server.vanishedAt;
    }));
}

void ServerBook::forgetVanished(loop::TimeMs now)
{
    for (auto it = servers_.begin(); it != servers_.end();) {
        const Server& server = it->second;
        const bool isGone = server.vanishedAt && now >= server.keptUntil && !isLastResort(server, now);
        it = isGone && server.ownOpen == 0 ? servers_.erase(it) : std::next(it);
    }
}

int ServerBook::reportedOpen(NodeKey server) const
{
    int sum = 0;
    for (const auto& [peer, open] : peerOpen_) {
        const auto known = open.find(server);
        sum += known == open.end() ? 0 : known->second;
    }
    return sum;
}

void ServerBook::weigh(Server& server, loop::TimeMs now) const
{
    const double halvings = static_cast<double>(now - server.weighedAt) / static_cast<double>(HEALTH_HALF_LIFE_MS);
    const double factor = std::exp2(-std::max(0.0, halvings));
    server.bad *= factor;
    server.total *= factor;
    server.weighedAt = now;
}

bool ServerBook::failsMoreThanService(const Server& server, loop::TimeMs now) const
{
    if (server.total < MIN_OUTCOMES || server.bad / server.total < SUSPECT_SHARE)
        return false;
    double bad = 0;
    double total = 0;
    for (const auto& [key, other] : servers_) {
        if (other.entry.service != server.entry.service || key == server.key)
            continue;
        Server weighed = other;
        weigh(weighed, now);
        bad += weighed.bad;
        total += weighed.total;
    }
    const double othersShare = total > 0 ? bad / total : 0;
    return server.bad / server.total > SUSPECT_FACTOR * othersShare;
}

} // namespace goldcrestcleat::upstreams
