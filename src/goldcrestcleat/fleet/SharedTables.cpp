#include "goldcrestcleat/fleet/SharedTables.h"

#include <algorithm>
#include <utility>

namespace goldcrestcleat::fleet {

using routing::NodeKey;

namespace {

    constexpr std::size_t LEADER_COUNT = 2; // daemons that watch each table; one may fail without delaying changes
    constexpr loop::TimeMs WATCH_MS = 600; // a leader whose watch exceeds this is replaced well within 2 s
    constexpr std::size_t MAX_BROADCAST_BYTES = 16 * 1024; // larger changes are requested, which spreads the load

} // namespace

SharedTables::SharedTables(const loop::EventLoop& loop, NodeKey self, Hooks hooks)
    : loop_(loop)
    , self_(self)
    , startedAt_(loop.now())
    , hooks_(std::move(hooks))
    , outages_(startedAt_)
{
}

void SharedTables::add(store::TableWatcher& watcher)
{
    tables_[watcher.table()].watcher = &watcher;
    watcher.onStoreChanges = [this, &watcher](std::uint64_t afterVersion, const auto& changed) {
        forwardChanges(tables_.at(watcher.table()), afterVersion, changed);
    };
    watcher.onNewEra = [this] { outages_.observeRestore(loop_.now()); };
    watcher.onStoreRestored
        = [this, &watcher](std::size_t changedRows) { onStoreRestored(tables_.at(watcher.table()), changedRows); };
    watcher.onAnswer = [this] { outages_.observe(loop_.now(), true); };
    watcher.onNoAnswer = [this](loop::TimeMs calledAt) { outages_.observeFailure(calledAt); };
    updateLeading();
}

void SharedTables::setListedPeers(std::vector<NodeKey> peers)
{
    listedPeers_ = std::move(peers);
    knowsPeers_ = true;
    updateLeading();
}

void SharedTables::fillStoreStatus(ServerLoads& loads) const
{
    loads.storeAnswers = true;
    loads.isWatchOverdue = false;
    loads.isWatchAnswered = false;
    for (const auto& [table, shared] : tables_) {
        loads.storeAnswers = loads.storeAnswers && shared.watcher->isAnswering();
        loads.isWatchOverdue = loads.isWatchOverdue || shared.watcher->isOverdue();
        loads.isWatchAnswered = loads.isWatchAnswered || shared.watcher->isWatchAnswered();
        const auto& mirror = shared.watcher->mirror();
        loads.newestRows.push_back({ mirror.era(), mirror.newestRow() });
    }
}

void SharedTables::onPeerReport(NodeKey peer, const ServerLoads& loads)
{
    StoreStatus& status = storeStatus_[peer];
    const bool couldLead = status.mayLead();
    status = { loads.storeAnswers, loads.isWatchOverdue, loads.isWatchAnswered };
    observeStore();
    if (status.mayLead() != couldLead)
        updateLeading();
    std::size_t index = 0;
    for (auto& [table, shared] : tables_) {
        if (index < loads.newestRows.size())
            catchUp(peer, shared, loads.newestRows[index++]);
    }
}

void SharedTables::removePeer(NodeKey peer)
{
    storeStatus_.erase(peer);
    updateLeading();
}

/// Of the daemons that reach the store in time, those with the smallest keys lead.
void SharedTables::updateLeading()
{
    observeStore();
    const bool isSettling = loop_.now() - startedAt_ < SETTLING_MS;
    const std::size_t leadersBefore = countLeadersBefore();
    setLeading((knowsPeers_ || !isSettling) && leadersBefore < LEADER_COUNT, leadersBefore);
    for (auto& [table, shared] : tables_)
        shared.watcher->setLeading(isLeading_, WATCH_MS);
}

void SharedTables::repair()
{
    const auto up = hooks_.peersUp();
    if (up.empty())
        return;
    for (const auto& [table, shared] : tables_) {
        const auto known = shared.watcher->mirror().state();
        if (!shared.watcher->isCurrent())
            hooks_.send(up[nextPeer_++ % up.size()], MirrorRequest { table, known.version, known.era });
    }
}

void SharedTables::onRequest(NodeKey peer, const MirrorRequest& request)
{
    const auto shared = tables_.find(request.table);
    if (shared == tables_.end())
        return;
    const auto& mirror = shared->second.watcher->mirror();
    if (mirror.state() <= store::StateVersion { request.era, request.afterVersion })
        return;
    const std::uint64_t afterVersion = request.era == mirror.era() ? request.afterVersion : 0;
    hooks_.send(peer, MirrorRows { request.table, afterVersion, mirror.changesAfter(afterVersion) });
}

void SharedTables::onRows(NodeKey peer, const MirrorRows& rows)
{
    const auto shared = tables_.find(rows.table);
    if (shared == tables_.end())
        return;
    const store::StateVersion known = shared->second.watcher->mirror().state();
    if (rows.changes.era < known.era)
        return;
    const bool follows = rows.changes.era == known.era && known.version >= rows.afterVersion;
    if (rows.changes.isComplete || follows) {
        if (const std::size_t changed = shared->second.watcher->applyFromPeer(rows.changes))
            reportRows(shared->second, changed, peer);
    } else
        hooks_.send(peer, MirrorRequest { rows.table, known.version, known.era });
}

bool SharedTables::mayHaveExpired()
{
    observeStore();
    return outages_.mayHaveExpired(loop_.now());
}

std::vector<SharedTables::TableStatus> SharedTables::status() const
{
    std::vector<TableStatus> all;
    for (const auto& [table, shared] : tables_) {
        const auto& mirror = shared.watcher->mirror();
        const loop::TimeMs behindMs = shared.behindSince == 0 ? 0 : loop_.now() - shared.behindSince;
        all.push_back({ table, mirror.state(), mirror.newestRow(), behindMs });
    }
    return all;
}

// ---- private ----

void SharedTables::report(const std::string& event, nlohmann::json fields, NodeKey source) const
{
    if (hooks_.onEvent)
        hooks_.onEvent(event, std::move(fields), source);
}

void SharedTables::reportRows(const SharedTable& shared, std::size_t rows, NodeKey source) const
{
    const auto& mirror = shared.watcher->mirror();
    report("table-rows",
        { { "table", shared.watcher->table() }, { "source", "store" }, { "rows", rows },
            { "version", mirror.version() }, { "era", mirror.era() }, { "newestRow", mirror.newestRow() },
            { "leading", isLeading_ } },
        source);
}

void SharedTables::setLeading(bool isLeading, std::size_t leadersBefore)
{
    if (isLeading == isLeading_)
        return;
    isLeading_ = isLeading;
    report("leading",
        { { "leading", isLeading_ }, { "leadersBefore", leadersBefore }, { "reports", storeStatus_.size() } });
}

/// Returns the number of peers with smaller keys than this daemon's that can lead.
std::size_t SharedTables::countLeadersBefore() const
{
    auto count = static_cast<std::size_t>(std::count_if(storeStatus_.begin(), storeStatus_.end(),
        [&](const auto& entry) { return entry.first < self_ && entry.second.mayLead(); }));
    if (loop_.now() - startedAt_ < SETTLING_MS)
        count += static_cast<std::size_t>(std::count_if(listedPeers_.begin(), listedPeers_.end(),
            [&](NodeKey peer) { return peer < self_ && storeStatus_.count(peer) == 0; }));
    return count;
}

/// Records whether the store answers this daemon, or a peer whose link is up according to its last report.
void SharedTables::observeStore()
{
    const bool answersSelf = std::any_of(
        tables_.begin(), tables_.end(), [](const auto& entry) { return entry.second.watcher->isWatchAnswered(); });
    const bool answersPeer = std::any_of(
        storeStatus_.begin(), storeStatus_.end(), [](const auto& entry) { return entry.second.isWatchAnswered; });
    outages_.observe(loop_.now(), answersSelf || answersPeer);
}

/// Sends the peers all rows that are newer than a version, also those whose values have not changed: a peer that counts
/// a version as known must hold the versions of all rows up to it, or it takes an older copy of such a row for a newer
/// one.
void SharedTables::forwardChanges(
    const SharedTable& shared, std::uint64_t afterVersion, const std::vector<store::VersionedRow>& changed)
{
    reportRows(shared, changed.size(), routing::NO_NODE);
    if (afterVersion == 0)
        return;
    // Rows that this daemon missed are missing at the peers too, which count their versions as known.
    const bool wereMissed = std::any_of(changed.begin(), changed.end(),
        [afterVersion](const auto& row) { return !row.isRemoved && row.version <= afterVersion; });
    const auto& watcher = *shared.watcher;
    const auto changes = watcher.mirror().changesAfter(wereMissed ? 0 : afterVersion);
    std::size_t bytes = 0;
    for (const auto& row : changes.rows)
        bytes += row.key.size() + row.value.size();
    if (bytes > MAX_BROADCAST_BYTES && !wereMissed) {
        hooks_.sendLoads(); // the peers see the newer versions and request them
        return;
    }
    hooks_.broadcast(MirrorRows { watcher.table(), afterVersion, changes });
}

/// Announces the new era. The peers request the rows, since each of them lacks others.
void SharedTables::onStoreRestored(const SharedTable& shared, std::size_t changedRows)
{
    reportRows(shared, changedRows, routing::NO_NODE);
    hooks_.sendLoads();
}

/// Catches up with a peer that has newer rows, if they do not arrive as a broadcast: first from that peer, then also
/// from the store. The rows of a new era are not broadcast.
void SharedTables::catchUp(NodeKey peer, SharedTable& shared, store::StateVersion newestRow)
{
    const loop::TimeMs now = loop_.now();
    const store::StateVersion known = shared.watcher->mirror().state();
    shared.newestRow = std::max(shared.newestRow, newestRow);
    if (shared.newestRow <= known) {
        if (shared.isBehindReported)
            report("table-caught-up",
                { { "table", shared.watcher->table() }, { "version", known.version }, { "era", known.era },
                    { "behindMs", now - shared.behindSince } });
        shared.behindSince = shared.requestedAt = 0;
        shared.isBehindReported = false;
        return;
    }
    if (shared.behindSince == 0)
        shared.behindSince = now;
    const bool isRequested = shared.requestedAt != 0;
    const bool isBroadcast = newestRow.era == known.era && now - shared.behindSince < BROADCAST_MS;
    const bool isWaiting = isBroadcast || (isRequested && now - shared.requestedAt < REPAIR_PERIOD_MS);
    if (isWaiting || newestRow <= known)
        return;
    shared.requestedAt = now;
    hooks_.send(peer, MirrorRequest { shared.watcher->table(), known.version, known.era });
    if (!isRequested)
        return;
    shared.watcher->checkNow();
    if (std::exchange(shared.isBehindReported, true))
        return;
    report("table-behind",
        { { "table", shared.watcher->table() }, { "version", known.version }, { "era", known.era },
            { "newestRow", shared.newestRow.version }, { "newestEra", shared.newestRow.era },
            { "behindMs", now - shared.behindSince }, { "storeAnswers", shared.watcher->isAnswering() } },
        peer);
}

} // namespace goldcrestcleat::fleet
