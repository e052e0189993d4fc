#include "goldcrestcleat/upstreams/ServerBook.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace goldcrestcleat::upstreams {

using routing::NodeKey;

namespace {

    // First time for which a server is avoided after a failed connection; doubled with each further one. A server that
    // crashed is back after some seconds.
    constexpr loop::TimeMs FIRST_AVOID_MS = 250;
    constexpr int MAX_AVOID_DOUBLINGS = 4;

    // A server is avoided when its share of failures is this many times that of its service, given enough outcomes.
    constexpr double SUSPECT_FACTOR = 2.5;
    constexpr double SUSPECT_SHARE = 0.25;
    constexpr double MIN_OUTCOMES = 4;
    constexpr loop::TimeMs SUSPECT_AVOID_MS = 1'500;

    // A request is on its way for some time after it was placed: a connection may have to be opened first.
    constexpr loop::TimeMs ON_ITS_WAY_MS = 500;

} // namespace

loop::TimeMs keptUntil(loop::TimeMs now, loop::TimeMs lapsedUntil, loop::TimeMs leavesMs)
{
    const loop::TimeMs latest = now + std::max<loop::TimeMs>(0, leavesMs - ON_ITS_WAY_MS);
    return std::clamp(lapsedUntil, now, latest);
}

void ServerBook::put(const ServerEntry& entry, loop::TimeMs now)
{
    const NodeKey key = routing::nodeKey(entry.id);
    Server& server = servers_[key];
    const bool isNewStart = server.key == routing::NO_NODE || server.entry.bornMs != entry.bornMs
        || server.entry.address != entry.address;
    if (isNewStart) {
        const int ownOpen = server.ownOpen;
        server = Server();
        server.ownOpen = ownOpen;
        server.peerOpen = reportedOpen(key);
        server.weighedAt = now;
    }
    server.key = key;
    server.entry = entry;
    server.vanishesAt.reset();
}

void ServerBook::remove(const std::string& id, loop::TimeMs now, loop::TimeMs keepUntil)
{
    const auto found = servers_.find(routing::nodeKey(id));
    if (found == servers_.end())
        return;
    if (keepUntil > now)
        found->second.vanishesAt = keepUntil;
    else
        servers_.erase(found);
}

std::vector<const Server*> ServerBook::usable(const std::string& service, loop::TimeMs now) const
{
    std::vector<const Server*> preferred;
    std::vector<const Server*> avoided;
    for (const auto& [key, server] : servers_) {
        if (server.entry.service != service || server.entry.isLeaving)
            continue;
        if (server.vanishesAt && *server.vanishesAt <= now)
            continue;
        (server.avoidUntil > now ? avoided : preferred).push_back(&server);
    }
    return preferred.empty() ? avoided : preferred;
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

void ServerBook::forgetPeer(NodeKey peer)
{
    const auto known = peerOpen_.find(peer);
    if (known == peerOpen_.end())
        return;
    const auto open = known->second;
    for (const auto& [server, count] : open)
        setPeerOpen(peer, server, 0);
    peerOpen_.erase(peer);
}

void ServerBook::record(NodeKey key, Outcome outcome, loop::TimeMs now)
{
    const auto found = servers_.find(key);
    if (found == servers_.end())
        return;
    Server& server = found->second;
    if (outcome == Outcome::Unreachable) {
        const int doublings = std::min(server.unreachable, MAX_AVOID_DOUBLINGS);
        ++server.unreachable;
        server.avoidUntil = std::max(server.avoidUntil, now + (FIRST_AVOID_MS << doublings));
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
