#pragma once

#include "goldcrestcleat/loop/Connection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrestcleat::fleet {

/// A websocket connection between two daemons, driven by the event loop.
class PeerSocket {
public:
    struct Hooks {
        std::function<void()> onOpen;
        std::function<void(std::string_view message)> onMessage;
        std::function<void(const std::string& reason)> onClose; ///< called once, and not after `close`
    };

    static std::shared_ptr<PeerSocket> dial(loop::EventLoop& loop, const std::string& address, Hooks hooks);

    /// Performs the server's handshake on a TCP connection that a peer opened.
    static std::shared_ptr<PeerSocket> accept(
        loop::EventLoop& loop, const Poco::Net::StreamSocket& socket, Hooks hooks);

    ~PeerSocket();

    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    /// Sends one binary message; it is discarded if the socket is not open.
    void send(const std::string& message);

    /// Closes the TCP connection without a websocket closing handshake.
    void close();

    std::uint64_t bytesIn() const;
    std::uint64_t bytesOut() const;

    /// Pending output in bytes.
    std::size_t backlog() const;

private:
    class Impl;

    explicit PeerSocket(std::shared_ptr<Impl> impl);

    std::shared_ptr<Impl> impl_;
};

} // namespace goldcrestcleat::fleet
