#include "goldcrestcleat/http/Client.h"

#include <Poco/Exception.h>
#include <Poco/String.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <system_error>

namespace goldcrestcleat::http {

namespace {

    constexpr std::size_t MAX_IDLE_PER_ADDRESS = 32;
    constexpr loop::TimeMs MAX_IDLE_MS = 20'000;
    // Per request; more are sent only by a faulty server.
    constexpr int MAX_DISCARDED_RESPONSES = 8;
    constexpr std::size_t MAX_DISCARDED_BYTES = 1024 * 1024;
    constexpr loop::TimeMs RECENT_IDLE_MS = 1'000; // upstreams advertise idle limits in whole seconds

    // Fraction of the advertised limit that is used, since it began to run before the response arrived here.
    constexpr double IDLE_LIMIT_FRACTION = 0.9;

    // The connect timeout is a multiple of the longest recent connect time, and at least many round trips between the
    // data centres of a region. The decay reduces the effect of an outlier with each further connection.
    constexpr double CONNECT_TIMEOUT_FACTOR = 4;
    constexpr loop::TimeMs MIN_CONNECT_TIMEOUT_MS = 100;
    constexpr double PEAK_DECAY = 0.98;

    /// Returns the idle timeout from a `Keep-Alive: timeout=SECONDS` field, or 0 without one.
    loop::TimeMs advertisedIdleLimit(const Poco::Net::HTTPResponse& head)
    {
        static const std::string name = "timeout=";
        const std::string field = head.get("Keep-Alive", "");
        const auto at = field.find(name);
        if (at == std::string::npos)
            return 0;
        return 1'000 * static_cast<loop::TimeMs>(std::strtoul(field.c_str() + at + name.size(), nullptr, 10));
    }

    /// Returns how long an idle connection is kept, given the advertised limit or 0.
    loop::TimeMs effectiveIdleLimit(loop::TimeMs advertisedMs)
    {
        const auto fractionMs = static_cast<loop::TimeMs>(static_cast<double>(advertisedMs) * IDLE_LIMIT_FRACTION);
        return fractionMs > 0 ? std::min(fractionMs, MAX_IDLE_MS) : MAX_IDLE_MS;
    }

    std::string describeEnd(loop::CloseReason reason, int socketError)
    {
        const std::string what = reason == loop::CloseReason::ConnectFailed ? "connect failed" : "connection lost";
        return socketError == 0 ? what : what + ": " + std::generic_category().message(socketError);
    }

    bool isHost(const std::pair<std::string, std::string>& field) { return Poco::icompare(field.first, "Host") == 0; }

