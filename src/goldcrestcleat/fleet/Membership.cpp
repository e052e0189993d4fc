#include "goldcrestcleat/fleet/Membership.h"

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/observe/Digest.h"

#include <algorithm>
#include <utility>

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
    constexpr loop::TimeMs VERDICTS_RETRY_MS = 200; // no request is served before the verdicts are known
    constexpr loop::TimeMs PEER_TIMEOUT_MS = 1'000; // an unresponsive peer is then left out of the entry addresses
    constexpr loop::TimeMs TICK_MS = 100; // shortest interval between two load messages to a peer
    constexpr loop::TimeMs HEARTBEAT_MS = 300; // the interval while no request is open; a third of the time-out
    constexpr loop::TimeMs PERIODS_TO_TIMEOUT = 3;

    // Load messages that a daemon sends per second, to all peers together. In larger fleets its control traffic stays
    // constant and each peer receives the loads less often.
    constexpr loop::TimeMs LOADS_PER_S = 150;
    constexpr loop::TimeMs MS_PER_S = 1'000;

    std::string toJson(const settings::EntryVm& vm)
    {
        return json { { "dataCentre", vm.dataCentre }, { "caller", vm.caller }, { "peer", vm.peer } }.dump();
    }

    bool isMember(const store::VersionedRow& row) { return row.key.rfind(VM_PREFIX, 0) == 0; }

    /// Parses a VM's row, which another writer may have overwritten. Throws json::exception or Error if it is invalid.
    settings::EntryVm parseVm(const store::VersionedRow& row)
    {
        const json document = json::parse(row.value);
        settings::EntryVm vm { row.key.substr(std::string(VM_PREFIX).size()), document.at("dataCentre"),
            document.at("caller"), document.at("peer") };
        for (const auto& address : { vm.caller, vm.peer }) {
            if (!documents::isDialableAddress(address))
                throw errors::Error(errors::ResultCode::BadAddress, "'" + address + "' is not IP:port of a daemon");
        }
        return vm;
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
              [this] { links_.broadcast(currentLoads()); }, [this] { return connectedPeers(); },
              [this](const std::string& event, json fields, NodeKey source) {
                  if (const auto* peer = links_.find(source))
                      fields["source"] = peer->vm.id;
                  log_.infoRateLimited(event, std::move(fields));
              } })
    , verdictRows_(store, log)
    , sharedQuarantine_(loop, log, quarantine, settings.self.id,
          { [this](const PeerMessage& message) { links_.broadcast(message); },
              [this](const admission::Verdict& verdict, const std::function<void(SaveOutcome)>& onDone) {
                  verdictRows_.save(verdict, onDone);
              },
              [this] {
                  verdictRows_.read([this](const auto& verdicts) {
                      if (verdicts)
                          sharedQuarantine_.load(*verdicts);
                  });
              },
              [this] { return tables_.isLeading(); },
              [this](admission::Fingerprint fingerprint) {
                  if (hooks_.onBan)
                      hooks_.onBan(fingerprint);
              },
              [this](const admission::Verdict& verdict) {
                  if (hooks_.onVerdict)
                      hooks_.onVerdict(verdict);
              } })
    , renewalMs_(renewalMs)
{
    identity_.self = settings.self;
    identity_.timeouts.peerSilenceMs = PEER_TIMEOUT_MS;
    links_.acceptUnlistedPeers();
}

void Membership::start()
{
    readTable();
    readVerdicts();
    sharedQuarantine_.start();
    loop_.after(SharedTables::SETTLING_MS, [this] { tables_.updateLeading(); });
}

void Membership::setReady(bool isReady)
{
    if (isReady_ == isReady)
        return;
    isReady_ = isReady;
    for (const auto* peer : links_.peers())
        sendState(peer->key);
}

void Membership::beginLeaving()
{
    isLeaving_ = true;
    for (const auto* peer : links_.peers())
        sendState(peer->key);
}

