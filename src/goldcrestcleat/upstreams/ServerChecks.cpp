#include "goldcrestcleat/upstreams/ServerChecks.h"

#include <algorithm>

namespace goldcrestcleat::upstreams {

using routing::NodeKey;

ServerChecks::ServerChecks(loop::EventLoop& loop, http::Client& client, ServerBook& servers, const observe::Log& log)
    : loop_(loop)
    , client_(client)
    , servers_(servers)
    , log_(log)
{
}

void ServerChecks::watch(NodeKey key, Source source)
{
    const auto* server = servers_.find(key);
    if (!server || !watched_.insert(key).second)
        return;
    loop_.after(std::max<loop::TimeMs>(server->checkAt - loop_.now(), 0), [this, key] { check(key); });
    if (server->unreachable != 1)
        return;
    log_.infoRateLimited("server-lost", { { "server", server->entry.id }, { "address", server->entry.address } });
    if (onLost)
        onLost(key, source);
}

void ServerChecks::suspect(NodeKey key, Source source)
{
    const auto* server = servers_.find(key);
    if (!server || server->unreachable > 0)
        return;
    const auto last = suspectedAt_.find(key);
    if (last != suspectedAt_.end() && loop_.now() - last->second < SUSPECT_PERIOD_MS)
        return;
    suspectedAt_[key] = loop_.now();
    client_.preconnect(server->entry.address, [this, key, source](bool isOpen) {
        if (!isOpen)
            onFailed(key, source);
    });
    dropOldSuspicions();
}

// ---- private ----

void ServerChecks::check(NodeKey key)
{
    const auto* server = servers_.find(key);
    const bool isOver = !server || server->unreachable == 0 || server->vanishedAt || server->entry.isLeaving;
    if (isOver) {
        watched_.erase(key);
        return;
    }
    client_.preconnect(server->entry.address, [this, key](bool isOpen) { onChecked(key, isOpen); });
}

void ServerChecks::onChecked(NodeKey key, bool isOpen)
{
    watched_.erase(key);
    if (!isOpen) {
        onFailed(key, Source::Own);
        return;
    }
    servers_.onReached(key);
    if (const auto* server = servers_.find(key))
        log_.infoRateLimited("server-regained", { { "server", server->entry.id } });
}

void ServerChecks::onFailed(NodeKey key, Source source)
{
    servers_.record(key, Outcome::Unreachable, loop_.now());
    watch(key, source);
}

void ServerChecks::dropOldSuspicions()
{
    for (auto it = suspectedAt_.begin(); it != suspectedAt_.end();)
        it = loop_.now() - it->second < SUSPECT_PERIOD_MS ? std::next(it) : suspectedAt_.erase(it);
}

} // namespace goldcrestcleat::upstreams
