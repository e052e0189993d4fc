#include "goldcrestcleat/http/Client.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>

namespace goldcrestcleat::http {

namespace {

    constexpr std::size_t MAX_IDLE_PER_ADDRESS = 32;
    constexpr loop::TimeMs MAX_IDLE_MS = 20'000;
    constexpr loop::TimeMs RECENT_IDLE_MS = 1'000; // upstreams state idle limits in whole seconds
    constexpr double IDLE_LIMIT_SHARE = 0.5; // of the stated limit, since the answer was under way for some time

    // The wait for a connection, as a multiple of the slowest one of late, and at least many times a round trip between
    // data centres of a region. A slow one is forgotten by and by.
    constexpr double CONNECT_FACTOR = 4;
    constexpr loop::TimeMs SHORTEST_CONNECT_MS = 100;
    constexpr double SLOWEST_DECAY = 0.98;

    /// Reads the idle time from a `Keep-Alive: timeout=SECONDS` field; 0 without one.
    loop::TimeMs statedIdleLimit(const Poco::Net::HTTPResponse& head)
    {
        static const std::string name = "timeout=";
        const std::string field = head.get("Keep-Alive", "");
        const auto at = field.find(name);
        if (at == std::string::npos)
            return 0;
        return 1'000 * static_cast<loop::TimeMs>(std::strtoul(field.c_str() + at + name.size(), nullptr, 10));
    }

    /// Returns how long a connection is kept whose upstream stated a limit, or none.
    loop::TimeMs idleLimitOf(loop::TimeMs statedMs)
    {
        const auto shareMs = static_cast<loop::TimeMs>(static_cast<double>(statedMs) * IDLE_LIMIT_SHARE);
        return shareMs > 0 ? std::min(shareMs, MAX_IDLE_MS) : MAX_IDLE_MS;
    }

    bool isHost(const std::pair<std::string, std::string>& field) { return Poco::icompare(field.first, "Host") == 0; }

