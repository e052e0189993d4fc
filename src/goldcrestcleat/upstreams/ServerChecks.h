#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/upstreams/ServerBook.h"

#include <functional>
#include <map>
#include <set>

namespace goldcrestcleat::upstreams {

/// Finds out which servers can't be reached, and when they are back, so that few requests have to wait for that.
///
/// Each is tried with a bare connection; one that opens serves the next request. A server that is lost is tried at
/// longer and longer intervals. Silence, or the report of a peer, alone decides nothing: it makes this daemon look.
class ServerChecks {
public:
    /// Time between two looks at a server that answers, whatever is reported of it.
    static constexpr loop::TimeMs SUSPECT_PERIOD_MS = 1'000;

    /// All must outlive this object.
    ServerChecks(loop::EventLoop& loop, http::Client& client, ServerBook& servers, const observe::Log& log);

    /// Who found a reason to look after a server.
    enum class Source { Own, Peer };

    /// Looks after a server to which a connection has just failed.
    void watch(routing::NodeKey server, Source source = Source::Own);

    /// Looks whether a server that is silent, or that a peer could not reach, can be reached.
    void suspect(routing::NodeKey server, Source source);

    /// Called when a server is lost; another call follows only after it was reached again.
    std::function<void(routing::NodeKey server, Source source)> onLost;

private:
    void check(routing::NodeKey server);
    void onChecked(routing::NodeKey server, bool isOpen);
    void onFailed(routing::NodeKey server, Source source);
    void dropOldSuspicions();

    loop::EventLoop& loop_;
    http::Client& client_;
    ServerBook& servers_;
    const observe::Log& log_;
    std::set<routing::NodeKey> watched_;
    std::map<routing::NodeKey, loop::TimeMs> suspectedAt_;
};

} // namespace goldcrestcleat::upstreams
