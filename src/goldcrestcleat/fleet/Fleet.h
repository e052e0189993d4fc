#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/fleet/ConfigBook.h"
#include "goldcrestcleat/fleet/ConfigStore.h"
#include "goldcrestcleat/fleet/Homes.h"
#include "goldcrestcleat/fleet/PeerLinks.h"
#include "goldcrestcleat/fleet/Tickets.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/routing/Placement.h"
#include "goldcrestcleat/upstreams/UpstreamDirectory.h"

namespace goldcrestcleat::fleet {

/// This daemon's part in the fleet: who is up, who is home of what, and what peers should hear.
class Fleet {
public:
    /// All references must outlive the fleet.
    Fleet(loop::EventLoop& loop, const settings::Settings& settings, const observe::Log& log,
        upstreams::UpstreamDirectory& directory, routing::LoadView& view, ConfigBook& book, ConfigStore& store,
        admission::Quarantine& quarantine);

    /// Opens the peer listener and starts heartbeats. Throws Error with AddressInUse.
    void start();

    Tickets& tickets() { return tickets_; }
    const PeerLinks& links() const { return links_; }
    const Homes& homes() const { return homes_; }

    routing::NodeKey self() const { return self_; }
    bool isHome(routing::NodeKey upstream) const { return homes_.homeOf(upstream) == self_; }

    /// Returns the VMs that callers may use for a chat, best first; leaving ones are left out.
    ///
    /// The first one is home of the engine that `hinted` names, that is remembered, or that hashing gives, so that
    /// the chat's ticket costs no message between daemons.
    std::vector<settings::EntryVm> entriesFor(const std::string& model, routing::ChatKey chat, routing::NodeKey hinted);

    /// True once the configuration was read from the table or, in an outage, agreed with every reachable peer.
    bool isReady() const { return isReady_; }

    bool isLeaving() const { return isLeaving_; }

    /// Begins a planned stop: leaves the entry lists and hands over its homes.
    void beginLeaving();

    /// Takes part in no planned stop any more.
    void cancelLeaving();

    /// Returns the engine that this daemon remembers for a chat, or NO_NODE.
    routing::NodeKey remembered(routing::ChatKey chat) { return memory_.find(chat); }

    /// Tells the chat's owners which engine served it, when that is not what hashing says.
    void remember(const std::string& model, routing::ChatKey chat, routing::NodeKey engine);

    /// Records crashes and tells the peers.
    void suspect(const std::vector<admission::Suspicion>& suspicions);

    /// Tells the peers of an upstream that began to leave, or of its going down or up.
    void announce(const upstreams::Upstream& upstream);

    /// Takes new upstreams into account.
    void onUpstreamsChanged() { tickets_.onHomesChanged(engineKeys()); }

    /// Drops all links after a pause in which peers may have taken over this daemon's part.
    void onResume();

    /// Called when an item of the configuration was accepted here, to be told to the peers at once.
    void announceConfig(const ConfigBook::Item& item);

    std::size_t rememberedChats() const { return memory_.size(); }

private:
    void onMessage(const Peer& peer, const PeerMessage& message);
    void onLoads(const Peer& peer, const Loads& loads);
    void onRoster(const Peer& peer, const Roster& roster);
    void onStatus(const Status& status);
    void onConfigItems(const ConfigItems& items);
    void onUp(const Peer& peer);
    void onDown(const Peer& peer);
    void updateHomes();
    void updateReady();
    void sendHeartbeat();
    void tellFall();
    Loads changedLoads();
    Roster ownRoster() const;
    Loads allLoads() const;
    std::vector<routing::NodeKey> openEngines() const;
    void repairConfig();
    std::vector<routing::NodeKey> engineKeys() const;
    static Status statusOf(const upstreams::Upstream& upstream);

    loop::EventLoop& loop_;
    const settings::Settings& settings_;
    const observe::Log& log_;
    upstreams::UpstreamDirectory& directory_;
    routing::LoadView& view_;
    ConfigBook& book_;
    ConfigStore& store_;
    admission::Quarantine& quarantine_;
    routing::NodeKey self_;
    routing::ChatMemory memory_;
    Homes homes_;
    PeerLinks links_;
    Tickets tickets_;
    std::vector<routing::NodeKey> roster_; ///< engines in the order of their slots, as sent to the peers
    std::vector<int> sentLoads_; ///< by slot
    std::map<routing::NodeKey, std::vector<routing::NodeKey>> peerRosters_;
    std::uint32_t sentDigest_ = 0;
    loop::TimeMs lastHeartbeatAt_ = 0;
    bool flagsChanged_ = true;
    bool isReady_ = false;
    bool isLeaving_ = false;
};

} // namespace goldcrestcleat::fleet