    std::string serializeRequest(const std::string& address, const Request& request)
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

Client::Client(loop::EventLoop& loop, const Limits& responseLimits)
    : loop_(loop)
    , limits_(responseLimits)
{
}

Call::Ptr Client::start(const std::string& address, const Request& request, Call::Hooks hooks, Reuse reuse)
{
    auto call = std::make_shared<Call>();
    call->hooks_ = std::move(hooks);
    if (reuse != Reuse::Never)
        call->connection_ = takeIdle(address, reuse);
    call->reused_ = call->connection_ != nullptr;
    attachAndSend(call, address, serializeRequest(address, request));
    if (request.method == "HEAD")
        call->reader_->expectNoBody();
    if (!call->reused_)
        startConnectTimer(call);
    return call;
}

void Client::dropIdle(const std::string& address) { idle_.erase(address); }

void Client::preconnect(const std::string& address, std::function<void(bool isOpen)> onDone)
{
    ++openedConnections_;
    const auto holder = std::make_shared<loop::Connection::Ptr>();
    const loop::TimeMs startedAt = loop_.now();
    const auto end = [holder, onDone = std::move(onDone)](bool isOpen) {
        const auto connection = std::move(*holder);
        holder->reset();
        if (!connection)
            return; // already reported
        if (!isOpen)
            connection->close();
        onDone(isOpen);
    };
    loop::Connection::Hooks hooks;
    hooks.onConnect = [this, holder, end, address, startedAt] {
        recordConnectTime(loop_.now() - startedAt);
        storeIdle(address, RECENT_IDLE_MS, *holder);
        end(true);
    };
    hooks.onClose = [end](loop::CloseReason) { end(false); };
    *holder = loop::Connection::connect(loop_, address, std::move(hooks));
    if (connectTimeoutMs_ > 0)
        loop_.after(connectTimeout(), [end] { end(false); });
}

// ---- private ----

void Client::startConnectTimer(const Call::Ptr& call)
{
    ++openedConnections_;
    if (connectTimeoutMs_ == 0)
        return;
    loop_.after(connectTimeout(), [weak = std::weak_ptr<Call>(call)] {
        const auto self = weak.lock();
        if (self && self->progress_ == FailurePoint::NotSent)
            fail(self, "connect timed out");
    });
}

loop::TimeMs Client::connectTimeout() const
{
    if (peakConnectMs_ < 0)
        return connectTimeoutMs_;
    const auto adaptiveMs = static_cast<loop::TimeMs>(CONNECT_TIMEOUT_FACTOR * peakConnectMs_);
    return std::min(connectTimeoutMs_, std::max(MIN_CONNECT_TIMEOUT_MS, adaptiveMs));
}

void Client::recordConnectTime(loop::TimeMs durationMs)
{
    peakConnectMs_ = std::max(static_cast<double>(durationMs), PEAK_DECAY * peakConnectMs_);
}

loop::Connection::Ptr Client::takeIdle(const std::string& address, Reuse reuse)
{
    const auto list = idle_.find(address);
    if (list == idle_.end())
        return nullptr;
    while (!list->second.empty()) {
        const IdleConnection last = list->second.back();
        list->second.pop_back();
        const loop::TimeMs idleMs = loop_.now() - last.idleSince;
        const loop::TimeMs allowedMs
            = reuse == Reuse::RecentOnly ? std::min(last.limitMs, RECENT_IDLE_MS) : last.limitMs;
        if (last.connection->isOpen() && idleMs < allowedMs)
            return last.connection;
        last.connection->close();
    }
    idle_.erase(list);
    return nullptr;
}

void Client::storeIdle(const std::string& address, loop::TimeMs limitMs, const loop::Connection::Ptr& connection)
{
    auto& list = idle_[address];
    if (list.size() >= MAX_IDLE_PER_ADDRESS)
        list.pop_front();
    // Data received without an open call cannot be attributed to one, and neither can any data after it.
    loop::Connection::Hooks hooks;
    hooks.onData = [weak = std::weak_ptr<loop::Connection>(connection)](std::string_view) {
        if (const auto self = weak.lock())
            self->close();
    };
    connection->setHooks(std::move(hooks));
    connection->setReading(true);
    list.push_back({ connection, loop_.now(), limitMs });
}

void Client::attachAndSend(const Call::Ptr& call, const std::string& address, const std::string& bytes)
{
    const std::weak_ptr<Call> weak = call;
    MessageReader::Hooks readerHooks;
    readerHooks.onResponseHead = [weak](const Poco::Net::HTTPResponse& head) {
        const auto self = weak.lock();
        if (!self || head.getStatus() < 200)
            return;
        if (self->hooks_.isOwnResponse && !self->hooks_.isOwnResponse(head)) {
            self->discardingResponse_ = true;
            if (++self->discardedResponses_ > MAX_DISCARDED_RESPONSES)
                fail(self, "too many responses to other requests");
            return;
        }
        self->progress_ = FailurePoint::ResponseStarted;
        self->delimitedByClose_ = self->reader_->isDelimitedByClose();
        self->advertisedIdleMs_ = advertisedIdleLimit(head);
        self->keepAlive_ = head.getKeepAlive() && (head.has("Content-Length") || head.has("Transfer-Encoding"));
        if (self->hooks_.isIdentified && !self->hooks_.isIdentified(head))
            self->keepAlive_ = false;
        if (self->hooks_.onHead)
            self->hooks_.onHead(head);
    };
    readerHooks.onBody = [weak](std::string_view part) {
        const auto self = weak.lock();
        if (!self || self->ended_)
            return;
        if (self->discardingResponse_) {
            self->discardedBytes_ += part.size();
            if (self->discardedBytes_ > MAX_DISCARDED_BYTES)
                fail(self, "responses to other requests exceed the size limit");
        } else if (self->hooks_.onBody) {
            self->hooks_.onBody(part);
        }
    };
    readerHooks.onEnd = [this, weak, address] {
        const auto self = weak.lock();
        if (!self || self->ended_)
            return;
        if (!self->discardingResponse_) {
            finish(self, address);
            return;
        }
        self->discardingResponse_ = false;
        self->reader_->next();
    };
    readerHooks.onError = [weak](errors::ResultCode, const std::string& context) {
        if (const auto self = weak.lock())
            fail(self, context);
    };
    call->reader_ = std::make_unique<MessageReader>(MessageReader::Kind::Response, limits_, std::move(readerHooks));

    loop::Connection::Hooks hooks;
    hooks.onConnect = [this, weak, startedAt = loop_.now()] {
        recordConnectTime(loop_.now() - startedAt);
        if (const auto self = weak.lock())
            self->progress_ = FailurePoint::Sent;
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
        const int socketError = self->connection_->socketError();
        if (reason == loop::CloseReason::EndOfStream)
            self->reader_->endOfStream();
        if (!self->ended_)
            fail(self, describeEnd(reason, socketError));
    };
    if (call->reused_) {
        call->progress_ = FailurePoint::Sent;
        call->connection_->setHooks(std::move(hooks));
    } else {
        call->connection_ = loop::Connection::connect(loop_, address, std::move(hooks));
    }
    bytesOut_ += bytes.size();
    call->connection_->send(bytes);
}

void Client::finish(const Call::Ptr& call, const std::string& address)
{
    call->ended_ = true;
    const auto connection = std::move(call->connection_);
    const bool isReusable = connection && call->reader_->buffered() == 0 && connection->pendingOutput() == 0;
    if (isReusable && call->keepAlive_ && connection->isOpen())
        storeIdle(address, effectiveIdleLimit(call->advertisedIdleMs_), connection);
    else if (connection)
        connection->close();
    if (call->hooks_.onEnd)
        call->hooks_.onEnd();
}

void Client::fail(const Call::Ptr& call, const std::string& reason)
{
    if (call->ended_)
        return;
    const FailurePoint point = call->progress_;
    call->cancel();
    if (call->hooks_.onFailure)
        call->hooks_.onFailure(point, reason);
}

} // namespace goldcrestcleat::http