std::vector<std::string> Membership::entryAddresses(const std::vector<std::string>& preferredRegions) const
{
    std::vector<const settings::EntryVm*> vms;
    if (isReady_ && !isLeaving_)
        vms.push_back(&settings_.self);
    for (const auto* peer : links_.peers()) {
        if (peer->isUp && peer->isReady && !peer->isLeaving)
            vms.push_back(&peer->vm);
    }
    std::vector<std::string> all;
    std::vector<std::string> preferred;
    for (const auto* vm : vms) {
        const std::string region = settings_.regionOf(vm->dataCentre);
        all.push_back(vm->caller);
        if (std::find(preferredRegions.begin(), preferredRegions.end(), region) != preferredRegions.end())
            preferred.push_back(vm->caller);
    }
    return preferred.empty() ? all : preferred;
}

int Membership::size() const { return 1 + static_cast<int>(links_.peers().size()); }

std::vector<NodeKey> Membership::daemons() const
{
    if (!knowsDaemons_)
        return {};
    std::vector<NodeKey> daemons { routing::nodeKey(settings_.self.id) };
    for (const auto* peer : links_.peers())
        daemons.push_back(peer->key);
    return daemons;
}

int Membership::peersUp() const { return static_cast<int>(connectedPeers().size()); }

loop::TimeMs Membership::oldestReportMs() const
{
    loop::TimeMs oldest = 0;
    for (const auto* peer : links_.peers()) {
        if (peer->isUp)
            oldest = std::max(oldest, loop_.now() - peer->lastReceivedAt);
    }
    return oldest;
}

// ---- private: joining ----

void Membership::readTable()
{
    readRows("", [this](const std::optional<Rows>& rows) {
        if (rows)
            onTable(*rows);
        else
            loop_.after(JOIN_RETRY_MS, [this] { readTable(); });
    });
}

/// Reads all rows from a key on, page by page. Reports nothing if a call failed.
void Membership::readRows(const std::string& fromKey, std::function<void(const std::optional<Rows>&)> onDone, Rows rows)
{
    store_.read(TABLE, fromKey,
        [this, onDone = std::move(onDone), rows = std::move(rows)](const store::RowSet& answer) mutable {
            if (answer.outcome != ReadOutcome::Answered) {
                log_.warn("members-not-read", { { "reason", answer.reason } });
                onDone(std::nullopt);
                return;
            }
            rows.insert(rows.end(), answer.rows.begin(), answer.rows.end());
            if (answer.isTruncated && !answer.rows.empty())
                readRows(answer.rows.back().key + '\0', std::move(onDone), std::move(rows));
            else
                onDone(rows);
        });
}

void Membership::onTable(const Rows& rows)
{
    store::VersionedRow secret;
    std::uint64_t ownVersion = 0;
    bool isJoined = false;
    for (const auto& row : rows) {
        if (row.key == SECRET_KEY)
            secret = row;
        if (row.key == ownKey()) {
            ownVersion = row.version;
            isJoined = row.value == toJson(settings_.self);
        }
    }
    if (secret.value.empty() || !isJoined) {
        join(secret, ownVersion);
        return;
    }
    identity_.fleetSecret = secret.value;
    for (const auto& row : rows) {
        if (isMember(row) && row.key != ownKey())
            addPeer(row);
    }
    std::vector<NodeKey> listed;
    for (const auto* peer : links_.peers())
        listed.push_back(peer->key);
    tables_.setListedPeers(std::move(listed));
    knowsDaemons_ = true;
    hooks_.onPeersChanged();
    openLinks();
}

void Membership::addPeer(const store::VersionedRow& row)
{
    try {
        links_.putPeer(parseVm(row));
    } catch (const std::exception& e) {
        log_.warn("member-row-unreadable", { { "key", row.key }, { "reason", e.what() } });
    }
}

std::string Membership::ownKey() const { return VM_PREFIX + settings_.self.id; }

/// Writes this daemon's row, and the secret if there is none yet, then reads the table again: of two daemons that join
/// concurrently, at least the one that commits last sees the other's row.
void Membership::join(const store::VersionedRow& secret, std::uint64_t ownVersion)
{
    std::vector<store::RowWrite> writes;
    writes.push_back({ TABLE, ownKey(), toJson(settings_.self), ownVersion, true });
    if (secret.value.empty())
        writes.push_back({ TABLE, SECRET_KEY, observe::randomHex(SECRET_BYTES), secret.version, true });
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
    scheduleRenewal();
}

