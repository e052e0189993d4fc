#include "goldcrestcleat/upstreams/ServerRegistryUpdater.h"

#include "goldcrestcleat/errors/ResultCode.h"

namespace goldcrestcleat::upstreams {

namespace {

    constexpr loop::TimeMs SETTLING_PERIOD_MS = 100; // between two checks whether missing entries may still return

    // Time for which a server is held. Those that run write their entries again within two seconds, as the platform
    // documents, and the entries of others expire after three renewals, which are about 1.2 s apart.
    constexpr loop::TimeMs HOLD_MS = 5'000;

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
    std::vector<std::string> lost; // missing in the copy from which the store was restored
    for (const auto& row : rows) {
        if (!row.isRemoved)
            apply(row);
        else
            (row.isRestored ? lost : removed).push_back(row.key);
    }
    if (!removed.empty())
        applyRemoved(removed, version, hooks_.mayHaveExpired());
    if (!lost.empty())
        applyRemoved(lost, version, true);
}

// ---- private ----

void ServerRegistryUpdater::apply(const store::VersionedRow& row)
{
    try {
        const auto entry = hooks_.parse(row.key, row.value);
        log_.infoRateLimited("server",
            { { "server", entry.id }, { "service", entry.service }, { "address", entry.address },
                { "leaving", entry.isLeaving }, { "row", row.version }, { "restored", row.isRestored } });
        if (servers_.put(entry, loop_.now(), row.isRestored))
            hooks_.onRestarted(routing::nodeKey(entry.id));
        if (servers_.find(routing::nodeKey(entry.id))->isHeld) {
            log_.infoRateLimited("server-held", { { "server", entry.id }, { "row", row.version } });
            scheduleRelease();
        }
    } catch (const errors::Error& e) {
        log_.warn("server-entry-invalid",
            { { "server", row.key }, { "code", static_cast<int>(e.code()) }, { "reason", e.what() } });
        servers_.remove(row.key);
    }
}

void ServerRegistryUpdater::applyRemoved(const std::vector<std::string>& ids, std::uint64_t version, bool mayReturn)
{
    const loop::TimeMs unansweredMs = hooks_.storeUnansweredMs();
    servers_.markRemoved(ids, mayReturn, loop_.now());
    for (const auto& id : ids) {
        const auto* server = servers_.find(routing::nodeKey(id));
        log_.infoRateLimited("server-removed",
            { { "server", id }, { "row", version }, { "storeUnansweredMs", unansweredMs },
                { "mayHaveLapsed", server && server->mayHaveExpired } });
    }
    if (mayReturn && !isSettling_)
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
    if (hooks_.mayHaveExpired() || hooks_.mayBeRewritten()) {
        scheduleSettling();
        return;
    }
    for (const auto& id : servers_.giveUpExpired())
        log_.infoRateLimited("server-given-up", { { "server", id } });
}

void ServerRegistryUpdater::scheduleRelease()
{
    loop_.cancel(releaseTimer_);
    releaseTimer_ = loop_.after(HOLD_MS, [this] { releaseHeld(); });
}

/// Releases the held servers, unless this daemon may not have learned yet that their entries were removed again.
void ServerRegistryUpdater::releaseHeld()
{
    if (hooks_.mayHaveExpired()) {
        scheduleRelease();
        return;
    }
    for (const auto& id : servers_.releaseHeld())
        log_.infoRateLimited("server-released", { { "server", id } });
}

} // namespace goldcrestcleat::upstreams
