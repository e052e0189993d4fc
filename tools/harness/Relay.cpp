#include "harness/Relay.h"

#include <algorithm>

namespace goldcrestcleat::harness {

Relay::Relay(const std::string& listenAddress, std::string target)
    : listenAddress_(listenAddress)
    , target_(std::move(target))
{
}

void Relay::open(loop::EventLoop& loop)
{
    loop_ = &loop;
    listener_ = std::make_unique<loop::Listener>(
        loop, listenAddress_, [this](const Poco::Net::StreamSocket& socket) { accept(socket); });
}

void Relay::accept(const Poco::Net::StreamSocket& socket)
{
    if (mode_ == RelayMode::Closed)
        return; // the socket is closed when it goes out of scope
    const auto pair = std::make_shared<Pair>();
    const std::weak_ptr<Pair> weak = pair;
    const auto hooksTo = [this, weak](bool toTarget) {
        loop::Connection::Hooks hooks;
        hooks.onData = [this, weak, toTarget](std::string_view bytes) {
            if (const auto p = weak.lock())
                pass(p, toTarget ? p->to : p->from, bytes);
        };
        hooks.onClose = [weak, toTarget](loop::CloseReason) {
            const auto p = weak.lock();
            if (p && !p->isForgotten)
                (toTarget ? p->to : p->from)->closeAfterDrain();
        };
        return hooks;
    };
    pair->to = loop::Connection::connect(*loop_, Poco::Net::SocketAddress(target_), hooksTo(false));
    pair->from = loop::Connection::adopt(*loop_, socket, hooksTo(true));
    pairs_.push_back(pair);
}

void Relay::pass(const std::shared_ptr<Pair>& pair, const loop::Connection::Ptr& to, std::string_view bytes)
{
    if (mode_ == RelayMode::Open && !pair->isForgotten)
        to->send(bytes);
    else
        pair->isForgotten = true; // bytes were lost, so that the connection can't go on
}

void Relay::applyMode()
{
    const bool forget = forget_.exchange(false);
    for (const auto& pair : pairs_) {
        pair->isForgotten = pair->isForgotten || forget;
        if (mode_ == RelayMode::Closed)
            close(*pair);
    }
    const auto isDone = [](const auto& pair) { return !pair->from->isOpen() && !pair->to->isOpen(); };
    pairs_.erase(std::remove_if(pairs_.begin(), pairs_.end(), isDone), pairs_.end());
}

void Relay::close(Pair& pair)
{
    pair.from->close();
    pair.to->close();
}

RelayHub::~RelayHub()
{
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

Relay& RelayHub::add(const std::string& listenAddress, const std::string& target)
{
    relays_.push_back(std::make_unique<Relay>(listenAddress, target));
    relays_.back()->open(loop_);
    return *relays_.back();
}

void RelayHub::start()
{
    loop_.onIteration = [this] {
        for (const auto& relay : relays_)
            relay->applyMode();
    };
    thread_ = std::thread([this] { loop_.run(); });
}

} // namespace goldcrestcleat::harness
