#pragma once

#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/store/TableWatcher.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// Watched tables of the store that the daemons keep up to date together.
///
/// A few daemons lead: they watch the tables and pass small changes on. Each message of loads names the newest rows
/// that its sender has; who is behind asks the store, or a peer while the store does not answer.
class SharedTables {
public:
    /// Period of repairs, in ms: a fifth of the shortest bound on configuration.
    static constexpr loop::TimeMs REPAIR_PERIOD_MS = 400;

    struct Hooks {
        std::function<void(routing::NodeKey peer, const PeerMessage&)> send;
        std::function<void(const PeerMessage&)> broadcast;
        std::function<void()> announce; ///< tells all peers now what they hear with each message of loads
        std::function<std::vector<routing::NodeKey>()> peersUp; ///< peers whose links are up
    };

    SharedTables(const loop::EventLoop& loop, routing::NodeKey self, Hooks hooks);

    /// Adds a table; the watcher must outlive this object.
    void add(store::TableWatcher& watcher);

    /// Fills in what peers are told of the store and the own rows.
    void describe(ServerLoads& loads) const;

    /// Takes over what a peer tells of the store and its rows, and catches up with it.
    void onPeerReport(routing::NodeKey peer, const ServerLoads& loads);

    /// Forgets a peer whose link went down.
    void forgetPeer(routing::NodeKey peer);

    /// Decides anew whether this daemon leads. Complexity: O(peers).
    void updateLeading();

    /// Asks one peer for the changes of each table that the store does not answer for.
    void repair();

    void onAsk(routing::NodeKey peer, const MirrorAsk& ask);
    void onRows(routing::NodeKey peer, const MirrorRows& rows);

    bool isLeading() const { return isLeading_; }

    /// True when a peer that is up reports that the store does not answer it.
    bool hasPeerWithoutStore() const;

private:
    struct Shared {
        store::TableWatcher* watcher = nullptr;
        loop::TimeMs behindSince = 0; // when a peer was first known to have newer rows; 0 when none has
    };

    /// What a peer reported of its contact to the store.
    struct Contact {
        bool storeAnswers = false;
        bool isWatchOverdue = false;

        /// A late answer may mean that the watch was cut off without an error; another one leads until it is there.
        bool mayLead() const { return storeAnswers && !isWatchOverdue; }
    };

    void passOn(const std::string& table, std::uint64_t afterVersion, const store::RowChanges& changes);
    void catchUp(routing::NodeKey peer, Shared& shared, std::uint64_t newestRow);
    loop::TimeMs lapsedMs(const store::TableWatcher& watcher) const;

    const loop::EventLoop& loop_;
    const routing::NodeKey self_;
    Hooks hooks_;
    std::map<std::string, Shared> shared_; // by table
    std::map<routing::NodeKey, Contact> contacts_; // by peer
    std::size_t nextAsked_ = 0; // rotates over the peers
    bool isLeading_ = false;
};

} // namespace goldcrestcleat::fleet
