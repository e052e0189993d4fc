#include "goldcrestcleat/fleet/Fleet.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using routing::NO_NODE;
using routing::NodeKey;

namespace {

    constexpr loop::TimeMs LOADS_PERIOD_MS = 100;
    constexpr loop::TimeMs HEARTBEAT_MS = 500; // when no load has changed
    constexpr loop::TimeMs ADMISSION_TICK_MS = 20;
    constexpr double LOAD_DROP_RATIO = 0.8; // of the total sent last; loads are sent immediately at or below this
    constexpr loop::TimeMs SHED_PERIOD_MS = 25;
    constexpr loop::TimeMs REPAIR_PERIOD_MS = 1'000;

} // namespace

Fleet::Fleet(loop::EventLoop& loop, const settings::Settings& settings, const observe::Log& log,
    upstreams::UpstreamDirectory& directory, routing::LoadView& view, ConfigCache& configCache, ConfigStore& store,
    admission::Quarantine& quarantine)
    : loop_(loop)
    , settings_(settings)
    , log_(log)
    , directory_(directory)
    , view_(view)
    , configCache_(configCache)
    , store_(store)
    , self_(routing::nodeKey(settings.self.id))
    , memory_(settings.routing.chatMemoryBytes)
    , links_(loop, settings,
          { [this](const Peer& peer, const PeerMessage& message) { onMessage(peer, message); },
              [this](const Peer& peer) { onUp(peer); }, [this](const Peer& peer) { onDown(peer); },
              [this](const std::string& peer, const std::string& reason) {
                  log_.warn("peer-rejected",
                      { { "peer", peer }, { "reason", reason },
                          { "code", static_cast<int>(errors::ResultCode::PeerRejected) } });
              } })
    , tickets_(
          loop, self_, links_, ownership_, view, memory_, { settings.routing.loadBound, settings.routing.admitFactor })
    , sharedQuarantine_(loop, log, quarantine, settings.self.id, quarantineHooks())
{
    ownership_.setDaemons({ self_ });
}

void Fleet::start()
{
    links_.start();
    updateOwnership();
    loop_.every(LOADS_PERIOD_MS, [this] { sendHeartbeat(); });
    loop_.every(ADMISSION_TICK_MS, [this] {
        tickets_.tick();
        sendLoadDrop();
    });
    loop_.every(SHED_PERIOD_MS, [this] { tickets_.shedOverload(); });
    loop_.every(REPAIR_PERIOD_MS, [this] { repairConfig(); });
    store_.onPolled = [this] { updateReady(); };
    sharedQuarantine_.start();
}

std::vector<settings::EntryVm> Fleet::entryVmsFor(
    const std::string& model, routing::ChatKey chat, NodeKey preferredEngine)
{
    std::vector<settings::EntryVm> entries;
    routing::PlacementQuery query;
    query.chat = chat;
    query.model = model;
    query.preferredEngine = preferredEngine;
    query.rememberedEngine = memory_.find(chat);
    std::mt19937_64 unused;
    const NodeKey engine = routing::choosePlacement(view_, query, unused).engine;
    for (const NodeKey daemon : ownership_.ranked(engine)) {
        if (daemon == self_)
            entries.push_back(settings_.self);
        else if (const Peer* peer = links_.find(daemon))
            entries.push_back(peer->vm);
    }
    return entries;
}

void Fleet::beginLeaving()
{
    isLeaving_ = true;
    flagsChanged_ = true;
    sendHeartbeat();
    updateOwnership();
}

void Fleet::cancelLeaving()
{
    isLeaving_ = false;
    flagsChanged_ = true;
    sendHeartbeat();
    updateOwnership();
}

void Fleet::remember(const std::string& model, routing::ChatKey chat, NodeKey engine)
{
    const NodeKey hashed = view_.hashedEngine(model, chat);
    const NodeKey known = memory_.find(chat);
    // A chat on its hashed engine needs no entry, unless an existing entry names another engine.
    const NodeKey expected = known == NO_NODE ? hashed : known;
    if (engine == expected)
        return;
    memory_.put(chat, engine);
    for (const NodeKey owner : { ownership_.ownerOf(hashed), ownership_.backupOwnerOf(hashed) }) {
        if (owner != self_ && owner != NO_NODE)
            links_.send(owner, RememberChat { chat, engine });
    }
}

void Fleet::announce(const upstreams::Upstream& upstream) { links_.broadcast(statusOf(upstream)); }

void Fleet::onResume()
{
    log_.warn("resumed-after-pause", { { "vm", settings_.self.id } });
    links_.dropAll("paused for too long");
    updateOwnership();
}

void Fleet::announceConfig(const ConfigCache::Item& item) { links_.broadcast(ConfigItems { { item } }); }

// ---- private: messages ----

