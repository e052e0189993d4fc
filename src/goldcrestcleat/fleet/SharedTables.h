#pragma once

#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/store/OutageTracker.h"
#include "goldcrestcleat/store/TableWatcher.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// Store tables that are mirrored by all daemons and whose changes the daemons forward to each other.
///
/// A few daemons lead: they watch the tables and broadcast changes. Each load message states the newest row versions of
/// its sender; a daemon that is behind requests the rows from that peer, and reads from the store if that fails. A
/// version of a later era of the store is newer than any of an earlier one.
class SharedTables {
public:
    /// Interval between repairs: a fifth of the shortest permitted delay of a configuration change.
    static constexpr loop::TimeMs REPAIR_PERIOD_MS = 400;

    /// Time in which a broadcast change arrives, and in which a daemon that is behind therefore waits.
    static constexpr loop::TimeMs BROADCAST_MS = 150;

    /// Time after the start in which the links to the peers open. Peers that are only listed then count as connected,
    /// so that the daemons of a fleet that starts as a whole do not all watch the store.
    static constexpr loop::TimeMs SETTLING_MS = 2'000;

    struct Hooks {
        std::function<void(routing::NodeKey peer, const PeerMessage&)> send;
        std::function<void(const PeerMessage&)> broadcast;
        std::function<void()> sendLoads; ///< sends a load message to all peers now
        std::function<std::vector<routing::NodeKey>()> peersUp; ///< returns the peers whose links are up

        /// Receives what changes here, for the log, with the peer that is its source or NO_NODE; may be unset.
        std::function<void(const std::string& event, nlohmann::json fields, routing::NodeKey source)> onEvent {};
    };

    /// How current this daemon's copy of a table is.
    struct TableStatus {
        std::string table;
        store::StateVersion state; ///< up to which all changes are known
        std::uint64_t newestRow = 0; ///< newest version of any row
        loop::TimeMs behindMs = 0; ///< for how long a peer has been known to have newer rows; 0 if none has
    };

    SharedTables(const loop::EventLoop& loop, routing::NodeKey self, Hooks hooks);

    /// Adds a table; the watcher must outlive this object.
    void add(store::TableWatcher& watcher);

    /// Sets the peers that the store lists, before any link to them is open.
    void setListedPeers(std::vector<routing::NodeKey> peers);

    /// Fills in the state of the store and the newest row versions of this daemon.
    void fillStoreStatus(ServerLoads& loads) const;

    /// Records the peer's access to the store, and catches up if the peer has newer rows.
    void onPeerReport(routing::NodeKey peer, const ServerLoads& loads);

    /// Removes the state of a peer whose link went down.
    void removePeer(routing::NodeKey peer);

    /// Determines whether this daemon leads. Before the peers are known it does not, unless that takes too long.
    /// Complexity: O(peers).
    void updateLeading();

    /// Requests the changes of each table that is not current, from one peer each.
    void repair();

    void onRequest(routing::NodeKey peer, const MirrorRequest& request);
    void onRows(routing::NodeKey peer, const MirrorRows& rows);

    bool isLeading() const { return isLeading_; }

    /// Returns whether a row that is missing may have expired in an outage of the store, and may still return.
    ///
    /// A daemon that the store does not answer learns from the peers whether it answers them.
    bool mayHaveExpired();

    /// Returns whether a row that is missing since the store returned from an older copy may still be written again.
    bool mayBeRewritten() const { return outages_.mayBeRewritten(loop_.now()); }

    /// Returns the status of each table, by name.
    std::vector<TableStatus> status() const;

    /// Returns how long the store has not been known to answer any daemon.
    loop::TimeMs unansweredMs() const { return outages_.unansweredMs(loop_.now()); }

private:
    struct SharedTable {
        store::TableWatcher* watcher = nullptr;
        store::StateVersion newestRow; // the newest one that a peer has reported
        loop::TimeMs behindSince = 0; // since when a peer is known to have newer rows; 0 if none has
        loop::TimeMs requestedAt = 0; // when the newer rows were requested from a peer; 0 if they were not
        bool isBehindReported = false; // `onEvent` has been told that it is behind
    };

    /// A peer's access to the store as it last reported it.
    struct StoreStatus {
        bool storeAnswers = false;
        bool isWatchOverdue = false;
        bool isWatchAnswered = false;

        /// An overdue watch may have been disconnected without an error; another daemon leads until it is answered.
        bool mayLead() const { return storeAnswers && !isWatchOverdue; }
    };

    std::size_t countLeadersBefore() const;
    void observeStore();
    void forwardChanges(
        const SharedTable& shared, std::uint64_t afterVersion, const std::vector<store::VersionedRow>& changed);
    void setLeading(bool isLeading, std::size_t leadersBefore);
    void reportRows(const SharedTable& shared, std::size_t rows, routing::NodeKey source) const;
    void report(const std::string& event, nlohmann::json fields, routing::NodeKey source = routing::NO_NODE) const;
    void onStoreRestored(const SharedTable& shared, std::size_t changedRows);
    void catchUp(routing::NodeKey peer, SharedTable& shared, store::StateVersion newestRow);

    const loop::EventLoop& loop_;
    const routing::NodeKey self_;
    const loop::TimeMs startedAt_;
    Hooks hooks_;
    store::OutageTracker outages_;
    std::map<std::string, SharedTable> tables_; // by table
    std::map<routing::NodeKey, StoreStatus> storeStatus_; // by peer
    std::vector<routing::NodeKey> listedPeers_;
    bool knowsPeers_ = false;
    std::size_t nextPeer_ = 0; // round robin over the peers
    bool isLeading_ = false;
};

} // namespace goldcrestcleat::fleet
