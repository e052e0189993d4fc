#include "goldcrestcleat/fleet/Fleet.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using routing::NO_NODE;
using routing::NodeKey;

namespace {

    constexpr loop::TimeMs LOADS_PERIOD_MS = 100;
    constexpr loop::TimeMs HEARTBEAT_MS = 500; // when no load has changed
    constexpr loop::TimeMs DESK_TICK_MS = 20;
    constexpr loop::TimeMs SHED_PERIOD_MS = 25;
    constexpr loop::TimeMs REPAIR_PERIOD_MS = 1'000;

} // namespace

Fleet::Fleet(loop::EventLoop& loop, const settings::Settings& settings, const observe::Log& log,
    upstreams::Directory& directory, routing::LoadView& view, ConfigBook& book, ConfigStore& store,
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
    loop_.every(DESK_TICK_MS, [this] { tickets_.tick(); });
    loop_.every(SHED_PERIOD_MS, [this] { tickets_.shedOverload(); });
    loop_.every(REPAIR_PERIOD_MS, [this] { repairConfig(); });
    store_.onPolled = [this] { updateReady(); };
}

std::vector<settings::EntryVm> Fleet::entriesFor(const std::string& model, routing::ChatKey chat) const
{
    std::vector<settings::EntryVm> entries;
    const NodeKey engine = view_.hashedEngine(model, chat);
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
    const NodeKey home = homes_.homeOf(hashed);
    const NodeKey second = homes_.secondOf(hashed);
    const bool isException = engine != hashed;
    if (!isException && memory_.find(chat) == NO_NODE && home == self_)
        return;
    memory_.put(chat, engine);
    if (!isException)
        return;
    for (const NodeKey owner : { home, second }) {
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
    const bool changesHomes = peer.isReady != loads.ready || peer.isLeaving != loads.leaving;
    const bool changesConfig = peer.configDigest != loads.configDigest;
    links_.setPeerState(peer.key, loads.ready, loads.leaving, loads.configDigest);
    for (const auto& [engine, load] : loads.loads) {
        if (!tickets_.desk().isOpen(engine))
            view_.setLoad(engine, load, loop_.now());
    }
    if (changesHomes)
        updateHomes();
    if (changesHomes || changesConfig)
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
    links_.send(copy.key, ownLoads(true));
    links_.send(copy.key, Suspects { quarantine_.current(loop_.now()) });
    for (const auto* upstream : directory_.all()) {
        const bool isNews = upstream->absence.leaving || (upstream->absence.down && isHome(upstream->key));
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
    const Loads changed = ownLoads(false);
    const bool isDue = loop_.now() - lastHeartbeatAt_ >= HEARTBEAT_MS;
    if (changed.loads.empty() && !flagsChanged_ && !isDue)
        return;
    lastHeartbeatAt_ = loop_.now();
    flagsChanged_ = false;
    links_.broadcast(changed);
}

Loads Fleet::ownLoads(bool all)
{
    Loads loads { isLeaving_, isReady_, book_.digest(), {} };
    for (const auto& entry : view_.entries()) {
        if (!tickets_.desk().isOpen(entry.key))
            continue;
        const int load = tickets_.desk().load(entry.key);
        const auto sent = sentLoads_.find(entry.key);
        if (!all && sent != sentLoads_.end() && sent->second == load)
            continue;
        if (!all)
            sentLoads_[entry.key] = load;
        loads.loads.emplace_back(entry.key, load);
    }
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
    return { { { upstream.key, upstream.absence.down, upstream.absence.leaving, upstream.incarnation } } };
}

} // namespace goldcrestcleat::fleet
