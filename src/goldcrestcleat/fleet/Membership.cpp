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
    constexpr loop::TimeMs TICK_MS = 100; // shortest time between two messages of loads to a peer
    constexpr loop::TimeMs HEARTBEAT_MS = 300; // the same while no request is open; a third of the silence
    constexpr loop::TimeMs PERIODS_TO_SILENCE = 3;

    // Messages of loads that a daemon sends in a second, to all peers together: its control traffic stays the same from
    // here on, and each peer hears of it less often.
    constexpr loop::TimeMs LOADS_PER_S = 150;
    constexpr loop::TimeMs MS_PER_S = 1'000;

    std::string rowOf(const settings::EntryVm& vm)
    {
        return json { { "dataCentre", vm.dataCentre }, { "caller", vm.caller }, { "peer", vm.peer } }.dump();
    }

    bool isMember(const store::VersionedRow& row) { return row.key.rfind(VM_PREFIX, 0) == 0; }

    /// Reads a VM's row; throws json::exception when it is not one.
    settings::EntryVm parseVm(const store::VersionedRow& row)
    {
        const json document = json::parse(row.value);
        return { row.key.substr(std::string(VM_PREFIX).size()), document.at("dataCentre"), document.at("caller"),
            document.at("peer") };
    }

} // namespace

Membership::Membership(loop::EventLoop& loop, const settings::FrontSettings& settings, const observe::Log& log,
    const store::RowStore& store, upstreams::ServerRegistry& servers, admission::Quarantine& quarantine, Hooks hooks,
    loop::TimeMs renewalMs)
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
    , tables_(loop, routing::nodeKey(settings.self.id),
          { [this](NodeKey peer, const PeerMessage& message) { links_.send(peer, message); },
              [this](const PeerMessage& message) { links_.broadcast(message); },
              [this] { links_.broadcast(currentLoads()); }, [this] { return peersWithLinks(); } })
    , renewalMs_(renewalMs)
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

