#pragma once

#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/routing/Keys.h"
#include "goldcrestcleat/upstreams/Outcome.h"
#include "goldcrestcleat/upstreams/ServerEntry.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::upstreams {

/// A server with its entry, and the load and health that this daemon and its peers have observed.
struct Server {
    routing::NodeKey key = routing::NO_NODE;
    ServerEntry entry;
    int localOpen = 0; ///< open requests of this daemon
    int peerOpen = 0; ///< open requests reported by the peers
    double failureWeight = 0; ///< number of failures, decaying with HEALTH_HALF_LIFE_MS
    double outcomeWeight = 0; ///< number of all outcomes, decaying likewise
    loop::TimeMs weightsUpdatedAt = 0; ///< time up to which the weights have decayed
    int connectFailures = 0; ///< connections that failed since the last success
    loop::TimeMs avoidUntil = 0; ///< used only as a fallback until this time
    loop::TimeMs nextCheckAt = 0; ///< time of the next reachability check of an unreachable server
    std::optional<loop::TimeMs> removedAt; ///< when its entry was removed from the store
    bool mayHaveExpired = false; ///< its removed entry may have expired, so that the server stays in use
    bool hasAnnouncedLeaving = false; ///< stated in a response that it leaves
    loop::TimeMs backOffUntil = 0; ///< rejects requests of this daemon until this time
    bool isHeld = false; ///< gets no requests, as its entry may be outdated
    loop::TimeMs coldUntil = 0; ///< as its entry states
    std::optional<loop::TimeMs> mayBeColdSince; ///< may have turned cold then without its entry stating it

    int load() const { return localOpen + peerOpen; }
    bool isLeaving() const { return entry.isLeaving || hasAnnouncedLeaving; }
    bool isAvoided(loop::TimeMs now) const { return avoidUntil > now || connectFailures > 0; }

    /// Returns whether it is cold, or may be, if servers of its service stay cold for `coldMs`.
    bool isCold(loop::TimeMs now, loop::TimeMs coldMs) const
    {
        return coldUntil > now || (mayBeColdSince && *mayBeColdSince + coldMs > now);
    }
};

/// All servers of all services. Decides which of them may get new requests.
class ServerRegistry {
public:
    /// Time after which an outcome counts half; long enough to cover some tens of requests at a few per second.
    static constexpr loop::TimeMs HEALTH_HALF_LIFE_MS = 2'000;

    /// Adds or updates an entry. Returns true if a known server has been restarted.
    ///
    /// `isRestored` states that the entry may be older than what was known: a server that was known to leave or to be
    /// removed is then held, and gets no requests until another entry or `releaseHeld`.
    bool put(const ServerEntry& entry, loop::TimeMs now, bool isRestored = false);

    /// Records that an instance has announced in a response, to this daemon or a peer, that it leaves.
    ///
    /// It gets no new requests until its entry shows another start, even if the store still lists it as ready or lists
    /// it again. Returns false if that was known. Complexity: O(MAX_LEAVING_INSTANCES).
    bool markLeaving(const ServerInstance& instance);

    /// Returns the instances that have announced that they leave, the latest ones last.
    const std::deque<ServerInstance>& leavingInstances() const { return leavingInstances_; }

    /// Sends no request to a server until the given time, even if there is no other server.
    void backOff(routing::NodeKey key, loop::TimeMs until);

    /// Returns when the first of a service's servers that are backed off gets requests again; nothing if none is.
    std::optional<loop::TimeMs> backedOffUntil(const std::string& service, loop::TimeMs now) const;

    /// Sends no request to the servers of a data centre until `endEvacuation`. Returns false if it is evacuated
    /// already.
    bool beginEvacuation(const std::string& dataCentre) { return evacuated_.insert(dataCentre).second; }

    /// Uses the servers of a data centre again. They have been idle, so that each counts as cold for a time.
    bool endEvacuation(const std::string& dataCentre, loop::TimeMs now);

    const std::set<std::string>& evacuatedDataCentres() const { return evacuated_; }
    bool isEvacuated(const Server& server) const { return evacuated_.count(server.entry.dataCentre) > 0; }

    /// Maximum number of leaving and of removed instances that are remembered; the oldest are forgotten first.
    static constexpr std::size_t MAX_LEAVING_INSTANCES = 1'024;

    /// Removes a server immediately, for example because its entry has become invalid.
    void remove(const std::string& id);

    /// Handles entries that were removed from the store in one change.
    ///
    /// Their servers get no new requests from now on. Entries of running servers expire while the store is unavailable:
    /// if that is possible, servers that have not announced that they leave stay in use until `giveUpExpired`.
    void markRemoved(const std::vector<std::string>& ids, bool mayHaveExpired, loop::TimeMs now);

    /// Ends the use of the servers whose entries may have expired and did not return. Returns their ids.
    std::vector<std::string> giveUpExpired();

    /// Uses the servers that are held, as their entries have lasted. Returns their ids.
    std::vector<std::string> releaseHeld();

    /// Returns the servers of a service that may get new requests, in key order. Complexity: O(all servers).
    ///
    /// Servers that could not be reached are excluded until a connection succeeds, unless there are no others. Those of
    /// an evacuated data centre are excluded even then.
    std::vector<const Server*> usable(const std::string& service, loop::TimeMs now) const;

    /// Returns a known server, which includes one whose entry was removed recently, or null.
    const Server* find(routing::NodeKey key) const;

    /// Counts a request that starts or ends at a server. Unknown servers are ignored.
    void addRequest(routing::NodeKey key);
    void removeRequest(routing::NodeKey key);

    /// Replaces the counts of open requests of one peer, by server.
    void setPeerLoads(routing::NodeKey peer, const std::vector<std::pair<routing::NodeKey, int>>& open);

    /// Removes the counts of a peer that has disconnected.
    void removePeer(routing::NodeKey peer);

    /// Records a successful connection to a server. One that was unreachable may have been restarted, and be cold.
    void onConnected(routing::NodeKey key, loop::TimeMs now);

    /// Records an outcome. A server that fails more often than the others of its service is avoided for a time.
    void recordOutcome(routing::NodeKey key, Outcome outcome, loop::TimeMs now);

    /// Returns the open requests of this daemon, for each server that has any.
    std::vector<std::pair<routing::NodeKey, int>> localOpen() const;

    const std::map<routing::NodeKey, Server>& all() const { return servers_; }

private:
    void rememberRemoved(const ServerInstance& instance);
    void forgetRemoved(const ServerInstance& instance);
    bool isContradicted(const ServerEntry& entry, const Server& known) const;
    void setPeerOpen(routing::NodeKey peer, routing::NodeKey server, int open);
    int openAtPeers(routing::NodeKey server) const;
    bool hasAnnouncedLeaving(const ServerInstance& instance) const;
    void purgeRemoved();
    static void markReachable(Server& server, loop::TimeMs now);
    void decayWeights(Server& server, loop::TimeMs now) const;
    bool failsMoreThanService(const Server& server, loop::TimeMs now) const;

    std::map<routing::NodeKey, Server> servers_;
    std::set<std::string> evacuated_; // data centres
    std::deque<ServerInstance> removedInstances_; // whose entries were removed and are not back, the latest ones last
    std::deque<ServerInstance> leavingInstances_; // also those whose entries were removed, as they may be listed again
    std::unordered_map<routing::NodeKey, std::map<routing::NodeKey, int>> peerOpen_; // by peer, then by server
};

} // namespace goldcrestcleat::upstreams