/// Reads the verdicts until the store has answered or a peer has sent them.
void Membership::readVerdicts()
{
    verdictRows_.read([this](const auto& verdicts) {
        if (verdicts) {
            sharedQuarantine_.load(*verdicts);
            setVerdictsLoaded();
        } else if (!hasVerdicts_) {
            loop_.after(VERDICTS_RETRY_MS, [this] { readVerdicts(); });
        }
    });
}

void Membership::setVerdictsLoaded()
{
    if (std::exchange(hasVerdicts_, true))
        return;
    if (hooks_.onVerdictsLoaded)
        hooks_.onVerdictsLoaded();
}

// ---- private: renewal ----

/// Spreads the renewals of daemons that started together over a quarter of the interval.
void Membership::scheduleRenewal()
{
    const auto spread = static_cast<loop::TimeMs>(routing::nodeKey(settings_.self.id) % 256);
    loop_.after(renewalMs_ - renewalMs_ / 4 * spread / 256, [this] { renew(); });
}

void Membership::renew()
{
    readRows(VM_PREFIX, [this](const std::optional<Rows>& rows) {
        if (rows)
            applyRenewal(*rows);
        scheduleRenewal();
    });
}

/// Writes this daemon's row again, also if another daemon removed it, adds new peers and removes expired rows.
void Membership::applyRenewal(const Rows& rows)
{
    std::uint64_t ownVersion = 0;
    for (const auto& row : rows) {
        if (!isMember(row))
            continue;
        if (row.key == ownKey())
            ownVersion = row.version;
        else if (checkExpired(row))
            removeRow(row);
        else
            addPeer(row);
    }
    removeUnlisted(rows);
    hooks_.onPeersChanged();
    store_.commit({ { TABLE, ownKey(), toJson(settings_.self), ownVersion, true } }, [this](RowCommitOutcome outcome) {
        if (outcome != RowCommitOutcome::Committed)
            log_.warn("renewal-failed", { { "reason", "own row not written" } });
    });
}

bool Membership::checkExpired(const store::VersionedRow& row)
{
    RenewalState& renewals = renewals_[row.key];
    renewals.missed = renewals.version == row.version ? renewals.missed + 1 : 0;
    renewals.version = row.version;
    const auto* peer = links_.find(routing::nodeKey(row.key.substr(std::string(VM_PREFIX).size())));
    return renewals.missed >= MISSED_RENEWALS && !(peer && peer->isUp);
}

/// Removes the peers whose link is down and whose row is missing or expired.
void Membership::removeUnlisted(const Rows& rows)
{
    std::vector<NodeKey> removable;
    for (const auto* peer : links_.peers()) {
        const std::string key = VM_PREFIX + peer->vm.id;
        const bool isListed = std::any_of(rows.begin(), rows.end(), [&](const auto& row) { return row.key == key; });
        const auto renewals = renewals_.find(key);
        const bool isRenewed = renewals == renewals_.end() || renewals->second.missed < MISSED_RENEWALS;
        if (!peer->isUp && !(isListed && isRenewed))
            removable.push_back(peer->key);
    }
    for (const NodeKey key : removable) {
        log_.info("peer-forgotten", { { "peer", links_.find(key)->vm.id } });
        links_.removePeer(key);
    }
}

/// Removes an expired row if this daemon leads; the condition on the version keeps a row that was renewed meanwhile.
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
    } else if (const auto* state = std::get_if<DaemonState>(&message)) {
        links_.setPeerState(peer.key, state->ready, state->leaving, state->configDigest);
        if (state->ready)
            setVerdictsLoaded(); // its verdicts precede its state on the link
        hooks_.onPeersChanged();
    } else if (sharedQuarantine_.onMessage(message)) {
        return;
    } else if (const auto* unreachable = std::get_if<UnreachableServers>(&message)) {
        for (const auto server : unreachable->servers)
            hooks_.onServerUnreachable(server);
    } else if (const auto* slow = std::get_if<SlowServers>(&message)) {
        for (const auto& [server, slowness] : slow->servers) {
            if (hooks_.onSlowServer)
                hooks_.onSlowServer(server, slowness);
        }
    } else if (const auto* leaving = std::get_if<LeavingServers>(&message)) {
        for (const auto& instance : leaving->instances) {
            if (servers_.markLeaving(instance))
                log_.infoRateLimited("server-leaving", { { "address", instance.address }, { "peer", peer.vm.id } });
        }
    } else if (const auto* request = std::get_if<MirrorRequest>(&message)) {
        tables_.onRequest(peer.key, *request);
    } else if (const auto* rows = std::get_if<MirrorRows>(&message)) {
        tables_.onRows(peer.key, *rows);
    }
}

