#pragma once

#include "goldcrestcleat/loop/Connection.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrestcleat::fleet {

/// One websocket connection between two daemons, driven by the event loop.
class PeerSocket {
public:
    struct Hooks {
        std::function<void()> onOpen;
        std::function<void(std::string_view message)> onMessage;
        std::function<void(const std::string& reason)> onClose; ///< called once, and not after `close`
    };

    /// Connects to a peer's listener.
    static std::shared_ptr<PeerSocket> dial(loop::EventLoop& loop, const std::string& address, Hooks hooks);

    /// Takes over a connection that a peer opened.
    static std::shared_ptr<PeerSocket> accept(
        loop::EventLoop& loop, const Poco::Net::StreamSocket& socket, Hooks hooks);

    ~PeerSocket();

    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    /// Sends one binary message; dropped when the socket is not open.
    void send(const std::string& message);

    /// Closes the connection without a closing handshake; the peer sees the TCP connection end.
    void close();

    std::uint64_t bytesIn() const;
    std::uint64_t bytesOut() const;

    /// Output that the peer has not taken yet, in bytes.
    std::size_t backlog() const;

private:
    class Detail;

    explicit PeerSocket(std::shared_ptr<Detail> detail);

    std::shared_ptr<Detail> detail_;
};

} // namespace goldcrestcleat::fleet
