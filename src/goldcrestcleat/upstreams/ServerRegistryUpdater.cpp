#include "goldcrestcleat/upstreams/ServerRegistryUpdater.h"

#include "goldcrestcleat/errors/ResultCode.h"

namespace goldcrestcleat::upstreams {

ServerRegistryUpdater::ServerRegistryUpdater(
    const loop::EventLoop& loop, const observe::Log& log, ServerRegistry& servers, Hooks hooks)
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
    servers_.markRemoved(ids, hooks_.removalPolicy(), loop_.now());
    for (const auto& id : ids) {
        const auto* server = servers_.find(routing::nodeKey(id));
        log_.infoRateLimited("server-removed",
            { { "server", id }, { "row", version }, { "mayHaveLapsed", server && server->mayHaveExpired } });
    }
}

} // namespace goldcrestcleat::upstreams
