#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/fleet/PeerLinks.h"
#include "goldcrestcleat/fleet/SharedTables.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// The daemons that find each other through the store, and what they tell each other on peer links.
///
/// Each daemon writes one row when it starts at a new address, reads the others' rows and dials them; the peers learn
/// of it from its hello. Who is alive is told by the links. Rows are renewed now and then, so that those of VMs that
/// are gone for good can be told from others and removed. The secret that links are proved with lies in the same table.
class Membership {
public:
    /// Time between two renewals of a row; with a read and a write each, 330 daemons make 2.2 calls a second.
    static constexpr loop::TimeMs RENEWAL_MS = 300'000;

    /// A daemon that did not renew its row for so many renewals of another one is gone, unless its link is up.
    static constexpr int MISSED_RENEWALS = 3;

    struct Hooks {
        std::function<void()> onPeersChanged; ///< a peer came, left or changed its state
        std::function<void(routing::NodeKey server)> onServerLost; ///< a peer can't reach a server any more
    };

    Membership(loop::EventLoop& loop, const settings::FrontSettings& settings, const observe::Log& log,
        const store::RowStore& store, upstreams::ServerRegistry& servers, admission::Quarantine& quarantine,
        Hooks hooks, loop::TimeMs renewalMs = RENEWAL_MS);

    /// Reads the table, joins it and opens the links. Throws Error with AddressInUse.
    void start();

    /// Makes a watched table one that the daemons keep up to date together.
    void share(store::TableWatcher& watcher) { tables_.add(watcher); }

    void setReady(bool isReady);
    void beginLeaving();

    /// Tells the peers that a server can't be reached any more.
    void reportLost(routing::NodeKey server) { links_.broadcast(LostServers { { server } }); }

    /// Records a crash here and at the peers.
    void report(const admission::Suspicion& suspicion);

    /// Forgets the crashes of a request here and at the peers.
    void forgive(admission::Fingerprint fingerprint);

    /// Returns the callers' addresses of all daemons that take requests, this one among them if it does.
    std::vector<std::string> entryAddresses() const;

    /// True when a peer that is up reports that the store does not answer it.
    bool hasPeerWithoutStore() const { return tables_.hasPeerWithoutStore(); }

    /// Returns the time between two messages of loads to a peer.
    static loop::TimeMs loadsPeriodMs(std::size_t peers);

    /// Number of daemons that are known, this one among them. Those that can't be reached count: they may be serving
    /// their own callers, and what all share must be divided by all.
    int size() const;

    /// Number of peers whose link is up, and the age of the oldest report of one of them, in ms.
    int peersUp() const;
    loop::TimeMs oldestReportMs() const;

    std::uint64_t bytes() const { return links_.rawBytes(); }

private:
    using Rows = std::vector<store::VersionedRow>;

    struct Renewals {
        std::uint64_t version = 0;
        int missed = 0; // own renewals since the row changed
    };

    void readTable();
    void onTable(const Rows& rows);
    void join(const std::string& secret, bool isNewSecret, std::uint64_t ownVersion);
    void openLinks();
    void learnPeer(const store::VersionedRow& row);
    void renewLater();
    void renew();
    void renewAmong(const Rows& rows);
    bool isGone(const store::VersionedRow& row);
    void forgetUnlisted(const Rows& rows);
    void removeRow(const store::VersionedRow& row);
    std::string ownKey() const;
    void onMessage(const Peer& peer, const PeerMessage& message);
    void onUp(const Peer& peer);
    void onDown(const Peer& peer);
    void sendRoster(routing::NodeKey peer);
    void sendLoads();
    ServerLoads currentLoads() const;
    void onLoads(const Peer& peer, const ServerLoads& loads);
    std::vector<routing::NodeKey> peersWithLinks() const;

    loop::EventLoop& loop_;
    const settings::FrontSettings& settings_;
    const observe::Log& log_;
    const store::RowStore& store_;
    upstreams::ServerRegistry& servers_;
    admission::Quarantine& quarantine_;
    Hooks hooks_;
    settings::Settings identity_; // what the links need to know of this daemon
    PeerLinks links_;
    SharedTables tables_;
    bool toldMayLead_ = true;
    std::size_t nextTold_ = 0; // rotates over the peers
    double turns_ = 0; // peers that are due to hear the loads
    loop::TimeMs busyAt_ = 0; // when requests were open last
    std::map<std::string, Renewals> renewals_; // by key of the row
    const loop::TimeMs renewalMs_;
    bool linksOpen_ = false;
    bool isReady_ = false;
    bool isLeaving_ = false;
};

} // namespace goldcrestcleat::fleet
