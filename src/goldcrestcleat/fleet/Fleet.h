#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/fleet/ConfigCache.h"
#include "goldcrestcleat/fleet/ConfigStore.h"
#include "goldcrestcleat/fleet/Ownership.h"
#include "goldcrestcleat/fleet/PeerLinks.h"
#include "goldcrestcleat/fleet/SharedQuarantine.h"
#include "goldcrestcleat/fleet/TicketManager.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/routing/Placement.h"
#include "goldcrestcleat/upstreams/UpstreamDirectory.h"

namespace goldcrestcleat::fleet {

/// This daemon's view of the fleet: which peers are up, which daemon owns which upstream, and the state that is
/// exchanged with the peers.
class Fleet {
public:
    /// All references must outlive the fleet.
    Fleet(loop::EventLoop& loop, const settings::Settings& settings, const observe::Log& log,
        upstreams::UpstreamDirectory& directory, routing::LoadView& view, ConfigCache& configCache, ConfigStore& store,
        admission::Quarantine& quarantine);

    /// Opens the peer listener and starts heartbeats. Throws Error with AddressInUse.
    void start();

    TicketManager& tickets() { return tickets_; }
    const PeerLinks& links() const { return links_; }
    const Ownership& ownership() const { return ownership_; }

    routing::NodeKey self() const { return self_; }
    bool isOwner(routing::NodeKey upstream) const { return ownership_.ownerOf(upstream) == self_; }

    /// Returns the VMs that callers may use for a chat, best first, without those that are leaving.
    ///
    /// The first one owns the engine that `preferredEngine` names, that is remembered for the chat or that hashing
    /// selects, so that granting the chat's ticket needs no message between daemons.
    std::vector<settings::EntryVm> entryVmsFor(
        const std::string& model, routing::ChatKey chat, routing::NodeKey preferredEngine);

    /// True once the configuration was read from the table or, in a table outage, matched that of all ready peers.
    bool isReady() const { return isReady_; }

    bool isLeaving() const { return isLeaving_; }

    /// Begins a planned stop: leaves the lists of entry VMs and hands over ownership of upstreams.
    void beginLeaving();

    /// Cancels a planned stop.
    void cancelLeaving();

    /// Returns the engine that this daemon remembers for a chat, or NO_NODE.
    routing::NodeKey rememberedEngine(routing::ChatKey chat) { return memory_.find(chat); }

    /// Informs the owners of the chat's hashed engine which engine served it, if that is not the expected one.
    void remember(const std::string& model, routing::ChatKey chat, routing::NodeKey engine);

    SharedQuarantine& quarantine() { return sharedQuarantine_; }

    /// Called when requests with a fingerprint are refused from now on.
    std::function<void(admission::Fingerprint)> onBan;

    /// Called when a verdict of the quarantine is new or has changed. May be unset.
    std::function<void(const admission::Verdict&)> onVerdict;

    /// Notifies the peers that an upstream began to leave, went down or came up.
    void announce(const upstreams::Upstream& upstream);

    /// Assigns owners to new upstreams.
    void onUpstreamsChanged() { tickets_.onOwnershipChanged(engineKeys()); }

    /// Drops all links after a pause of the process, during which peers may have taken over its upstreams.
    void onResume();

    /// Broadcasts a configuration item that was accepted by this daemon.
    void announceConfig(const ConfigCache::Item& item);

    std::size_t rememberedChats() const { return memory_.size(); }

private:
    void onMessage(const Peer& peer, const PeerMessage& message);
    void onLoads(const Peer& peer, const EngineLoads& loads);
    void onDaemonState(const Peer& peer, const DaemonState& state);
    void onStatus(const UpstreamStatus& status);
    void onConfigItems(const ConfigItems& items);
    void onUp(const Peer& peer);
    void onDown(const Peer& peer);
    void updateOwnership();
    void updateReady();
    void sendHeartbeat();
    void sendLoadDrop();
    EngineLoads changedLoads();
    DaemonState ownState() const;
    EngineLoads allLoads() const;
    std::vector<routing::NodeKey> ownedEngines() const;
    void repairConfig();
    SharedQuarantine::Hooks quarantineHooks();
    void saveVerdict(const admission::Verdict& verdict, const std::function<void(SaveOutcome)>& onDone);
    std::vector<routing::NodeKey> engineKeys() const;
    static UpstreamStatus statusOf(const upstreams::Upstream& upstream);

    loop::EventLoop& loop_;
    const settings::Settings& settings_;
    const observe::Log& log_;
    upstreams::UpstreamDirectory& directory_;
    routing::LoadView& view_;
    ConfigCache& configCache_;
    ConfigStore& store_;
    routing::NodeKey self_;
    routing::ChatAffinityCache memory_;
    Ownership ownership_;
    PeerLinks links_;
    TicketManager tickets_;
    SharedQuarantine sharedQuarantine_;
    std::vector<routing::NodeKey> ownedEngines_; ///< in slot order, as last sent to the peers
    std::vector<int> sentLoads_; ///< by slot
    std::map<routing::NodeKey, std::vector<routing::NodeKey>> peerEngines_;
    std::uint32_t sentDigest_ = 0;
    loop::TimeMs lastHeartbeatAt_ = 0;
    bool flagsChanged_ = true;
    bool isReady_ = false;
    bool isLeaving_ = false;
};

} // namespace goldcrestcleat::fleet