    std::string requestBytes(const std::string& address, const Request& request)
    {
        Poco::Net::HTTPRequest head(request.method, request.target, Poco::Net::HTTPMessage::HTTP_1_1);
        if (std::none_of(request.fields.begin(), request.fields.end(), isHost))
            head.set("Host", address);
        for (const auto& [name, value] : request.fields)
            head.add(name, value);
        if (!request.body.empty() || request.method == "POST")
            head.setContentLength64(static_cast<Poco::Int64>(request.body.size()));
        std::ostringstream out;
        head.write(out);
        out << request.body;
        return out.str();
    }

} // namespace

// ---- Call ----

void Call::cancel()
{
    ended_ = true;
    if (connection_)
        connection_->close();
    connection_.reset();
}

void Call::setReading(bool reading)
{
    if (connection_)
        connection_->setReading(reading);
}

// ---- Client ----

Client::Client(loop::EventLoop& loop, const Limits& answerLimits)
    : loop_(loop)
    , limits_(answerLimits)
{
}

Call::Ptr Client::start(const std::string& address, const Request& request, Call::Hooks hooks, Reuse reuse)
{
    auto call = std::make_shared<Call>();
    call->hooks_ = std::move(hooks);
    if (reuse != Reuse::Fresh)
        call->connection_ = takeIdle(address, reuse);
    call->reused_ = call->connection_ != nullptr;
    bind(call, address, requestBytes(address, request));
    if (request.method == "HEAD")
        call->reader_->expectNoBody();
    if (!call->reused_)
        boundConnect(call);
    return call;
}

void Client::dropIdle(const std::string& address) { idle_.erase(address); }

void Client::open(const std::string& address, std::function<void(bool isOpen)> onDone)
{
    ++opened_;
    const auto holder = std::make_shared<loop::Connection::Ptr>();
    const loop::TimeMs begunAt = loop_.now();
    const auto end = [holder, onDone = std::move(onDone)](bool isOpen) {
        const auto connection = std::move(*holder);
        holder->reset();
        if (!connection)
            return; // it has ended before
        if (!isOpen)
            connection->close();
        onDone(isOpen);
    };
    loop::Connection::Hooks hooks;
    hooks.onConnect = [this, holder, end, address, begunAt] {
        noteConnected(loop_.now() - begunAt);
        park(address, RECENT_IDLE_MS, *holder);
        end(true);
    };
    hooks.onClose = [end](loop::CloseReason) { end(false); };
    *holder = loop::Connection::connect(loop_, Poco::Net::SocketAddress(address), std::move(hooks));
    if (connectTimeoutMs_ > 0)
        loop_.after(connectTimeout(), [end] { end(false); });
}

// ---- private ----

void Client::boundConnect(const Call::Ptr& call)
{
    ++opened_;
    if (connectTimeoutMs_ == 0)
        return;
    loop_.after(connectTimeout(), [weak = std::weak_ptr<Call>(call)] {
        const auto self = weak.lock();
        if (self && self->point_ == FailurePoint::NotSent)
            fail(self, "connect timed out");
    });
}

loop::TimeMs Client::connectTimeout() const
{
    if (slowestConnectMs_ < 0)
        return connectTimeoutMs_;
    const auto usualMs = static_cast<loop::TimeMs>(CONNECT_FACTOR * slowestConnectMs_);
    return std::min(connectTimeoutMs_, std::max(SHORTEST_CONNECT_MS, usualMs));
}

void Client::noteConnected(loop::TimeMs tookMs)
{
    slowestConnectMs_ = std::max(static_cast<double>(tookMs), SLOWEST_DECAY * slowestConnectMs_);
}

loop::Connection::Ptr Client::takeIdle(const std::string& address, Reuse reuse)
{
    const auto list = idle_.find(address);
    if (list == idle_.end())
        return nullptr;
    while (!list->second.empty()) {
        const Idle last = list->second.back();
        list->second.pop_back();
        const loop::TimeMs idleMs = loop_.now() - last.since;
        const loop::TimeMs allowedMs = reuse == Reuse::Recent ? std::min(last.limitMs, RECENT_IDLE_MS) : last.limitMs;
        if (last.connection->isOpen() && idleMs < allowedMs)
            return last.connection;
        last.connection->close();
    }
    idle_.erase(list);
    return nullptr;
}

void Client::park(const std::string& address, loop::TimeMs limitMs, const loop::Connection::Ptr& connection)
{
    auto& list = idle_[address];
    if (list.size() >= MAX_IDLE_PER_ADDRESS)
        list.pop_front();
    // Whatever arrives while no call is open belongs to none, and what follows it can't be trusted either.
    loop::Connection::Hooks hooks;
    hooks.onData = [weak = std::weak_ptr<loop::Connection>(connection)](std::string_view) {
        if (const auto self = weak.lock())
            self->close();
    };
    connection->setHooks(std::move(hooks));
    connection->setReading(true);
    list.push_back({ connection, loop_.now(), limitMs });
}

void Client::bind(const Call::Ptr& call, const std::string& address, const std::string& bytes)
{
    const std::weak_ptr<Call> weak = call;
    MessageReader::Hooks readerHooks;
    readerHooks.onResponseHead = [weak](const Poco::Net::HTTPResponse& head) {
        const auto self = weak.lock();
        if (!self || head.getStatus() < 200)
            return;
        if (self->hooks_.isOwn && !self->hooks_.isOwn(head)) {
            self->skipping_ = true;
            return;
        }
        self->point_ = FailurePoint::Answering;
        self->idleLimitMs_ = statedIdleLimit(head);
        self->keepAlive_ = head.getKeepAlive() && (head.has("Content-Length") || head.has("Transfer-Encoding"));
        if (self->hooks_.onHead)
            self->hooks_.onHead(head);
    };
    readerHooks.onBody = [weak](std::string_view part) {
        const auto self = weak.lock();
        if (self && !self->ended_ && !self->skipping_ && self->hooks_.onBody)
            self->hooks_.onBody(part);
    };
    readerHooks.onEnd = [this, weak, address] {
        const auto self = weak.lock();
        if (!self || self->ended_)
            return;
        if (!self->skipping_) {
            finish(self, address);
            return;
        }
        self->skipping_ = false;
        self->reader_->next();
    };
    readerHooks.onFault = [weak](errors::ResultCode, const std::string& context) {
        if (const auto self = weak.lock())
            fail(self, context);
    };
    call->reader_ = std::make_unique<MessageReader>(MessageReader::Kind::Response, limits_, std::move(readerHooks));

    loop::Connection::Hooks hooks;
    hooks.onConnect = [this, weak, begunAt = loop_.now()] {
        noteConnected(loop_.now() - begunAt);
        if (const auto self = weak.lock())
            self->point_ = FailurePoint::Sent;
    };
    hooks.onData = [this, weak](std::string_view input) {
        bytesIn_ += input.size();
        const auto self = weak.lock();
        if (!self)
            return;
        self->receivedBytes_ += input.size();
        self->reader_->feed(input);
    };
    hooks.onClose = [weak](loop::CloseReason reason) {
        const auto self = weak.lock();
        if (!self || self->ended_)
            return;
        if (reason == loop::CloseReason::EndOfStream)
            self->reader_->endOfStream();
        if (!self->ended_)
            fail(self, reason == loop::CloseReason::ConnectFailed ? "connect failed" : "connection lost");
    };
    if (call->reused_) {
        call->point_ = FailurePoint::Sent;
        call->connection_->setHooks(std::move(hooks));
    } else {
        call->connection_ = loop::Connection::connect(loop_, Poco::Net::SocketAddress(address), std::move(hooks));
    }
    bytesOut_ += bytes.size();
    call->connection_->send(bytes);
}

void Client::finish(const Call::Ptr& call, const std::string& address)
{
    call->ended_ = true;
    const auto connection = std::move(call->connection_);
    const bool isClean = connection && call->reader_->buffered() == 0 && connection->pendingOutput() == 0;
    if (isClean && call->keepAlive_ && connection->isOpen())
        park(address, idleLimitOf(call->idleLimitMs_), connection);
    else if (connection)
        connection->close();
    if (call->hooks_.onEnd)
        call->hooks_.onEnd();
}

void Client::fail(const Call::Ptr& call, const std::string& reason)
{
    if (call->ended_)
        return;
    const FailurePoint point = call->point_;
    call->cancel();
    if (call->hooks_.onFailure)
        call->hooks_.onFailure(point, reason);
}

} // namespace goldcrestcleat::http
