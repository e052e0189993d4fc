#pragma once

#include "goldcrestcleat/http/Exchange.h"
#include "goldcrestcleat/http/MessageReader.h"
#include "goldcrestcleat/loop/Connection.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestcleat::http {

/// Timeouts of a server, in ms.
struct ServerTimeouts {
    loop::TimeMs requestMs = 10'000; ///< from a request's first byte to its last
    loop::TimeMs idleMs = 60'000; ///< between requests
    loop::TimeMs writeStallMs = 30'000; ///< without progress in sending a response
};

/// Limits on the connections and the memory of a server.
struct ServerCapacity {
    /// From this number on, each connection is closed after its next response.
    std::size_t softLimit = std::numeric_limits<std::size_t>::max();

    /// From this number on, new connections are closed without being read.
    std::size_t hardLimit = std::numeric_limits<std::size_t>::max();

    /// Bytes of the bodies of all open requests from which on further large bodies are refused. Small ones are refused
    /// from half as much more on.
    std::size_t bodyBytes = std::numeric_limits<std::size_t>::max() / 2;

    static constexpr std::size_t SMALL_BODY_BYTES = 64 * 1024;
};

/// An HTTP/1.1 server. Each session handles one request at a time; pipelined requests wait in its buffer.
class Server {
public:
    using Handler = std::function<void(Exchange::Ptr)>;
    using ErrorHandler = std::function<void(Exchange::Ptr, errors::ResultCode, const std::string& context)>;

    Server(loop::EventLoop& loop, const std::string& address, const Limits& limits, const ServerTimeouts& timeouts,
        Handler onRequest, ErrorHandler onError);
    ~Server();

    std::string address() const { return listener_.address(); }

    /// Changes the size limits, effective from the next request of each session.
    void setLimits(const Limits& limits) { limits_ = limits; }

    /// Changes the timeouts, effective immediately.
    void setTimeouts(const ServerTimeouts& timeouts) { timeouts_ = timeouts; }

    void setCapacity(const ServerCapacity& capacity) { capacity_ = capacity; }

    /// Called with the reason when a new connection is closed without being read, or cannot be accepted; may be unset.
    std::function<void(const std::string& reason)> onConnectionRejected;

    /// Closes each connection after its next response; idle connections stay open.
    void closeAfterResponses();

    /// Stops accepting connections; open sessions continue.
    void closeListener() { listener_.close(); }

    /// Closes sessions without an open request; the others close after their response.
    void closeIdle();

    std::size_t sessionCount() const { return sessions_.size(); }

    /// Returns the bytes of the bodies of all open requests.
    std::size_t heldBodyBytes() const { return *heldBodyBytes_; }

private:
    friend class ServerSession;

    void accept(const Poco::Net::StreamSocket& socket);
    void rejectConnection(const std::string& reason) const;
    bool isAtSoftLimit() const { return sessions_.size() >= capacity_.softLimit; }
    void removeClosedSessions();
    void checkTimeouts();

    loop::EventLoop& loop_;
    Limits limits_;
    ServerTimeouts timeouts_;
    ServerCapacity capacity_;
    Handler onRequest_;
    ErrorHandler onError_;
    std::vector<std::shared_ptr<ServerSession>> sessions_; // may contain sessions closed since the last check
    loop::Listener listener_;
    bool draining_ = false;
    std::shared_ptr<std::size_t> heldBodyBytes_ = std::make_shared<std::size_t>(0); // exchanges may outlive the server
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0); // timers hold weak references to detect destruction
};

} // namespace goldcrestcleat::http
