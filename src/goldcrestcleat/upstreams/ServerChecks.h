#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/upstreams/ServerBook.h"

#include <set>

namespace goldcrestcleat::upstreams {

/// Finds out when servers that could not be reached are back, so that no request has to wait for that.
///
/// Each is tried with a bare connection, at longer and longer intervals; one that opens serves the next request.
class ServerChecks {
public:
    /// All must outlive this object.
    ServerChecks(loop::EventLoop& loop, http::Client& client, ServerBook& servers, const observe::Log& log);

    /// Looks after a server to which a connection has just failed.
    void watch(routing::NodeKey server);

private:
    void check(routing::NodeKey server);
    void onChecked(routing::NodeKey server, bool isOpen);

    loop::EventLoop& loop_;
    http::Client& client_;
    ServerBook& servers_;
    const observe::Log& log_;
    std::set<routing::NodeKey> watched_;
};

} // namespace goldcrestcleat::upstreams
