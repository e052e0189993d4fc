#pragma once

#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/routing/Keys.h"
#include "goldcrestcleat/upstreams/Outcome.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::upstreams {

/// What a server says of itself where servers register.
struct ServerEntry {
    std::string id; ///< names one start of a server, as a rule
    std::string service;
    std::string address;
    std::string dataCentre;
    int slots = 1; ///< requests worked on at once
    bool isLeaving = false; ///< takes no new work
    bool isEngine = false; ///< runs models
    std::int64_t bornMs = 0; ///< Unix time of its start; tells two starts under one id apart; 0 when not stated

    friend bool operator==(const ServerEntry& a, const ServerEntry& b)
    {
        return a.id == b.id && a.service == b.service && a.address == b.address && a.dataCentre == b.dataCentre
            && a.slots == b.slots && a.isLeaving == b.isLeaving && a.isEngine == b.isEngine && a.bornMs == b.bornMs;
    }
};

/// A server with all that this daemon and its peers saw of it.
struct Server {
    routing::NodeKey key = routing::NO_NODE;
    ServerEntry entry;
    int ownOpen = 0; ///< requests that this daemon has open there
    int peerOpen = 0; ///< requests that the peers reported
    double bad = 0; ///< failures, each worth half as much after HEALTH_HALF_LIFE_MS
    double total = 0; ///< all outcomes, weighted likewise
    loop::TimeMs weighedAt = 0;
    int unreachable = 0; ///< connections that failed since one opened
    loop::TimeMs avoidUntil = 0; ///< gets no work before this time if another server can take it
    loop::TimeMs checkAt = 0; ///< when to look whether an unreachable server is back
    std::optional<loop::TimeMs> vanishedAt; ///< when its entry vanished
    loop::TimeMs keptUntil = 0; ///< until then a vanished server is used like the others
    bool mayHaveLapsed = false; ///< a vanished server that may still be there

    int load() const { return ownOpen + peerOpen; }
    bool isAvoided(loop::TimeMs now) const { return avoidUntil > now || unreachable > 0; }
};

/// What is known when entries vanish from the list of servers.
struct VanishRule {
    bool mayHaveLapsed
        = false; ///< the store was away lately, so that entries may have lapsed though their servers live
    loop::TimeMs leavesMs = 0; ///< bound after which a server that left gets no request
};

/// All servers of all services; decides which of them may take new work.
class ServerBook {
public:
    /// Time after which an outcome counts half; long enough for some tens of requests at a few a second.
    static constexpr loop::TimeMs HEALTH_HALF_LIFE_MS = 2'000;

    /// Lapsed entries are back two seconds after the store's return, as the platform's pages say, and learned then.
    static constexpr loop::TimeMs LAPSED_MS = 2'500;

    /// Takes over an entry that is new or has changed; true when it tells of a new start of a known server.
    bool put(const ServerEntry& entry, loop::TimeMs now);

    /// Drops a server at once, as when its entry can't be read any more.
    void remove(const std::string& id);

    /// Takes over that entries have vanished together.
    ///
    /// Entries also lapse while the store is away. When that may be, or when half of a service vanishes at once, the
    /// servers stay in use for less than the bound on servers that left, and after that as a last resort until their
    /// entries should be back.
    void vanish(const std::vector<std::string>& ids, const VanishRule& rule, loop::TimeMs now);

    /// Says whether the store is away now, as far as is known; it is not when unset.
    std::function<bool()> isStoreAway;

    /// Returns the servers of a service that may take new work, in key order. Complexity: O(servers of the service).
    ///
    /// A server that could not be reached is left out until a connection has opened, if there are others.
    std::vector<const Server*> usable(const std::string& service, loop::TimeMs now) const;

    /// Returns a server that is listed, or null.
    const Server* find(routing::NodeKey key) const;

    /// Counts a request that begins or ends at a server; unknown servers are ignored.
    void open(routing::NodeKey key);
    void close(routing::NodeKey key);

    /// Sets all that one peer has open, by server.
    void setPeerLoads(routing::NodeKey peer, const std::vector<std::pair<routing::NodeKey, int>>& open);

    /// Forgets a peer whose link went down.
    void forgetPeer(routing::NodeKey peer);

    /// Records that a connection to a server opened again.
    void onReached(routing::NodeKey key);

    /// Records how a request ended; a server that fails more often than its service as a whole is avoided for a time.
    void record(routing::NodeKey key, Outcome outcome, loop::TimeMs now);

    /// Own open requests by server, of all servers that have some.
    std::vector<std::pair<routing::NodeKey, int>> ownOpen() const;

    const std::map<routing::NodeKey, Server>& all() const { return servers_; }

private:
    static constexpr loop::TimeMs NEVER = -1'000'000'000;

    void setPeerOpen(routing::NodeKey peer, routing::NodeKey server, int open);
    int reportedOpen(routing::NodeKey server) const;
    bool isLastResort(const Server& server, loop::TimeMs now) const;
    std::size_t countListed(const std::string& service) const;
    void forgetVanished(loop::TimeMs now);
    void weigh(Server& server, loop::TimeMs now) const;
    bool failsMoreThanService(const Server& server, loop::TimeMs now) const;

    std::map<routing::NodeKey, Server> servers_;
    mutable loop::TimeMs storeSeenAwayAt_ = NEVER;
    std::unordered_map<routing::NodeKey, std::map<routing::NodeKey, int>> peerOpen_; // by peer, then by server
};

} // namespace goldcrestcleat::upstreams
