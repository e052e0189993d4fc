#include "harness/Relay.h"

#include <algorithm>

namespace goldcrestcleat::harness {

Relay::Relay(const std::string& listenAddress, std::string target)
    : listenAddress_(listenAddress)
    , target_(std::move(target))
{
}

void Relay::listen(loop::EventLoop& loop)
{
    loop_ = &loop;
    listener_ = std::make_unique<loop::Listener>(
        loop, listenAddress_, [this](const Poco::Net::StreamSocket& socket) { accept(socket); });
}

void Relay::accept(const Poco::Net::StreamSocket& socket)
{
    if (mode_ == RelayMode::Closed)
        return; // the socket is closed when it goes out of scope
    const auto pair = std::make_shared<ConnectionPair>();
    const std::weak_ptr<ConnectionPair> weak = pair;
    const auto hooksTo = [this, weak](bool toServer) {
        loop::Connection::Hooks hooks;
        hooks.onData = [this, weak, toServer](std::string_view bytes) {
            if (const auto p = weak.lock())
                forward(p, toServer ? p->server : p->client, bytes);
        };
        hooks.onClose = [weak, toServer](loop::CloseReason) {
            const auto p = weak.lock();
            if (p && !p->isBlackholed)
                (toServer ? p->server : p->client)->closeAfterDrain();
        };
        return hooks;
    };
    pair->server = loop::Connection::connect(*loop_, target_, hooksTo(false));
    pair->client = loop::Connection::adopt(*loop_, socket, hooksTo(true));
    pairs_.push_back(pair);
}

void Relay::forward(
    const std::shared_ptr<ConnectionPair>& pair, const loop::Connection::Ptr& destination, std::string_view bytes)
{
    if (mode_ == RelayMode::Open && !pair->isBlackholed)
        destination->send(bytes);
    else
        pair->isBlackholed = true; // bytes were dropped, so the rest of the connection must be dropped too
}

void Relay::applyMode()
{
    const bool blackhole = blackholeRequested_.exchange(false);
    for (const auto& pair : pairs_) {
        pair->isBlackholed = pair->isBlackholed || blackhole;
        if (mode_ == RelayMode::Closed)
            close(*pair);
    }
    const auto isDone = [](const auto& pair) { return !pair->client->isOpen() && !pair->server->isOpen(); };
    pairs_.erase(std::remove_if(pairs_.begin(), pairs_.end(), isDone), pairs_.end());
}

void Relay::close(ConnectionPair& pair)
{
    pair.client->close();
    pair.server->close();
}

RelayThread::~RelayThread()
{
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

Relay& RelayThread::add(const std::string& listenAddress, const std::string& target)
{
    relays_.push_back(std::make_unique<Relay>(listenAddress, target));
    relays_.back()->listen(loop_);
    return *relays_.back();
}

void RelayThread::start()
{
    loop_.onIteration = [this] {
        for (const auto& relay : relays_)
            relay->applyMode();
    };
    thread_ = std::thread([this] { loop_.run(); });
}

} // namespace goldcrestcleat::harness
