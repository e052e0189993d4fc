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

void ServerChecks::watch(NodeKey key)
{
    const auto* server = servers_.find(key);
    if (!server || !watched_.insert(key).second)
        return;
    if (server->unreachable == 1)
        log_.decision("server-lost", { { "server", server->entry.id }, { "address", server->entry.address } });
    loop_.after(std::max<loop::TimeMs>(server->checkAt - loop_.now(), 0), [this, key] { check(key); });
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
    client_.open(server->entry.address, [this, key](bool isOpen) { onChecked(key, isOpen); });
}

void ServerChecks::onChecked(NodeKey key, bool isOpen)
{
    watched_.erase(key);
    if (!isOpen) {
        servers_.record(key, Outcome::Unreachable, loop_.now());
        watch(key);
        return;
    }
    servers_.onReached(key);
    if (const auto* server = servers_.find(key))
        log_.decision("server-regained", { { "server", server->entry.id } });
}

} // namespace goldcrestcleat::upstreams
