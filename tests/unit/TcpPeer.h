#pragma once

#include "goldcrestcleat/loop/Connection.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/Net/StreamSocket.h>

#include <linux/filter.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <stdexcept>
#include <string>
#include <utility>

namespace testing {

/// The remote end of one connection under test, on a plain socket, so that a test decides how the connection ends.
class TcpPeer {
public:
    /// Listens on a loopback address. A small receive buffer makes the other end wait with its output.
    explicit TcpPeer(int receiveBufferBytes = 0)
    {
        listener_.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
        if (receiveBufferBytes > 0)
            listener_.setReceiveBufferSize(receiveBufferBytes);
        listener_.listen(8);
    }

    std::string address() const { return listener_.address().toString(); }

    /// Accepts the next connection. It must be on its way, since this blocks.
    void accept() { socket_ = listener_.acceptConnection(); }

    /// Accepts the next connection if there is one.
    bool tryAccept()
    {
        if (!listener_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
            return false;
        accept();
        return true;
    }

    void send(const std::string& bytes) { socket_.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }

    /// Reads some of the input, so that little of it is unread.
    std::string receive()
    {
        std::string bytes(64 * 1024, '\0');
        bytes.resize(static_cast<std::size_t>(socket_.receiveBytes(bytes.data(), static_cast<int>(bytes.size()))));
        return bytes;
    }

    bool hasInput() { return socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ); }

    /// Ends the own direction only.
    void shutdownOutput() { socket_.shutdownSend(); }

    /// Closes the connection; the system resets it if input is unread.
    void close() { socket_.close(); }

    void reset()
    {
        socket_.setLinger(true, 0);
        socket_.close();
    }

    /// Refuses connections from now on.
    void stopListening() { listener_.close(); }

    /// Returns whether the other end has acknowledged all output.
    bool isOutputAcknowledged() const
    {
        int bytes = 0;
        return ::ioctl(socket_.impl()->sockfd(), SIOCOUTQ, &bytes) == 0 && bytes == 0;
    }

    /// Drops all packets that arrive from now on, like a machine that has lost its power.
    void goDark()
    {
        sock_filter dropAll[] = { BPF_STMT(BPF_RET | BPF_K, 0) };
        const sock_fprog program { 1, dropAll };
        const int descriptor = socket_.impl()->sockfd();
        if (::setsockopt(descriptor, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program) != 0)
            throw std::runtime_error("cannot attach a socket filter");
    }

private:
    Poco::Net::ServerSocket listener_;
    Poco::Net::StreamSocket socket_;
};

} // namespace testing
