#include "goldcrestcleat/fleet/Membership.h"

#include "goldcrestcleat/observe/Digest.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using nlohmann::json;
using routing::NodeKey;
using store::ReadOutcome;
using store::RowCommitOutcome;

namespace {

    constexpr const char* TABLE = "goldcrestcleat";
    constexpr const char* SECRET_KEY = "secret";
    constexpr const char* VM_PREFIX = "vm/";
    constexpr std::size_t SECRET_BYTES = 32;

    constexpr loop::TimeMs JOIN_RETRY_MS = 500;
    constexpr loop::TimeMs PEER_SILENCE_MS = 1'000; // a dead peer is left out of entry answers after this
    constexpr loop::TimeMs LOADS_PERIOD_MS = 100;
    constexpr loop::TimeMs HEARTBEAT_MS = 300; // when no load has changed; a third of the silence
    constexpr loop::TimeMs REPAIR_PERIOD_MS = 400; // a fifth of the shortest bound on configuration

    std::string rowOf(const settings::EntryVm& vm)
    {
        return json { { "dataCentre", vm.dataCentre }, { "caller", vm.caller }, { "peer", vm.peer } }.dump();
    }

    /// Reads a VM's row; throws json::exception when it is not one.
    settings::EntryVm parseVm(const store::VersionedRow& row)
    {
        const json document = json::parse(row.value);
        return { row.key.substr(std::string(VM_PREFIX).size()), document.at("dataCentre"), document.at("caller"),
            document.at("peer") };
    }

} // namespace

Membership::Membership(loop::EventLoop& loop, const settings::FrontSettings& settings, const observe::Log& log,
    const store::RowStore& store, upstreams::ServerBook& servers, admission::Quarantine& quarantine, Hooks hooks)
    : loop_(loop)
    , settings_(settings)
    , log_(log)
    , store_(store)
    , servers_(servers)
    , quarantine_(quarantine)
    , hooks_(std::move(hooks))
    , links_(loop, identity_,
          { [this](const Peer& peer, const PeerMessage& message) { onMessage(peer, message); },
              [this](const Peer& peer) { onUp(peer); }, [this](const Peer& peer) { onDown(peer); },
              [this](const std::string& peer, const std::string& reason) {
                  log_.warn("peer-rejected",
                      { { "peer", peer }, { "reason", reason },
                          { "code", static_cast<int>(errors::ResultCode::PeerRejected) } });
              } })
{
    identity_.self = settings.self;
    identity_.timeouts.peerSilenceMs = PEER_SILENCE_MS;
    links_.openMembership();
}

void Membership::start() { readTable(); }

void Membership::setReady(bool isReady)
{
    if (isReady_ == isReady)
        return;
    isReady_ = isReady;
    for (const auto* peer : links_.peers())
        sendRoster(peer->key);
}

void Membership::beginLeaving()
{
    isLeaving_ = true;
    for (const auto* peer : links_.peers())
        sendRoster(peer->key);
}

void Membership::report(const admission::Suspicion& suspicion)
{
    if (quarantine_.record(suspicion, loop_.now()))
        links_.broadcast(Suspects { { suspicion } });
}

std::vector<std::string> Membership::entryAddresses() const
{
    std::vector<std::string> addresses;
    if (isReady_ && !isLeaving_)
        addresses.push_back(settings_.self.caller);
    for (const auto* peer : links_.peers()) {
        if (peer->isUp && peer->isReady && !peer->isLeaving)
            addresses.push_back(peer->vm.caller);
    }
    return addresses;
}

int Membership::size() const
{
    const auto peers = links_.peers();
    const auto isTaking = [](const Peer* peer) { return peer->isUp && !peer->isLeaving; };
    return 1 + static_cast<int>(std::count_if(peers.begin(), peers.end(), isTaking));
}

// ---- private: joining ----

void Membership::readTable()
{
    store_.read(TABLE, "", [this](const store::RowSet& answer) {
        if (answer.outcome == ReadOutcome::Answered)
            onTable(answer.rows);
        else
            loop_.after(JOIN_RETRY_MS, [this] { readTable(); });
    });
}

void Membership::onTable(const Rows& rows)
{
    const std::string ownKey = VM_PREFIX + settings_.self.id;
    std::string secret;
    std::uint64_t ownVersion = 0;
    bool isJoined = false;
    for (const auto& row : rows) {
        if (row.key == SECRET_KEY)
            secret = row.value;
        if (row.key == ownKey) {
            ownVersion = row.version;
            isJoined = row.value == rowOf(settings_.self);
        }
    }
    if (secret.empty() || !isJoined) {
        const bool isNewSecret = secret.empty();
        join(isNewSecret ? observe::randomHex(SECRET_BYTES) : secret, isNewSecret, ownVersion);
        return;
    }
    identity_.fleetSecret = secret;
    for (const auto& row : rows) {
        if (row.key.rfind(VM_PREFIX, 0) != 0 || row.key == ownKey)
            continue;
        try {
            links_.putPeer(parseVm(row));
        } catch (const json::exception& e) {
            log_.warn("member-row-unreadable", { { "key", row.key }, { "reason", e.what() } });
        }
    }
    openLinks();
}

