#include "goldcrestcleat/fleet/SharedTables.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using routing::NodeKey;

namespace {

    constexpr std::size_t LEADERS = 2; // daemons that watch each table; one may fail without a delay
    constexpr loop::TimeMs WATCH_MS = 600; // a leader without an answer for longer is replaced well within 2 s
    constexpr std::size_t PASSED_ON_BYTES = 16 * 1024; // larger changes cost less to read from the store

} // namespace

SharedTables::SharedTables(const loop::EventLoop& loop, NodeKey self, Hooks hooks)
    : loop_(loop)
    , self_(self)
    , hooks_(std::move(hooks))
{
}

void SharedTables::add(store::TableWatcher& watcher)
{
    shared_[watcher.table()].watcher = &watcher;
    watcher.onLearned = [this, table = watcher.table()](std::uint64_t afterVersion, const store::RowChanges& changes) {
        passOn(table, afterVersion, changes);
    };
}

void SharedTables::describe(ServerLoads& loads) const
{
    loads.storeAnswers = true;
    loads.isWatchOverdue = false;
    for (const auto& [table, shared] : shared_) {
        loads.storeAnswers = loads.storeAnswers && shared.watcher->isAnswering();
        loads.isWatchOverdue = loads.isWatchOverdue || shared.watcher->isOverdue();
        loads.newestRows.push_back(shared.watcher->mirror().newestRow());
    }
}

void SharedTables::onPeerReport(NodeKey peer, const ServerLoads& loads)
{
    Contact& contact = contacts_[peer];
    const bool couldLead = contact.mayLead();
    contact = { loads.storeAnswers, loads.isWatchOverdue };
    if (contact.mayLead() != couldLead)
        updateLeading();
    std::size_t index = 0;
    for (auto& [table, shared] : shared_) {
        if (index < loads.newestRows.size())
            catchUp(peer, shared, loads.newestRows[index++]);
    }
}

void SharedTables::forgetPeer(NodeKey peer)
{
    contacts_.erase(peer);
    updateLeading();
}

/// The daemons with the smallest keys that reach the store in time lead.
void SharedTables::updateLeading()
{
    const auto before = static_cast<std::size_t>(std::count_if(contacts_.begin(), contacts_.end(),
        [&](const auto& entry) { return entry.first < self_ && entry.second.mayLead(); }));
    isLeading_ = before < LEADERS;
    for (auto& [table, shared] : shared_)
        shared.watcher->setLeading(isLeading_, WATCH_MS);
}

void SharedTables::repair()
{
    const auto up = hooks_.peersUp();
    if (up.empty())
        return;
    for (const auto& [table, shared] : shared_) {
        if (!shared.watcher->isCurrent())
            hooks_.send(up[nextAsked_++ % up.size()], MirrorAsk { table, shared.watcher->mirror().version() });
    }
}

void SharedTables::onAsk(NodeKey peer, const MirrorAsk& ask)
{
    const auto shared = shared_.find(ask.table);
    if (shared == shared_.end())
        return;
    const auto& watcher = *shared->second.watcher;
    if (watcher.mirror().version() <= ask.afterVersion)
        return;
    hooks_.send(peer,
        MirrorRows { ask.table, ask.afterVersion, lapsedMs(watcher), watcher.mirror().changesAfter(ask.afterVersion) });
}

void SharedTables::onRows(NodeKey peer, const MirrorRows& rows)
{
    const auto shared = shared_.find(rows.table);
    if (shared == shared_.end())
        return;
    const std::uint64_t known = shared->second.watcher->mirror().version();
    if (rows.changes.isWhole || known >= rows.afterVersion)
        shared->second.watcher->applyFromPeer(rows.changes, rows.lapsedMs);
    else
        hooks_.send(peer, MirrorAsk { rows.table, known });
}

bool SharedTables::hasPeerWithoutStore() const
{
    return std::any_of(
        contacts_.begin(), contacts_.end(), [](const auto& entry) { return !entry.second.storeAnswers; });
}

// ---- private ----

void SharedTables::passOn(const std::string& table, std::uint64_t afterVersion, const store::RowChanges& changes)
{
    if (afterVersion == 0)
        return;
    std::size_t bytes = 0;
    for (const auto& row : changes.rows)
        bytes += row.key.size() + row.value.size();
    if (bytes > PASSED_ON_BYTES) {
        hooks_.announce(); // tells the peers that there is something to read
        return;
    }
    hooks_.broadcast(MirrorRows { table, afterVersion, lapsedMs(*shared_.at(table).watcher), changes });
}

/// Catches up with a peer that has newer rows: from the store at once, and from the peer if that takes too long.
void SharedTables::catchUp(NodeKey peer, Shared& shared, std::uint64_t newestRow)
{
    if (newestRow <= shared.watcher->mirror().version()) {
        shared.behindSince = 0;
        return;
    }
    if (shared.behindSince == 0) {
        shared.behindSince = loop_.now();
        shared.watcher->checkNow();
    } else if (loop_.now() - shared.behindSince > REPAIR_PERIOD_MS) {
        shared.behindSince = loop_.now();
        hooks_.send(peer, MirrorAsk { shared.watcher->table(), shared.watcher->mirror().version() });
    }
}

loop::TimeMs SharedTables::lapsedMs(const store::TableWatcher& watcher) const
{
    return std::max<loop::TimeMs>(0, watcher.lapsedUntil() - loop_.now());
}

} // namespace goldcrestcleat::fleet
