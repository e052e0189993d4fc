#include "goldcrestcleat/upstreams/ServerRegistryUpdater.h"

#include "goldcrestcleat/errors/ResultCode.h"

namespace goldcrestcleat::upstreams {

namespace {

    constexpr loop::TimeMs SETTLING_PERIOD_MS = 100; // between two checks whether missing entries may still return

} // namespace

ServerRegistryUpdater::ServerRegistryUpdater(
    loop::EventLoop& loop, const observe::Log& log, ServerRegistry& servers, Hooks hooks)
    : loop_(loop)
    , log_(log)
    , servers_(servers)
    , hooks_(std::move(hooks))
{
}

void ServerRegistryUpdater::onRows(const std::vector<store::VersionedRow>& rows, std::uint64_t version)
{
    std::vector<std::string> removed;
    for (const auto& row : rows) {
        if (row.isRemoved)
            removed.push_back(row.key);
        else
            apply(row);
    }
    if (!removed.empty())
        applyRemoved(removed, version);
}

// ---- private ----

void ServerRegistryUpdater::apply(const store::VersionedRow& row)
{
    try {
        const auto entry = hooks_.parse(row.key, row.value);
        log_.infoRateLimited("server",
            { { "server", entry.id }, { "service", entry.service }, { "address", entry.address },
                { "leaving", entry.isLeaving }, { "row", row.version } });
        if (servers_.put(entry, loop_.now()))
            hooks_.onRestarted(routing::nodeKey(entry.id));
    } catch (const errors::Error& e) {
        log_.warn("server-entry-invalid",
            { { "server", row.key }, { "code", static_cast<int>(e.code()) }, { "reason", e.what() } });
        servers_.remove(row.key);
    }
}

void ServerRegistryUpdater::applyRemoved(const std::vector<std::string>& ids, std::uint64_t version)
{
    const loop::TimeMs unansweredMs = hooks_.storeUnansweredMs();
    const bool mayHaveExpired = hooks_.mayHaveExpired();
    servers_.markRemoved(ids, mayHaveExpired, loop_.now());
    for (const auto& id : ids) {
        const auto* server = servers_.find(routing::nodeKey(id));
        log_.infoRateLimited("server-removed",
            { { "server", id }, { "row", version }, { "storeUnansweredMs", unansweredMs },
                { "mayHaveLapsed", server && server->mayHaveExpired } });
    }
    if (mayHaveExpired && !isSettling_)
        scheduleSettling();
}

void ServerRegistryUpdater::scheduleSettling()
{
    isSettling_ = true;
    loop_.after(SETTLING_PERIOD_MS, [this] { settleExpired(); });
}

/// Gives up the entries that may have expired once they should have returned.
void ServerRegistryUpdater::settleExpired()
{
    isSettling_ = false;
    if (hooks_.mayHaveExpired()) {
        scheduleSettling();
        return;
    }
    for (const auto& id : servers_.giveUpExpired())
        log_.infoRateLimited("server-given-up", { { "server", id } });
}

} // namespace goldcrestcleat::upstreams
