#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/fleet/PeerLinks.h"
#include "goldcrestcleat/fleet/SharedQuarantine.h"
#include "goldcrestcleat/fleet/SharedTables.h"
#include "goldcrestcleat/fleet/VerdictRows.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// Discovers the other daemons through the store and exchanges state with them on peer links.
///
/// Each daemon writes one row when it starts at a new address, reads the rows of the others and dials them; they learn
/// about it from its hello message. Liveness is determined by the links. Rows are renewed periodically, so that those
/// of VMs that were removed permanently can be detected and deleted. The secret that authenticates links is stored in
/// the same table.
class Membership {
public:
    /// Interval between two renewals of a row. Each takes a read and a write, so 330 daemons make 2.2 calls per second.
    static constexpr loop::TimeMs RENEWAL_MS = 300'000;

    /// A row expires when it stays unchanged during this many renewals by the observing daemon, unless the link to its
    /// daemon is up.
    static constexpr int MISSED_RENEWALS = 3;

    struct Hooks {
        std::function<void()> onPeersChanged; ///< a peer was added, removed or changed its state
        std::function<void(routing::NodeKey server)> onServerUnreachable; ///< a peer can no longer reach a server
        std::function<std::vector<std::pair<routing::NodeKey, double>>()>
            slowServers {}; ///< returns the servers that this daemon observes to be slow, and how slow; may be unset
        std::function<void(routing::NodeKey server, double slowness)>
            onSlowServer {}; ///< a peer observes a slow server
        std::function<void(admission::Fingerprint)> onBan {}; ///< requests are refused from now on; may be unset
        std::function<void(const admission::Verdict&)> onVerdict {}; ///< one is new or has changed; may be unset
        std::function<void()> onVerdictsLoaded {}; ///< the verdicts of the quarantine are known; may be unset
    };

    Membership(loop::EventLoop& loop, const settings::FrontSettings& settings, const observe::Log& log,
        const store::RowStore& store, upstreams::ServerRegistry& servers, admission::Quarantine& quarantine,
        Hooks hooks, loop::TimeMs renewalMs = RENEWAL_MS);

    /// Reads the table, writes its own row and opens the links. Throws Error with AddressInUse.
    void start();

    /// Adds a watched table to those whose changes the daemons forward to each other.
    void shareTable(store::TableWatcher& watcher) { tables_.add(watcher); }

    void setReady(bool isReady);
    void beginLeaving();

    /// Notifies the peers that a server can no longer be reached.
    void reportUnreachable(routing::NodeKey server) { links_.broadcast(UnreachableServers { { server } }); }

    /// Notifies the peers that a server has announced in a response that it leaves.
    void reportLeaving(const upstreams::ServerInstance& instance) { links_.broadcast(LeavingServers { { instance } }); }

    SharedQuarantine& quarantine() { return sharedQuarantine_; }

    /// True once the verdicts of the quarantine were read from the store or received from a ready peer.
    bool hasVerdicts() const { return hasVerdicts_; }

    /// Returns the addresses for callers of the daemons that accept requests, including this one if it does.
    ///
    /// Those in the preferred regions are returned if there are any, otherwise all.
    std::vector<std::string> entryAddresses(const std::vector<std::string>& preferredRegions = {}) const;

    /// Returns whether an entry that is missing may have expired in an outage of the store, and may still return.
    bool mayHaveExpired() { return tables_.mayHaveExpired(); }

    /// Returns whether a row that is missing since the store returned from an older copy may still be written again.
    bool mayBeRewritten() const { return tables_.mayBeRewritten(); }

    /// Returns how long the store has not been known to answer any daemon.
    loop::TimeMs storeUnansweredMs() const { return tables_.unansweredMs(); }

    /// Returns how current this daemon's copy of each table is.
    std::vector<SharedTables::TableStatus> tables() const { return tables_.status(); }

    /// Returns whether this daemon watches the tables for the others.
    bool isLeading() const { return tables_.isLeading(); }

    /// Returns the interval between two load messages to a peer.
    static loop::TimeMs loadsPeriodMs(std::size_t peers);

    /// Returns the mean age of the loads that the peers have reported.
    loop::TimeMs loadAgeMs() const { return loadsPeriodMs(links_.peers().size()) / 2; }

    /// Number of known daemons, including this one. Unreachable daemons count: they may still serve their own callers,
    /// and shared limits must be divided among all daemons.
    int size() const;

    /// Returns the keys of all known daemons, including this one; none before the first read of the table.
    std::vector<routing::NodeKey> daemons() const;

    /// Number of peers whose link is up.
    int peersUp() const;

    /// Longest time since a peer whose link is up last sent a message.
    loop::TimeMs oldestReportMs() const;

    std::uint64_t bytes() const { return links_.rawBytes(); }

private:
    using Rows = std::vector<store::VersionedRow>;

    struct RenewalState {
        std::uint64_t version = 0;
        int missed = 0; // own renewals since the row last changed
    };

    void readTable();
    void readRows(const std::string& fromKey, std::function<void(const std::optional<Rows>&)> onDone, Rows rows = {});
    void onTable(const Rows& rows);
    void join(const store::VersionedRow& secret, std::uint64_t ownVersion);
    void openLinks();
    void readVerdicts();
    void setVerdictsLoaded();
    void addPeer(const store::VersionedRow& row);
    void scheduleRenewal();
    void renew();
    void applyRenewal(const Rows& rows);
    bool checkExpired(const store::VersionedRow& row);
    void removeUnlisted(const Rows& rows);
    void removeRow(const store::VersionedRow& row);
    std::string ownKey() const;
    void onMessage(const Peer& peer, const PeerMessage& message);
    void onUp(const Peer& peer);
    void onDown(const Peer& peer);
    void sendState(routing::NodeKey peer);
    void sendLoads();
    ServerLoads currentLoads() const;
    void onLoads(const Peer& peer, const ServerLoads& loads);
    std::vector<routing::NodeKey> connectedPeers() const;

    loop::EventLoop& loop_;
    const settings::FrontSettings& settings_;
    const observe::Log& log_;
    const store::RowStore& store_;
    upstreams::ServerRegistry& servers_;
    Hooks hooks_;
    settings::Settings identity_; // the subset that the links use
    PeerLinks links_;
    SharedTables tables_;
    VerdictRows verdictRows_;
    SharedQuarantine sharedQuarantine_;
    bool reportedMayLead_ = true;
    bool reportedAnswers_ = false; // that the store answers this daemon's watch
    std::size_t nextRecipient_ = 0; // round robin over the peers
    double sendCredit_ = 0; // load messages that may be sent now; fractions accumulate
    loop::TimeMs lastBusyAt_ = 0; // when requests were last open
    std::map<std::string, RenewalState> renewals_; // by row key
    const loop::TimeMs renewalMs_;
    bool knowsDaemons_ = false; // the table was read
    bool linksOpen_ = false;
    bool hasVerdicts_ = false;
    bool isReady_ = false;
    bool isLeaving_ = false;
};

} // namespace goldcrestcleat::fleet