void Membership::onUp(const Peer& peer)
{
    log_.info("peer-up", { { "peer", peer.vm.id } });
    for (const auto& message : sharedQuarantine_.currentState())
        links_.send(peer.key, message);
    sendState(peer.key);
    links_.send(peer.key, currentLoads());
    const auto& leaving = servers_.leavingInstances();
    if (!leaving.empty())
        links_.send(peer.key, LeavingServers { { leaving.begin(), leaving.end() } });
    hooks_.onPeersChanged();
}

void Membership::onDown(const Peer& peer)
{
    log_.info("peer-down", { { "peer", peer.vm.id }, { "silentMs", loop_.now() - peer.lastReceivedAt } });
    servers_.removePeer(peer.key);
    tables_.removePeer(peer.key);
    hooks_.onPeersChanged();
}

void Membership::sendState(NodeKey peer)
{
    DaemonState state;
    state.ready = isReady_;
    state.leaving = isLeaving_;
    links_.send(peer, state);
}

loop::TimeMs Membership::loadsPeriodMs(std::size_t peers)
{
    return std::max(TICK_MS, static_cast<loop::TimeMs>(peers) * MS_PER_S / LOADS_PER_S);
}

/// Sends the local loads to the peers that are next in the rotation.
void Membership::sendLoads()
{
    tables_.updateLeading();
    const auto peers = links_.peers();
    if (peers.empty())
        return;
    const ServerLoads loads = currentLoads();
    loop::TimeMs periodMs = loadsPeriodMs(peers.size());
    identity_.timeouts.peerSilenceMs = std::max(PEER_TIMEOUT_MS, PERIODS_TO_TIMEOUT * periodMs);
    if (!loads.open.empty())
        lastBusyAt_ = loop_.now();
    else if (loop_.now() - lastBusyAt_ > periodMs) // all peers have received the empty loads
        periodMs = std::max(periodMs, HEARTBEAT_MS);
    const bool mayLead = loads.storeAnswers && !loads.isWatchOverdue;
    if (mayLead != reportedMayLead_ || loads.isWatchAnswered != reportedAnswers_) {
        reportedMayLead_ = mayLead;
        reportedAnswers_ = loads.isWatchAnswered;
        links_.broadcast(loads); // changes which daemons lead or whether the store is available
        return;
    }
    sendCredit_ += static_cast<double>(peers.size()) * static_cast<double>(TICK_MS) / static_cast<double>(periodMs);
    std::vector<NodeKey> due;
    for (; sendCredit_ >= 1 && due.size() < peers.size(); --sendCredit_)
        due.push_back(peers[nextRecipient_++ % peers.size()]->key);
    sendCredit_ = std::min(sendCredit_, 1.0);
    links_.sendToEach(due, loads);
    if (hooks_.slowServers) {
        const SlowServers slow { hooks_.slowServers() };
        if (!slow.servers.empty())
            links_.sendToEach(due, slow);
    }
}

ServerLoads Membership::currentLoads() const
{
    ServerLoads loads;
    loads.open = servers_.localOpen();
    tables_.fillStoreStatus(loads);
    return loads;
}

void Membership::onLoads(const Peer& peer, const ServerLoads& loads)
{
    servers_.setPeerLoads(peer.key, loads.open);
    tables_.onPeerReport(peer.key, loads);
}

std::vector<NodeKey> Membership::connectedPeers() const
{
    std::vector<NodeKey> up;
    for (const auto* peer : links_.peers()) {
        if (peer->isUp)
            up.push_back(peer->key);
    }
    return up;
}

} // namespace goldcrestcleat::fleet