void Membership::forgive(admission::Fingerprint fingerprint)
{
    if (quarantine_.forgive(fingerprint))
        links_.broadcast(Forgiven { { fingerprint } });
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

int Membership::size() const { return 1 + static_cast<int>(links_.peers().size()); }

int Membership::peersUp() const { return static_cast<int>(peersWithLinks().size()); }

loop::TimeMs Membership::oldestReportMs() const
{
    loop::TimeMs oldest = 0;
    for (const auto* peer : links_.peers()) {
        if (peer->isUp)
            oldest = std::max(oldest, loop_.now() - peer->lastHeardAt);
    }
    return oldest;
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
    std::string secret;
    std::uint64_t ownVersion = 0;
    bool isJoined = false;
    for (const auto& row : rows) {
        if (row.key == SECRET_KEY)
            secret = row.value;
        if (row.key == ownKey()) {
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
        if (isMember(row) && row.key != ownKey())
            learnPeer(row);
    }
    hooks_.onPeersChanged();
    openLinks();
}

void Membership::learnPeer(const store::VersionedRow& row)
{
    try {
        links_.putPeer(parseVm(row));
    } catch (const json::exception& e) {
        log_.warn("member-row-unreadable", { { "key", row.key }, { "reason", e.what() } });
    }
}

std::string Membership::ownKey() const { return VM_PREFIX + settings_.self.id; }

/// Writes the own row, and the secret when there is none yet, then reads again: of two daemons that join at the same
/// time, at least the later one sees the other.
void Membership::join(const std::string& secret, bool isNewSecret, std::uint64_t ownVersion)
{
    std::vector<store::RowWrite> writes;
    writes.push_back({ TABLE, ownKey(), rowOf(settings_.self), ownVersion, true });
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
    loop_.every(TICK_MS, [this] { sendLoads(); });
    loop_.every(SharedTables::REPAIR_PERIOD_MS, [this] { tables_.repair(); });
    renewLater();
}

// ---- private: renewal ----

/// Spreads the renewals of daemons that started together over a quarter of the time.
void Membership::renewLater()
{
    const auto spread = static_cast<loop::TimeMs>(routing::nodeKey(settings_.self.id) % 256);
    loop_.after(renewalMs_ - renewalMs_ / 4 * spread / 256, [this] { renew(); });
}

void Membership::renew()
{
    store_.read(TABLE, VM_PREFIX, [this](const store::RowSet& answer) {
        if (answer.outcome != ReadOutcome::Answered)
            log_.warn("renewal-failed", { { "reason", answer.reason } });
        else if (!answer.isTruncated)
            renewAmong(answer.rows);
        renewLater();
    });
}

/// Writes the own row again, also if another daemon had removed it, and deals with the rows of those that are gone.
void Membership::renewAmong(const Rows& rows)
{
    std::uint64_t ownVersion = 0;
    for (const auto& row : rows) {
        if (!isMember(row))
            continue;
        if (row.key == ownKey())
            ownVersion = row.version;
        else if (isGone(row))
            removeRow(row);
        else
            learnPeer(row);
    }
    forgetUnlisted(rows);
    hooks_.onPeersChanged();
    store_.commit({ { TABLE, ownKey(), rowOf(settings_.self), ownVersion, true } }, [this](RowCommitOutcome outcome) {
        if (outcome != RowCommitOutcome::Committed)
            log_.warn("renewal-failed", { { "reason", "the row was not written" } });
    });
}

bool Membership::isGone(const store::VersionedRow& row)
{
    Renewals& renewals = renewals_[row.key];
    renewals.missed = renewals.version == row.version ? renewals.missed + 1 : 0;
    renewals.version = row.version;
    const auto* peer = links_.find(routing::nodeKey(row.key.substr(std::string(VM_PREFIX).size())));
    return renewals.missed >= MISSED_RENEWALS && !(peer && peer->isUp);
}

/// Forgets the peers that are down and have no row, or one that nobody renews.
void Membership::forgetUnlisted(const Rows& rows)
{
    std::vector<NodeKey> unlisted;
    for (const auto* peer : links_.peers()) {
        const std::string key = VM_PREFIX + peer->vm.id;
        const bool isListed = std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
        const auto renewals = renewals_.find(key);
        const bool isRenewed = renewals == renewals_.end() || renewals->second.missed < MISSED_RENEWALS;
        if (!peer->isUp && !(isListed && isRenewed))
            unlisted.push_back(peer->key);
    }
    for (const NodeKey key : unlisted) {
        log_.info("peer-forgotten", { { "peer", links_.find(key)->vm.id } });
        links_.removePeer(key);
    }
}

/// One of the leading daemons removes the row, unless its owner has written it meanwhile.
void Membership::removeRow(const store::VersionedRow& row)
{
    if (!tables_.isLeading())
        return;
    store::RowWrite removal { TABLE, row.key, "", row.version, true, true };
    store_.commit({ removal }, [this, key = row.key](RowCommitOutcome outcome) {
        log_.info("member-row-removed", { { "key", key }, { "done", outcome == RowCommitOutcome::Committed } });
    });
}

// ---- private: messages ----

void Membership::onMessage(const Peer& peer, const PeerMessage& message)
{
    if (const auto* loads = std::get_if<ServerLoads>(&message)) {
        onLoads(peer, *loads);
    } else if (const auto* roster = std::get_if<Roster>(&message)) {
        links_.setPeerState(peer.key, roster->ready, roster->leaving, roster->configDigest);
        hooks_.onPeersChanged();
    } else if (const auto* suspects = std::get_if<Suspects>(&message)) {
        for (const auto& suspicion : suspects->suspicions)
            quarantine_.record(suspicion, loop_.now());
    } else if (const auto* forgiven = std::get_if<Forgiven>(&message)) {
        for (const auto fingerprint : forgiven->fingerprints)
            quarantine_.forgive(fingerprint);
    } else if (const auto* lost = std::get_if<LostServers>(&message)) {
        for (const auto server : lost->servers)
            hooks_.onServerLost(server);
    } else if (const auto* ask = std::get_if<MirrorAsk>(&message)) {
        tables_.onAsk(peer.key, *ask);
    } else if (const auto* rows = std::get_if<MirrorRows>(&message)) {
        tables_.onRows(peer.key, *rows);
    }
}

void Membership::onUp(const Peer& peer)
{
    log_.info("peer-up", { { "peer", peer.vm.id } });
    sendRoster(peer.key);
    links_.send(peer.key, currentLoads());
    const auto suspicions = quarantine_.current(loop_.now());
    if (!suspicions.empty())
        links_.send(peer.key, Suspects { suspicions });
    hooks_.onPeersChanged();
}

void Membership::onDown(const Peer& peer)
{
    log_.info("peer-down", { { "peer", peer.vm.id }, { "silentMs", loop_.now() - peer.lastHeardAt } });
    servers_.forgetPeer(peer.key);
    tables_.forgetPeer(peer.key);
    hooks_.onPeersChanged();
}

void Membership::sendRoster(NodeKey peer)
{
    Roster roster;
    roster.ready = isReady_;
    roster.leaving = isLeaving_;
    links_.send(peer, roster);
}

loop::TimeMs Membership::loadsPeriodMs(std::size_t peers)
{
    return std::max(TICK_MS, static_cast<loop::TimeMs>(peers) * MS_PER_S / LOADS_PER_S);
}

/// Sends the own loads to the peers whose turn it is.
void Membership::sendLoads()
{
    tables_.updateLeading();
    const auto peers = links_.peers();
    if (peers.empty())
        return;
    const ServerLoads loads = currentLoads();
    loop::TimeMs periodMs = loadsPeriodMs(peers.size());
    identity_.timeouts.peerSilenceMs = std::max(PEER_SILENCE_MS, PERIODS_TO_SILENCE * periodMs);
    if (!loads.open.empty())
        busyAt_ = loop_.now();
    else if (loop_.now() - busyAt_ > periodMs) // all peers know that nothing is open
        periodMs = std::max(periodMs, HEARTBEAT_MS);
    const bool mayLead = loads.storeAnswers && !loads.isWatchOverdue;
    if (mayLead != toldMayLead_) {
        toldMayLead_ = mayLead;
        links_.broadcast(loads); // others have to lead from now on, or need not any more
        return;
    }
    turns_ += static_cast<double>(peers.size()) * static_cast<double>(TICK_MS) / static_cast<double>(periodMs);
    std::vector<NodeKey> due;
    for (; turns_ >= 1 && due.size() < peers.size(); --turns_)
        due.push_back(peers[nextTold_++ % peers.size()]->key);
    turns_ = std::min(turns_, 1.0);
    links_.sendToEach(due, loads);
}

ServerLoads Membership::currentLoads() const
{
    ServerLoads loads;
    loads.open = servers_.localOpen();
    tables_.describe(loads);
    return loads;
}

void Membership::onLoads(const Peer& peer, const ServerLoads& loads)
{
    servers_.setPeerLoads(peer.key, loads.open);
    tables_.onPeerReport(peer.key, loads);
}

std::vector<NodeKey> Membership::peersWithLinks() const
{
    std::vector<NodeKey> up;
    for (const auto* peer : links_.peers()) {
        if (peer->isUp)
            up.push_back(peer->key);
    }
    return up;
}

} // namespace goldcrestcleat::fleet
