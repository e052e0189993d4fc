#include "goldcrestcleat/fleet/Fleet.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using routing::NO_NODE;
using routing::NodeKey;

namespace {

    constexpr loop::TimeMs LOADS_PERIOD_MS = 100;
    constexpr loop::TimeMs HEARTBEAT_MS = 500; // when no load has changed
    constexpr loop::TimeMs DESK_TICK_MS = 20;
    constexpr double URGENT_SHARE = 0.8; // of the load that was sent last
    constexpr loop::TimeMs SHED_PERIOD_MS = 25;
    constexpr loop::TimeMs REPAIR_PERIOD_MS = 1'000;

} // namespace

Fleet::Fleet(loop::EventLoop& loop, const settings::Settings& settings, const observe::Log& log,
    upstreams::UpstreamDirectory& directory, routing::LoadView& view, ConfigBook& book, ConfigStore& store,
    admission::Quarantine& quarantine)
    : loop_(loop)
    , settings_(settings)
    , log_(log)
    , directory_(directory)
    , view_(view)
    , book_(book)
    , store_(store)
    , quarantine_(quarantine)
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
    , tickets_(loop, self_, links_, homes_, view, memory_, { settings.routing.loadBound, settings.routing.admitFactor })
{
    homes_.setDaemons({ self_ });
}

void Fleet::start()
{
    links_.start();
    updateHomes();
    loop_.every(LOADS_PERIOD_MS, [this] { sendHeartbeat(); });
    loop_.every(DESK_TICK_MS, [this] {
        tickets_.tick();
        tellFall();
    });
    loop_.every(SHED_PERIOD_MS, [this] { tickets_.shedOverload(); });
    loop_.every(REPAIR_PERIOD_MS, [this] { repairConfig(); });
    store_.onPolled = [this] { updateReady(); };
}

std::vector<settings::EntryVm> Fleet::entriesFor(const std::string& model, routing::ChatKey chat, NodeKey hinted)
{
    std::vector<settings::EntryVm> entries;
    routing::PlacementQuery query;
    query.chat = chat;
    query.model = model;
    query.hinted = hinted;
    query.remembered = memory_.find(chat);
    std::mt19937_64 unused;
    const NodeKey engine = routing::choosePlacement(view_, query, unused).engine;
    for (const NodeKey daemon : homes_.ranked(engine)) {
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
    updateHomes();
}

void Fleet::cancelLeaving()
{
    isLeaving_ = false;
    flagsChanged_ = true;
    sendHeartbeat();
    updateHomes();
}

void Fleet::remember(const std::string& model, routing::ChatKey chat, NodeKey engine)
{
    const NodeKey hashed = view_.hashedEngine(model, chat);
    const NodeKey known = memory_.find(chat);
    // A chat that runs where hashing puts it needs no memory, unless there is one that says otherwise.
    const NodeKey expected = known == NO_NODE ? hashed : known;
    if (engine == expected)
        return;
    memory_.put(chat, engine);
    for (const NodeKey owner : { homes_.homeOf(hashed), homes_.secondOf(hashed) }) {
        if (owner != self_ && owner != NO_NODE)
            links_.send(owner, Remember { chat, engine });
    }
}

void Fleet::suspect(const std::vector<admission::Suspicion>& suspicions)
{
    Suspects fresh;
    for (const auto& suspicion : suspicions) {
        if (quarantine_.record(suspicion, loop_.now()))
            fresh.suspicions.push_back(suspicion);
    }
    if (!fresh.suspicions.empty())
        links_.broadcast(fresh);
}

void Fleet::announce(const upstreams::Upstream& upstream) { links_.broadcast(statusOf(upstream)); }

void Fleet::onResume()
{
    log_.warn("resumed-after-pause", { { "vm", settings_.self.id } });
    links_.dropAll("paused for too long");
    updateHomes();
}

void Fleet::announceConfig(const ConfigBook::Item& item) { links_.broadcast(ConfigItems { { item } }); }

// ---- private: messages ----

void Fleet::onMessage(const Peer& peer, const PeerMessage& message)
{
    const NodeKey key = peer.key;
    if (const auto* ask = std::get_if<Ask>(&message))
        tickets_.onAsk(key, *ask);
    else if (const auto* verdict = std::get_if<Verdict>(&message))
        tickets_.onVerdict(key, *verdict);
    else if (const auto* release = std::get_if<Release>(&message))
        tickets_.onRelease(key, *release);
    else if (const auto* held = std::get_if<Held>(&message))
        tickets_.onHeld(key, *held);
    else if (const auto* loads = std::get_if<Loads>(&message))
        onLoads(peer, *loads);
    else if (const auto* roster = std::get_if<Roster>(&message))
        onRoster(peer, *roster);
    else if (const auto* move = std::get_if<Move>(&message))
        tickets_.onMove(move->engine);
    else if (const auto* chat = std::get_if<Remember>(&message))
        memory_.put(chat->chat, chat->engine);
    else if (const auto* suspects = std::get_if<Suspects>(&message))
        for (const auto& suspicion : suspects->suspicions)
            quarantine_.record(suspicion, loop_.now());
    else if (const auto* status = std::get_if<Status>(&message))
        onStatus(*status);
    else if (const auto* items = std::get_if<ConfigItems>(&message))
        onConfigItems(*items);
}

void Fleet::onLoads(const Peer& peer, const Loads& loads)
{
    const auto& roster = peerRosters_[peer.key];
    for (const auto& [slot, load] : loads.loads) {
        if (slot < roster.size() && !tickets_.desk().isOpen(roster[slot]))
            view_.setLoad(roster[slot], load, loop_.now());
    }
}

void Fleet::onRoster(const Peer& peer, const Roster& roster)
{
    const bool changesHomes = peer.isReady != roster.ready || peer.isLeaving != roster.leaving;
    peerRosters_[peer.key] = roster.engines;
    links_.setPeerState(peer.key, roster.ready, roster.leaving, roster.configDigest);
    if (changesHomes)
        updateHomes();
    updateReady();
}

void Fleet::onStatus(const Status& status)
{
    for (const auto& item : status.items) {
        if (item.leaving)
            directory_.markLeaving(item.upstream, item.incarnation);
        if (!isHome(item.upstream))
            directory_.setDown(item.upstream, item.down);
    }
}

void Fleet::onConfigItems(const ConfigItems& items)
{
    for (const auto& item : items.items)
        book_.apply(item);
    updateReady();
}

// ---- private: membership ----

void Fleet::onUp(const Peer& peer)
{
    log_.info("peer-up", { { "peer", peer.vm.id } });
    const Peer copy = peer;
    links_.send(copy.key, ownRoster());
    links_.send(copy.key, allLoads());
    links_.send(copy.key, Suspects { quarantine_.current(loop_.now()) });
    for (const auto* upstream : directory_.all()) {
        const bool isNews
            = upstream->unavailability.leaving || (upstream->unavailability.down && isHome(upstream->key));
        if (isNews)
            links_.send(copy.key, statusOf(*upstream));
    }
    if (book_.digest() != 0)
        links_.send(copy.key, ConfigItems { book_.all() });
    updateHomes();
    tickets_.onPeerUp(copy.key, engineKeys());
}

void Fleet::onDown(const Peer& peer)
{
    log_.warn("peer-down", { { "peer", peer.vm.id } });
    tickets_.onPeerDown(peer.key);
    updateHomes();
    updateReady();
}

void Fleet::updateHomes()
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
    if (daemons == homes_.daemons() && !daemons.empty() && tickets_.desk().isOpenAny())
        return;
    homes_.setDaemons(daemons);
    tickets_.onHomesChanged(engineKeys());
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
            agreesWithPeers = peer->configDigest == book_.digest();
            if (!agreesWithPeers)
                break;
        }
    }
    if (!store_.hasRead() && !agreesWithPeers)
        return;
    isReady_ = true;
    flagsChanged_ = true;
    log_.info("ready", { { "from", store_.hasRead() ? "table" : "peers" } });
    sendHeartbeat();
    updateHomes();
}

