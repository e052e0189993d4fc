#pragma once

#include "goldcrestcleat/loop/Connection.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace goldcrestcleat::harness {

/// How a relay treats its connections.
enum class RelayMode {
    Open, ///< forwards bytes in both directions
    Blackhole, ///< accepts connections and keeps them open, but drops all bytes
    Closed ///< closes all connections, and every new one immediately
};

/// A TCP relay between two processes that simulates network faults.
class Relay {
public:
    Relay(const std::string& listenAddress, std::string target);

    void setMode(RelayMode mode) { mode_ = mode; }

    /// Drops all further bytes of the existing connections without closing them, like a router that has lost its
    /// connection state. New connections are not affected.
    void blackholeConnections() { blackholeRequested_ = true; }

private:
    friend class RelayThread;

    struct ConnectionPair {
        loop::Connection::Ptr client;
        loop::Connection::Ptr server;
        bool isBlackholed = false;
    };

    void listen(loop::EventLoop& loop);
    void accept(const Poco::Net::StreamSocket& socket);
    void forward(
        const std::shared_ptr<ConnectionPair>& pair, const loop::Connection::Ptr& destination, std::string_view bytes);
    void applyMode();
    static void close(ConnectionPair& pair);

    std::string listenAddress_;
    std::string target_;
    std::atomic<RelayMode> mode_ { RelayMode::Open };
    std::atomic<bool> blackholeRequested_ { false };
    loop::EventLoop* loop_ = nullptr;
    std::unique_ptr<loop::Listener> listener_;
    std::vector<std::shared_ptr<ConnectionPair>> pairs_;
};

/// Runs relays on a separate thread.
class RelayThread {
public:
    ~RelayThread();

    /// Adds a relay. Must be called before `start`.
    Relay& add(const std::string& listenAddress, const std::string& target);

    void start();

private:
    loop::EventLoop loop_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::thread thread_;
};

} // namespace goldcrestcleat::harness
