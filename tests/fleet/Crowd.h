#pragma once

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <Poco/Timestamp.h>

#include <algorithm>
#include <string>
#include <vector>

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace goldcrestcleat::harness {

/// What each client of a crowd sends: a head, then a unit over and over.
struct CrowdMessage {
    std::string head;
    std::string unit;
    std::size_t totalBytes = 0;
    std::size_t pieceBytes = 64 * 1024; ///< in one write
};

/// Many clients that connect to one address, send the same bytes by turns, read nothing and stay connected.
class Crowd {
public:
    /// Clients that can't connect or are disconnected take no further part.
    Crowd(const std::string& address, int clients, CrowdMessage message)
        : message_(std::move(message))
    {
        const Poco::Net::SocketAddress target(address);
        for (int i = 0; i < clients; ++i) {
            Client client;
            try {
                client.socket.connect(target, Poco::Timespan(CONNECT_TIMEOUT_S, 0));
                client.socket.setBlocking(false);
                clients_.push_back(client);
            } catch (const Poco::Exception&) {
                ++failedConnects_;
            }
        }
    }

    /// Sends until all clients have sent everything, were disconnected, or can't go on for `STALL_MS`.
    void send()
    {
        Poco::Timestamp lastProgress;
        while (!lastProgress.isElapsed(STALL_MS * US_PER_MS)) {
            bool isUnfinished = false;
            for (auto& client : clients_) {
                if (sendPiece(client))
                    lastProgress.update();
                isUnfinished = isUnfinished || client.isOpen;
            }
            if (!isUnfinished)
                return;
        }
    }

    std::string summary() const
    {
        std::size_t sent = 0;
        for (const auto& client : clients_)
            sent += client.sent;
        return std::to_string(clients_.size()) + " clients connected, " + std::to_string(failedConnects_) + " did not, "
            + std::to_string(sent) + " bytes sent";
    }

private:
    static constexpr long CONNECT_TIMEOUT_S = 5;
    static constexpr Poco::Timestamp::TimeDiff STALL_MS = 1'500;
    static constexpr Poco::Timestamp::TimeDiff US_PER_MS = 1'000;

    struct Client {
        Poco::Net::StreamSocket socket;
        std::size_t sent = 0;
        bool isOpen = true; // has more to send
    };

    /// Returns the bytes that follow the first `offset` ones; at least one.
    std::string_view bytesFrom(std::size_t offset) const
    {
        if (offset < message_.head.size())
            return std::string_view(message_.head).substr(offset);
        return std::string_view(message_.unit).substr((offset - message_.head.size()) % message_.unit.size());
    }

    bool sendPiece(Client& client)
    {
        if (!client.isOpen)
            return false;
        const std::size_t left = message_.totalBytes - client.sent;
        const auto bytes = bytesFrom(client.sent).substr(0, std::min(left, message_.pieceBytes));
        const auto count
            = ::send(client.socket.impl()->sockfd(), bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count < 0) {
            client.isOpen = errno == EAGAIN || errno == EWOULDBLOCK;
            return false;
        }
        client.sent += static_cast<std::size_t>(count);
        client.isOpen = client.sent < message_.totalBytes;
        return true;
    }

    CrowdMessage message_;
    std::vector<Client> clients_;
    int failedConnects_ = 0;
};

} // namespace goldcrestcleat::harness