// ---- private: heartbeats and repair ----

void Fleet::sendHeartbeat()
{
    const auto engines = openEngines();
    if (engines != roster_ || flagsChanged_ || book_.digest() != sentDigest_) {
        roster_ = engines;
        sentDigest_ = book_.digest();
        sentLoads_.assign(engines.size(), -1);
        links_.broadcast(ownRoster());
    }
    const Loads changed = changedLoads();
    const bool isDue = loop_.now() - lastHeartbeatAt_ >= HEARTBEAT_MS;
    if (changed.loads.empty() && !flagsChanged_ && !isDue)
        return;
    lastHeartbeatAt_ = loop_.now();
    flagsChanged_ = false;
    links_.broadcast(changed);
}

/// Tells the peers at once when the own engines' load has fallen much, since the bound falls with the mean.
void Fleet::tellFall()
{
    int told = 0;
    int current = 0;
    for (std::size_t slot = 0; slot < roster_.size(); ++slot) {
        told += std::max(0, sentLoads_[slot]);
        current += tickets_.desk().load(roster_[slot]);
    }
    if (current < told && current <= URGENT_SHARE * told)
        sendHeartbeat();
}

Roster Fleet::ownRoster() const { return { isReady_, isLeaving_, book_.digest(), roster_ }; }

std::vector<NodeKey> Fleet::openEngines() const
{
    std::vector<NodeKey> open;
    for (const NodeKey key : engineKeys()) {
        if (tickets_.desk().isOpen(key))
            open.push_back(key);
    }
    std::sort(open.begin(), open.end());
    return open;
}

Loads Fleet::changedLoads()
{
    Loads loads;
    for (std::size_t slot = 0; slot < roster_.size(); ++slot) {
        const int load = tickets_.desk().load(roster_[slot]);
        if (load == sentLoads_[slot])
            continue;
        sentLoads_[slot] = load;
        loads.loads.emplace_back(static_cast<std::uint32_t>(slot), load);
    }
    return loads;
}

Loads Fleet::allLoads() const
{
    Loads loads;
    for (std::size_t slot = 0; slot < roster_.size(); ++slot)
        loads.loads.emplace_back(static_cast<std::uint32_t>(slot), tickets_.desk().load(roster_[slot]));
    return loads;
}

void Fleet::repairConfig()
{
    for (const Peer* peer : links_.peers()) {
        if (peer->isUp && peer->configDigest != book_.digest() && book_.digest() != 0)
            links_.send(peer->key, ConfigItems { book_.all() });
    }
}

std::vector<NodeKey> Fleet::engineKeys() const
{
    std::vector<NodeKey> keys;
    for (const auto& entry : view_.entries())
        keys.push_back(entry.key);
    return keys;
}

Status Fleet::statusOf(const upstreams::Upstream& upstream)
{
    return {
        { { upstream.key, upstream.unavailability.down, upstream.unavailability.leaving, upstream.incarnation } }
    };
}

} // namespace goldcrestcleat::fleet