/// Writes the own row, and the secret when there is none yet, then reads again: of two daemons that join at the same
/// time, at least the later one sees the other.
void Membership::join(const std::string& secret, bool isNewSecret, std::uint64_t ownVersion)
{
    std::vector<store::RowWrite> writes;
    writes.push_back({ TABLE, VM_PREFIX + settings_.self.id, rowOf(settings_.self), ownVersion, true });
    if (isNewSecret)
        writes.push_back({ TABLE, SECRET_KEY, secret, 0, true });
    store_.commit(writes, [this](RowCommitOutcome outcome) {
        const bool isSettled = outcome == RowCommitOutcome::Committed || outcome == RowCommitOutcome::Conflict;
        loop_.after(isSettled ? 0 : JOIN_RETRY_MS, [this] { readTable(); });
    });
}

void Membership::openLinks()
{
    if (linksOpen_)
        return;
    linksOpen_ = true;
    log_.info("joined", { { "peers", links_.peers().size() } });
    links_.start();
    loop_.every(LOADS_PERIOD_MS, [this] { sendLoads(); });
    loop_.every(REPAIR_PERIOD_MS, [this] { repairTables(); });
}

// ---- private: messages ----

void Membership::onMessage(const Peer& peer, const PeerMessage& message)
{
    if (const auto* loads = std::get_if<ServerLoads>(&message)) {
        for (const auto& [server, open] : loads->open)
            servers_.setPeerOpen(peer.key, server, open);
    } else if (const auto* roster = std::get_if<Roster>(&message)) {
        links_.setPeerState(peer.key, roster->ready, roster->leaving, roster->configDigest);
        hooks_.onPeersChanged();
    } else if (const auto* suspects = std::get_if<Suspects>(&message)) {
        for (const auto& suspicion : suspects->suspicions)
            quarantine_.record(suspicion, loop_.now());
    } else if (const auto* ask = std::get_if<MirrorAsk>(&message)) {
        answerMirrorAsk(peer, *ask);
    } else if (const auto* rows = std::get_if<MirrorRows>(&message)) {
        const auto watcher = shared_.find(rows->table);
        if (watcher != shared_.end())
            watcher->second->applyFromPeer(rows->changes);
    }
}

void Membership::onUp(const Peer& peer)
{
    log_.info("peer-up", { { "peer", peer.vm.id } });
    sendRoster(peer.key);
    ServerLoads loads;
    loads.open = servers_.ownOpen();
    links_.send(peer.key, loads);
    const auto suspicions = quarantine_.current(loop_.now());
    if (!suspicions.empty())
        links_.send(peer.key, Suspects { suspicions });
    hooks_.onPeersChanged();
}

void Membership::onDown(const Peer& peer)
{
    log_.info("peer-down", { { "peer", peer.vm.id }, { "silentMs", loop_.now() - peer.lastHeardAt } });
    servers_.forgetPeer(peer.key);
    hooks_.onPeersChanged();
}

void Membership::sendRoster(NodeKey peer)
{
    Roster roster;
    roster.ready = isReady_;
    roster.leaving = isLeaving_;
    links_.send(peer, roster);
}

/// Sends the loads that changed; none at all once in a while, as a heartbeat.
void Membership::sendLoads()
{
    std::map<NodeKey, int> current;
    for (const auto& [server, open] : servers_.ownOpen())
        current[server] = open;
    ServerLoads loads;
    for (const auto& [server, open] : current) {
        const auto told = toldLoads_.find(server);
        if (told == toldLoads_.end() || told->second != open)
            loads.open.emplace_back(server, open);
    }
    for (const auto& [server, open] : toldLoads_) {
        if (current.count(server) == 0)
            loads.open.emplace_back(server, 0);
    }
    if (loads.open.empty() && loop_.now() - toldAt_ < HEARTBEAT_MS)
        return;
    toldLoads_ = std::move(current);
    toldAt_ = loop_.now();
    links_.broadcast(loads);
}

// ---- private: tables while the store is away ----

/// Asks one peer for the changes of each table that the store does not answer for.
void Membership::repairTables()
{
    std::vector<const Peer*> up;
    for (const auto* peer : links_.peers()) {
        if (peer->isUp)
            up.push_back(peer);
    }
    if (up.empty())
        return;
    for (const auto& [table, watcher] : shared_) {
        if (!watcher->isCurrent())
            links_.send(up[nextAsked_++ % up.size()]->key, MirrorAsk { table, watcher->mirror().version() });
    }
}

void Membership::answerMirrorAsk(const Peer& peer, const MirrorAsk& ask)
{
    const auto watcher = shared_.find(ask.table);
    if (watcher == shared_.end() || watcher->second->mirror().version() <= ask.afterVersion)
        return;
    links_.send(peer.key, MirrorRows { ask.table, watcher->second->mirror().changesAfter(ask.afterVersion) });
}

} // namespace goldcrestcleat::fleet