void Fleet::onMessage(const Peer& peer, const PeerMessage& message)
{
    const NodeKey key = peer.key;
    if (const auto* acquire = std::get_if<AcquireTicket>(&message))
        tickets_.onAcquire(key, *acquire);
    else if (const auto* reply = std::get_if<TicketReply>(&message))
        tickets_.onReply(key, *reply);
    else if (const auto* release = std::get_if<ReleaseTicket>(&message))
        tickets_.onRelease(key, *release);
    else if (const auto* held = std::get_if<HeldTickets>(&message))
        tickets_.onHeld(key, *held);
    else if (const auto* loads = std::get_if<EngineLoads>(&message))
        onLoads(peer, *loads);
    else if (const auto* state = std::get_if<DaemonState>(&message))
        onDaemonState(peer, *state);
    else if (const auto* move = std::get_if<MoveRequest>(&message))
        tickets_.onMove(move->engine);
    else if (const auto* remember = std::get_if<RememberChat>(&message))
        memory_.put(remember->chat, remember->engine);
    else if (sharedQuarantine_.onMessage(message))
        return;
    else if (const auto* status = std::get_if<UpstreamStatus>(&message))
        onStatus(*status);
    else if (const auto* items = std::get_if<ConfigItems>(&message))
        onConfigItems(*items);
}

void Fleet::onLoads(const Peer& peer, const EngineLoads& loads)
{
    const auto& engines = peerEngines_[peer.key];
    for (const auto& [slot, load] : loads.loads) {
        if (slot < engines.size() && !tickets_.admissionController().isOpen(engines[slot]))
            view_.setLoad(engines[slot], load, loop_.now());
    }
}

void Fleet::onDaemonState(const Peer& peer, const DaemonState& state)
{
    const bool changesOwnership = peer.isReady != state.ready || peer.isLeaving != state.leaving;
    peerEngines_[peer.key] = state.engines;
    links_.setPeerState(peer.key, state.ready, state.leaving, state.configDigest);
    if (changesOwnership)
        updateOwnership();
    updateReady();
}

void Fleet::onStatus(const UpstreamStatus& status)
{
    for (const auto& item : status.items) {
        if (item.leaving)
            directory_.markLeaving(item.upstream, item.incarnation);
        if (!isOwner(item.upstream))
            directory_.setDown(item.upstream, item.down);
    }
}

void Fleet::onConfigItems(const ConfigItems& items)
{
    for (const auto& item : items.items)
        configCache_.apply(item);
    updateReady();
}

// ---- private: membership ----

void Fleet::onUp(const Peer& peer)
{
    log_.info("peer-up", { { "peer", peer.vm.id } });
    const Peer copy = peer;
    for (const auto& message : sharedQuarantine_.currentState())
        links_.send(copy.key, message);
    links_.send(copy.key, ownState());
    links_.send(copy.key, allLoads());
    for (const auto* upstream : directory_.all()) {
        const bool mustReport
            = upstream->unavailability.leaving || (upstream->unavailability.down && isOwner(upstream->key));
        if (mustReport)
            links_.send(copy.key, statusOf(*upstream));
    }
    if (configCache_.digest() != 0)
        links_.send(copy.key, ConfigItems { configCache_.all() });
    updateOwnership();
    tickets_.onPeerUp(copy.key, engineKeys());
}

void Fleet::onDown(const Peer& peer)
{
    log_.warn("peer-down", { { "peer", peer.vm.id } });
    tickets_.onPeerDown(peer.key);
    updateOwnership();
    updateReady();
}

void Fleet::updateOwnership()
{
    std::vector<NodeKey> daemons;
    if (isReady_ && !isLeaving_)
        daemons.push_back(self_);
    for (const Peer* peer : links_.peers()) {
        if (peer->isUp && peer->isReady && !peer->isLeaving)
            daemons.push_back(peer->key);
    }
    if (daemons.empty())
        daemons.push_back(self_);
    std::sort(daemons.begin(), daemons.end());
    if (daemons == ownership_.daemons() && !daemons.empty() && tickets_.admissionController().hasOpenEngines())
        return;
    ownership_.setDaemons(daemons);
    tickets_.onOwnershipChanged(engineKeys());
}

void Fleet::updateReady()
{
    if (isReady_)
        return;
    bool agreesWithPeers = false;
    if (!store_.isReachable()) {
        for (const Peer* peer : links_.peers()) {
            if (!peer->isUp || !peer->isReady)
                continue;
            agreesWithPeers = peer->configDigest == configCache_.digest();
            if (!agreesWithPeers)
                break;
        }
    }
    if (!store_.isLoaded() && !agreesWithPeers)
        return;
    isReady_ = true;
    flagsChanged_ = true;
    log_.info("ready", { { "from", store_.isLoaded() ? "table" : "peers" } });
    sendHeartbeat();
    updateOwnership();
}

// ---- private: heartbeats and repair ----

void Fleet::sendHeartbeat()
{
    const auto engines = ownedEngines();
    if (engines != ownedEngines_ || flagsChanged_ || configCache_.digest() != sentDigest_) {
        ownedEngines_ = engines;
        sentDigest_ = configCache_.digest();
        sentLoads_.assign(engines.size(), -1);
        links_.broadcast(ownState());
    }
    const EngineLoads changed = changedLoads();
    const bool isDue = loop_.now() - lastHeartbeatAt_ >= HEARTBEAT_MS;
    if (changed.loads.empty() && !flagsChanged_ && !isDue)
        return;
    lastHeartbeatAt_ = loop_.now();
    flagsChanged_ = false;
    links_.broadcast(changed);
}

