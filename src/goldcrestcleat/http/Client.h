#pragma once

#include "goldcrestcleat/http/Server.h"

#include <deque>
#include <unordered_map>

namespace goldcrestcleat::http {

/// An outgoing request to an upstream or to the platform.
struct Request {
    std::string method = "GET";
    std::string target = "/";
    Fields fields;
    std::string body;
};

/// How far a call had progressed when it failed; decides whether the request may be repeated.
enum class FailurePoint {
    /// No byte of the request left this process.
    NotSent,
    /// The upstream may have received some of the request.
    Sent,
    /// The response head had been received.
    ResponseStarted
};

/// A request in progress on one connection. Destroying or cancelling it closes the connection.
class Call : public std::enable_shared_from_this<Call> {
public:
    using Ptr = std::shared_ptr<Call>;

    struct Hooks {
        /// Returns whether a response belongs to this call; others are discarded. When unset, every response does.
        std::function<bool(const Poco::Net::HTTPResponse&)> isOwnResponse;
        /// Returns whether a copy of the response could be told from the response to a later call; if not, the
        /// connection is not used again. When unset, it could.
        std::function<bool(const Poco::Net::HTTPResponse&)> isIdentified;
        std::function<void(const Poco::Net::HTTPResponse&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onEnd;
        std::function<void(FailurePoint, const std::string& reason)> onFailure; ///< no hook is called after it
    };

    ~Call() { cancel(); }

    /// Closes the connection. No hook is called afterwards.
    void cancel();

    /// Pauses or resumes reading the response.
    void setReading(bool reading);

    /// Returns whether the request was sent on a connection that had served an earlier one.
    bool isReused() const { return reused_; }

    /// Returns false as long as no byte of the request can have left this process.
    bool isConnected() const { return progress_ != FailurePoint::NotSent; }

    std::size_t receivedBytes() const { return receivedBytes_; }

    /// Returns whether only the end of the connection shows that the response is complete. Known from its head on.
    bool isDelimitedByClose() const { return delimitedByClose_; }

private:
    friend class Client;

    loop::Connection::Ptr connection_;
    std::unique_ptr<MessageReader> reader_;
    Hooks hooks_;
    FailurePoint progress_ = FailurePoint::NotSent;
    bool reused_ = false;
    bool ended_ = false;
    bool keepAlive_ = false;
    bool discardingResponse_ = false; // the response being read belongs to an earlier call
    int discardedResponses_ = 0;
    std::size_t discardedBytes_ = 0; // of their bodies
    loop::TimeMs advertisedIdleMs_ = 0; // from the `Keep-Alive` field; 0 without one
    std::size_t receivedBytes_ = 0;
    bool delimitedByClose_ = false;
};

/// An HTTP/1.1 client with a small pool of idle connections per address; requests are not pipelined.
class Client {
public:
    Client(loop::EventLoop& loop, const Limits& responseLimits);

    enum class Reuse {
        /// May use an idle connection.
        Allowed,
        /// May use an idle connection that was used too recently for the upstream to have closed it as idle.
        RecentOnly,
        /// Always opens a new connection.
        Never
    };

    /// Sends a request. Its hooks never run before `start` has returned.
    Call::Ptr start(
        const std::string& address, const Request& request, Call::Hooks hooks, Reuse reuse = Reuse::Allowed);

    /// Sets the maximum time for opening a connection; 0, the default, leaves it to the operating system.
    ///
    /// Once connections have been opened, the timeout is a multiple of the time that they took, up to this maximum: a
    /// host that has not replied by then is unreachable, or the first packet was lost, which TCP retransmits only after
    /// a second.
    void setConnectTimeout(loop::TimeMs timeoutMs) { connectTimeoutMs_ = timeoutMs; }

    /// Opens a connection and keeps it in the pool for the next request. Reports whether it could be opened.
    void preconnect(const std::string& address, std::function<void(bool isOpen)> onDone);

    /// Returns the number of new connections started so far.
    std::uint64_t openedConnections() const { return openedConnections_; }

    /// Closes idle connections to an address, for example after one of them turned out to be unresponsive.
    void dropIdle(const std::string& address);

    /// Return the bytes written and read by all calls, including message heads.
    std::uint64_t bytesOut() const { return bytesOut_; }
    std::uint64_t bytesIn() const { return bytesIn_; }

private:
    struct IdleConnection {
        loop::Connection::Ptr connection;
        loop::TimeMs idleSince;
        loop::TimeMs limitMs;
    };

    loop::TimeMs connectTimeout() const;
    void recordConnectTime(loop::TimeMs durationMs);
    loop::Connection::Ptr takeIdle(const std::string& address, Reuse reuse);
    void storeIdle(const std::string& address, loop::TimeMs limitMs, const loop::Connection::Ptr& connection);
    void startConnectTimer(const Call::Ptr& call);
    void attachAndSend(const Call::Ptr& call, const std::string& address, const std::string& bytes);
    void finish(const Call::Ptr& call, const std::string& address);
    static void fail(const Call::Ptr& call, const std::string& reason);

    loop::EventLoop& loop_;
    Limits limits_;
    std::unordered_map<std::string, std::deque<IdleConnection>> idle_;
    loop::TimeMs connectTimeoutMs_ = 0;
    double peakConnectMs_ = -1; // decaying maximum; negative before the first connection
    std::uint64_t openedConnections_ = 0;
    std::uint64_t bytesOut_ = 0;
    std::uint64_t bytesIn_ = 0;
};

} // namespace goldcrestcleat::http
