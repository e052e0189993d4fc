#pragma once

#include "goldcrestcleat/http/Server.h"

#include <deque>
#include <unordered_map>

namespace goldcrestcleat::http {

/// One request to be sent to an upstream or to the platform.
struct Request {
    std::string method = "GET";
    std::string target = "/";
    Fields fields;
    std::string body;
};

/// How far a call had come when it failed.
enum class FailurePoint {
    NotSent, ///< no byte of the request left this process
    Sent, ///< some of it may have arrived
    Answering
}; ///< the answer had begun

/// A call on one connection; dropping or cancelling it closes that connection.
class Call : public std::enable_shared_from_this<Call> {
public:
    using Ptr = std::shared_ptr<Call>;

    struct Hooks {
        /// Says whether an answer belongs to this call; others are skipped. Every answer does when unset.
        std::function<bool(const Poco::Net::HTTPResponse&)> isOwn;
        std::function<void(const Poco::Net::HTTPResponse&)> onHead;
        std::function<void(std::string_view)> onBody;
        std::function<void()> onEnd;
        std::function<void(FailurePoint, const std::string& reason)> onFailure; ///< the last hook to be called
    };

    ~Call() { cancel(); }

    /// Closes the connection; no hook is called afterwards.
    void cancel();

    /// Stops or restarts reading the answer.
    void setReading(bool reading);

    /// Returns true when the call went out on a connection that had served an earlier one.
    bool isReused() const { return reused_; }

    /// Returns false while no byte of the request can have left this process.
    bool isConnected() const { return point_ != FailurePoint::NotSent; }

    std::size_t receivedBytes() const { return receivedBytes_; }

private:
    friend class Client;

    loop::Connection::Ptr connection_;
    std::unique_ptr<MessageReader> reader_;
    Hooks hooks_;
    FailurePoint point_ = FailurePoint::NotSent;
    bool reused_ = false;
    bool ended_ = false;
    bool keepAlive_ = false;
    bool skipping_ = false; // the answer being read belongs to an earlier call
    loop::TimeMs idleLimitMs_ = 0; // as the upstream states it; 0 when it does not
    std::size_t receivedBytes_ = 0;
};

/// Sends calls, one at a time on each connection, and keeps a few idle connections to each address.
class Client {
public:
    Client(loop::EventLoop& loop, const Limits& answerLimits);

    enum class Reuse {
        Allowed, ///< may take an idle connection
        Recent, ///< only one that was used so lately that the upstream can't have closed it for idleness
        Fresh
    }; ///< opens a new one

    /// Starts a call. Its hooks never run before `start` has returned.
    Call::Ptr start(
        const std::string& address, const Request& request, Call::Hooks hooks, Reuse reuse = Reuse::Allowed);

    /// Bounds the wait for a new connection; 0, the default, leaves it to the system.
    ///
    /// Once connections have opened, the wait is a multiple of the time that they took, never over the bound: whoever
    /// has not answered by then is not there, or lost the first packet, which is sent again only after a second.
    void setConnectTimeout(loop::TimeMs timeoutMs) { connectTimeoutMs_ = timeoutMs; }

    /// Opens a connection without a request and keeps it for the next one; tells whether it opened.
    void open(const std::string& address, std::function<void(bool isOpen)> onDone);

    /// New connections that were opened.
    std::uint64_t opened() const { return opened_; }

    /// Closes idle connections to an address, as after one of them was found silent.
    void dropIdle(const std::string& address);

    /// Bytes written and read by all calls, heads included.
    std::uint64_t bytesOut() const { return bytesOut_; }
    std::uint64_t bytesIn() const { return bytesIn_; }

private:
    struct Idle {
        loop::Connection::Ptr connection;
        loop::TimeMs since;
        loop::TimeMs limitMs;
    };

    loop::TimeMs connectTimeout() const;
    void noteConnected(loop::TimeMs tookMs);
    loop::Connection::Ptr takeIdle(const std::string& address, Reuse reuse);
    void park(const std::string& address, loop::TimeMs limitMs, const loop::Connection::Ptr& connection);
    void boundConnect(const Call::Ptr& call);
    void bind(const Call::Ptr& call, const std::string& address, const std::string& bytes);
    void finish(const Call::Ptr& call, const std::string& address);
    static void fail(const Call::Ptr& call, const std::string& reason);

    loop::EventLoop& loop_;
    Limits limits_;
    std::unordered_map<std::string, std::deque<Idle>> idle_;
    loop::TimeMs connectTimeoutMs_ = 0;
    double slowestConnectMs_ = -1; // of late; negative before the first one
    std::uint64_t opened_ = 0;
    std::uint64_t bytesOut_ = 0;
    std::uint64_t bytesIn_ = 0;
};

} // namespace goldcrestcleat::http
