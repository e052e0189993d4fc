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

    /// From this number on, a new connection takes the place of a stalled one, or is closed without being read.
    std::size_t hardLimit = std::numeric_limits<std::size_t>::max();

    /// Memory of all requests from which on stalled ones are given up and further large bodies are refused. Small ones
    /// are refused from half as much more on.
    std::size_t inputBytes = std::numeric_limits<std::size_t>::max() / 2;

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

    void setCapacity(const ServerCapacity& capacity);

    /// Called with the reason when a new connection is closed without being read, or cannot be accepted, or when a
    /// stalled one is closed in its place; may be unset.
    std::function<void(const std::string& reason)> onConnectionRejected;

    /// Closes each connection after its next response; idle connections stay open.
    void closeAfterResponses();

    /// Stops accepting connections; open sessions continue.
    void closeListener() { listener_.close(); }

    /// Closes sessions without an open request; the others close after their response.
    void closeIdle();

    std::size_t sessionCount() const { return sessions_.size(); }

    /// Counts the memory of requests together with that of other servers. Must be called before the first connection.
    void shareInputMemory(std::shared_ptr<InputMemory> memory) { input_ = std::move(memory); }

    /// Returns the memory that requests take at this server and those that share their memory with it, in bytes.
    std::size_t inputBytes() const { return input_->bytes(); }

private:
    friend class ServerSession;

    void accept(const Poco::Net::StreamSocket& socket);
    void rejectConnection(const std::string& reason) const;
    bool closeStalledSession();
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
    std::shared_ptr<InputMemory> input_ = std::make_shared<InputMemory>(); // exchanges may outlive the server
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0); // timers hold weak references to detect destruction
};

} // namespace goldcrestcleat::http
