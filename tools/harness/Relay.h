#pragma once

#include "goldcrestcleat/loop/Connection.h"

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace goldcrestcleat::harness {

/// What a relay does with its connections.
enum class RelayMode {
    Open, ///< passes bytes both ways
    Silent, ///< passes nothing; connections stay open, new ones are taken
    Closed
}; ///< closes all connections and every new one at once

/// A TCP path between two processes that can be cut, silenced or made to forget its connections.
class Relay {
public:
    Relay(const std::string& listenAddress, std::string target);

    void setMode(RelayMode mode) { mode_ = mode; }

    /// Existing connections go silent for good; new ones work.
    void forgetConnections() { forget_ = true; }

private:
    friend class RelayHub;

    struct Pair {
        loop::Connection::Ptr from;
        loop::Connection::Ptr to;
        bool isForgotten = false;
    };

    void open(loop::EventLoop& loop);
    void accept(const Poco::Net::StreamSocket& socket);
    void pass(const std::shared_ptr<Pair>& pair, const loop::Connection::Ptr& to, std::string_view bytes);
    void applyMode();
    static void close(Pair& pair);

    std::string listenAddress_;
    std::string target_;
    std::atomic<RelayMode> mode_ { RelayMode::Open };
    std::atomic<bool> forget_ { false };
    loop::EventLoop* loop_ = nullptr;
    std::unique_ptr<loop::Listener> listener_;
    std::vector<std::shared_ptr<Pair>> pairs_;
};

/// Runs relays on a thread of their own.
class RelayHub {
public:
    ~RelayHub();

    /// Adds a relay; call it before `start`.
    Relay& add(const std::string& listenAddress, const std::string& target);

    void start();

private:
    loop::EventLoop loop_;
    std::vector<std::unique_ptr<Relay>> relays_;
    std::thread thread_;
};

} // namespace goldcrestcleat::harness
