#include "goldcrestcleat/upstreams/ReachabilityChecker.h"

#include <algorithm>

namespace goldcrestcleat::upstreams {

using routing::NodeKey;

ReachabilityChecker::ReachabilityChecker(
    loop::EventLoop& loop, http::Client& client, ServerRegistry& servers, const observe::Log& log)
    : loop_(loop)
    , client_(client)
    , servers_(servers)
    , log_(log)
{
}

void ReachabilityChecker::scheduleCheck(NodeKey key, Source source)
{
    const auto* server = servers_.find(key);
    if (!server || !scheduled_.insert(key).second)
        return;
    loop_.after(std::max<loop::TimeMs>(server->nextCheckAt - loop_.now(), 0), [this, key] { check(key); });
    if (server->connectFailures != 1)
        return;
    log_.infoRateLimited("server-lost", { { "server", server->entry.id }, { "address", server->entry.address } });
    if (onUnreachable)
        onUnreachable(key, source);
}

void ReachabilityChecker::suspect(NodeKey key, Source source)
{
    const auto* server = servers_.find(key);
    if (!server || server->connectFailures > 0)
        return;
    const auto last = suspectedAt_.find(key);
    if (last != suspectedAt_.end() && loop_.now() - last->second < SUSPECT_PERIOD_MS)
        return;
    suspectedAt_[key] = loop_.now();
    client_.preconnect(server->entry.address, [this, key, source](bool isOpen) {
        if (!isOpen)
            onFailed(key, source);
    });
    pruneSuspicions();
}

void ReachabilityChecker::checkEnded(NodeKey key)
{
    const auto* server = servers_.find(key);
    if (!server)
        return;
    if (server->connectFailures > 0) {
        onEnded(key);
        return;
    }
    if (!endChecks_.insert(key).second)
        return;
    client_.preconnect(server->entry.address, [this, key](bool isOpen) {
        endChecks_.erase(key);
        if (isOpen)
            return;
        onFailed(key, Source::Local);
        onEnded(key);
    });
}

// ---- private ----

void ReachabilityChecker::check(NodeKey key)
{
    const auto* server = servers_.find(key);
    const bool isObsolete = !server || server->connectFailures == 0 || server->removedAt || server->isLeaving();
    if (isObsolete) {
        scheduled_.erase(key);
        return;
    }
    client_.preconnect(server->entry.address, [this, key](bool isOpen) { onChecked(key, isOpen); });
}

void ReachabilityChecker::onChecked(NodeKey key, bool isOpen)
{
    scheduled_.erase(key);
    if (!isOpen) {
        onFailed(key, Source::Local);
        return;
    }
    servers_.onConnected(key, loop_.now());
    if (const auto* server = servers_.find(key))
        log_.infoRateLimited("server-regained", { { "server", server->entry.id } });
}

void ReachabilityChecker::onFailed(NodeKey key, Source source)
{
    servers_.recordOutcome(key, Outcome::Unreachable, loop_.now());
    scheduleCheck(key, source);
}

void ReachabilityChecker::pruneSuspicions()
{
    for (auto it = suspectedAt_.begin(); it != suspectedAt_.end();)
        it = loop_.now() - it->second < SUSPECT_PERIOD_MS ? std::next(it) : suspectedAt_.erase(it);
}

} // namespace goldcrestcleat::upstreams
