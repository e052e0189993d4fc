#pragma once

#include "goldcrestcleat/http/MessageReader.h"
#include "goldcrestcleat/loop/Connection.h"

#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestcleat::http {

/// Header fields in the order they are written.
using Fields = std::vector<std::pair<std::string, std::string>>;

class ServerSession;

/// One request and the means to answer it; stays usable, and silent, after the caller has gone.
class Exchange {
public:
    using Ptr = std::shared_ptr<Exchange>;

    Exchange(std::weak_ptr<ServerSession> session, const Poco::Net::HTTPRequest& head);

    const Poco::Net::HTTPRequest& head() const { return head_; }
    std::string header(const std::string& name) const { return head_.get(name, ""); }

    /// Returns the path without its query.
    const std::string& path() const { return path_; }

    /// Returns a query parameter, or an empty string.
    std::string query(const std::string& name) const;

    const std::string& body() const { return body_; }

    /// Returns the steady time of the request's first byte, in ms.
    loop::TimeMs arrivedAt() const { return arrivedAt_; }

    /// Sends a whole answer.
    void reply(int status, const Fields& fields, std::string_view body);

    /// Begins an answer whose parts follow by `write`.
    void startStream(int status, const Fields& fields);
    void write(std::string_view part);
    void finishStream();

    /// Breaks the connection, so that the caller can see that the answer is not whole.
    void abort();

    bool isStreaming() const { return streaming_; }

    /// Returns the number of answer bytes that the caller has not taken yet.
    std::size_t backlog() const;

    std::function<void()> onCallerGone;
    std::function<void()> onDrain;

private:
    friend class ServerSession;

    std::weak_ptr<ServerSession> session_;
    Poco::Net::HTTPRequest head_;
    std::string path_;
    std::vector<std::pair<std::string, std::string>> query_;
    std::string body_;
    loop::TimeMs arrivedAt_ = 0;
    bool answered_ = false;
    bool streaming_ = false;
};

/// Time allowances of a server, in ms.
struct ServerTimeouts {
    loop::TimeMs requestMs = 10'000; ///< from a request's first byte to its last
    loop::TimeMs idleMs = 60'000; ///< between requests
    loop::TimeMs writeStallMs = 30'000; ///< without the caller taking a byte
};

/// How many callers' connections a server keeps.
struct ServerCapacity {
    std::size_t crowded = std::numeric_limits<std::size_t>::max(); ///< from here on, each answer ends its connection
    std::size_t full = std::numeric_limits<std::size_t>::max(); ///< from here on, new connections are closed unread
};

/// An HTTP/1.1 listener; each session handles one request at a time, later ones wait in its buffer.
class Server {
public:
    using Handler = std::function<void(Exchange::Ptr)>;
    using FaultHandler = std::function<void(Exchange::Ptr, errors::ResultCode, const std::string& context)>;

    Server(loop::EventLoop& loop, const std::string& address, const Limits& limits, const ServerTimeouts& timeouts,
        Handler onRequest, FaultHandler onFault);
    ~Server();

    std::string address() const { return listener_.address(); }

    /// Changes what callers may send and how long they may take; holds from the next request of each session on.
    void setLimits(const Limits& limits) { limits_ = limits; }
    void setTimeouts(const ServerTimeouts& timeouts) { timeouts_ = timeouts; }

    void setCapacity(const ServerCapacity& capacity) { capacity_ = capacity; }

    /// Called when a new connection is closed unread, or not even accepted, with the reason; may be unset.
    std::function<void(const std::string& reason)> onTurnedAway;

    /// Makes every answer from now on the last of its connection; idle connections stay open.
    void closeAfterAnswers();

    /// Stops accepting; open sessions go on.
    void closeListener() { listener_.close(); }

    /// Closes sessions that have no request open, and makes the others close after their answer.
    void closeIdle();

    std::size_t sessionCount() const { return sessions_.size(); }

private:
    friend class ServerSession;

    void accept(const Poco::Net::StreamSocket& socket);
    void turnAway(const std::string& reason) const;
    bool isCrowded() const { return sessions_.size() >= capacity_.crowded; }
    void dropFinished();
    void checkSessions();

    loop::EventLoop& loop_;
    Limits limits_;
    ServerTimeouts timeouts_;
    ServerCapacity capacity_;
    Handler onRequest_;
    FaultHandler onFault_;
    std::vector<std::shared_ptr<ServerSession>> sessions_; // some may have ended since the last check
    loop::Listener listener_;
    bool draining_ = false;
    std::shared_ptr<int> token_ = std::make_shared<int>(0); // expires with the server, and its timer with it
};

} // namespace goldcrestcleat::http