/// Sends the loads immediately if the total load of the owned engines dropped considerably: the load bound, which is
/// relative to the mean load, is then lower for all daemons.
void Fleet::sendLoadDrop()
{
    int sentTotal = 0;
    int currentTotal = 0;
    for (std::size_t slot = 0; slot < ownedEngines_.size(); ++slot) {
        sentTotal += std::max(0, sentLoads_[slot]);
        currentTotal += tickets_.admissionController().load(ownedEngines_[slot]);
    }
    if (currentTotal < sentTotal && currentTotal <= LOAD_DROP_RATIO * sentTotal)
        sendHeartbeat();
}

DaemonState Fleet::ownState() const { return { isReady_, isLeaving_, configCache_.digest(), ownedEngines_ }; }

std::vector<NodeKey> Fleet::ownedEngines() const
{
    std::vector<NodeKey> open;
    for (const NodeKey key : engineKeys()) {
        if (tickets_.admissionController().isOpen(key))
            open.push_back(key);
    }
    std::sort(open.begin(), open.end());
    return open;
}

EngineLoads Fleet::changedLoads()
{
    EngineLoads loads;
    for (std::size_t slot = 0; slot < ownedEngines_.size(); ++slot) {
        const int load = tickets_.admissionController().load(ownedEngines_[slot]);
        if (load == sentLoads_[slot])
            continue;
        sentLoads_[slot] = load;
        loads.loads.emplace_back(static_cast<std::uint32_t>(slot), load);
    }
    return loads;
}

EngineLoads Fleet::allLoads() const
{
    EngineLoads loads;
    for (std::size_t slot = 0; slot < ownedEngines_.size(); ++slot)
        loads.loads.emplace_back(
            static_cast<std::uint32_t>(slot), tickets_.admissionController().load(ownedEngines_[slot]));
    return loads;
}

void Fleet::repairConfig()
{
    for (const Peer* peer : links_.peers()) {
        if (peer->isUp && peer->configDigest != configCache_.digest() && configCache_.digest() != 0)
            links_.send(peer->key, ConfigItems { configCache_.all() });
    }
}

SharedQuarantine::Hooks Fleet::quarantineHooks()
{
    SharedQuarantine::Hooks hooks;
    hooks.broadcast = [this](const PeerMessage& message) { links_.broadcast(message); };
    hooks.save = [this](const admission::Verdict& verdict, const auto& onDone) { saveVerdict(verdict, onDone); };
    hooks.readSaved = [] {}; // the store is polled for changes of the configuration anyway
    hooks.savesForOthers = [this] {
        const auto& daemons = ownership_.daemons();
        return !daemons.empty() && daemons.front() == self_;
    };
    hooks.onBan = [this](admission::Fingerprint fingerprint) {
        if (onBan)
            onBan(fingerprint);
    };
    hooks.onVerdict = [this](const admission::Verdict& verdict) {
        if (onVerdict)
            onVerdict(verdict);
    };
    return hooks;
}

/// Saves a verdict as an item of the shared configuration, with a record in the audit trail.
void Fleet::saveVerdict(const admission::Verdict& verdict, const std::function<void(SaveOutcome)>& onDone)
{
    const std::string id = admission::toHex(verdict.fingerprint);
    const auto* known = configCache_.find(QUARANTINE_KIND, id);
    if (known && admission::parseVerdict(known->value).revision >= verdict.revision) {
        onDone(SaveOutcome::Superseded);
        return;
    }
    Change change;
    change.changeId = id + "-" + std::to_string(verdict.revision) + "-" + settings_.self.id;
    change.operatorName = settings_.self.id;
    change.action = verdict.isBanned ? "quarantine ban" : "quarantine lift";
    change.kind = QUARANTINE_KIND;
    change.id = id;
    change.expectedVersion = known ? known->version : 0;
    change.value = admission::toJson(verdict);
    store_.submit(change, [this, change, onDone](const ChangeResult& result) {
        if (result.code == errors::ResultCode::Ok) {
            if (const auto* item = configCache_.find(change.kind, change.id))
                announceConfig(*item);
            onDone(SaveOutcome::Saved);
        } else {
            onDone(result.code == errors::ResultCode::VersionConflict ? SaveOutcome::Superseded : SaveOutcome::Failed);
        }
    });
}

std::vector<NodeKey> Fleet::engineKeys() const
{
    std::vector<NodeKey> keys;
    for (const auto& entry : view_.entries())
        keys.push_back(entry.key);
    return keys;
}

UpstreamStatus Fleet::statusOf(const upstreams::Upstream& upstream)
{
    return {
        { { upstream.key, upstream.unavailability.down, upstream.unavailability.leaving, upstream.incarnation } }
    };
}

} // namespace goldcrestcleat::fleet
