#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <functional>
#include <map>
#include <set>

namespace goldcrestcleat::upstreams {

/// Detects unreachable servers and their return, so that few requests have to wait for a connection timeout.
///
/// A check opens a connection, which is kept for the next request. Unreachable servers are checked with exponential
/// backoff. An unresponsive server or the report of a peer only triggers a check; the state depends on its result
/// alone.
class ReachabilityChecker {
public:
    /// Minimum time between two checks of a suspected server that turned out to be reachable.
    static constexpr loop::TimeMs SUSPECT_PERIOD_MS = 1'000;

    /// All must outlive this object.
    ReachabilityChecker(loop::EventLoop& loop, http::Client& client, ServerRegistry& servers, const observe::Log& log);

    /// Origin of the reason to check a server.
    enum class Source { Local, Peer };

    /// Schedules checks of a server to which a connection has just failed, until one succeeds.
    void scheduleCheck(routing::NodeKey server, Source source = Source::Local);

    /// Checks a server that is unresponsive, or that a peer could not reach.
    void suspect(routing::NodeKey server, Source source);

    /// Checks at once a server that interrupted an answer. If it is already known to be unreachable, reports that
    /// again.
    void checkEnded(routing::NodeKey server);

    /// Called when a server turns out to be unreachable after `checkEnded`.
    std::function<void(routing::NodeKey server)> onEnded;

    /// Called when a server becomes unreachable, once until it has been reached again.
    std::function<void(routing::NodeKey server, Source source)> onUnreachable;

private:
    void check(routing::NodeKey server);
    void onChecked(routing::NodeKey server, bool isOpen);
    void onFailed(routing::NodeKey server, Source source);
    void pruneSuspicions();

    loop::EventLoop& loop_;
    http::Client& client_;
    ServerRegistry& servers_;
    const observe::Log& log_;
    std::set<routing::NodeKey> scheduled_;
    std::map<routing::NodeKey, loop::TimeMs> suspectedAt_;
    std::set<routing::NodeKey> endChecks_; // open checks whether a server has ended
};

} // namespace goldcrestcleat::upstreams
