#include "goldcrestcleat/http/Server.h"

#include "goldcrestcleat/http/ServerSession.h"

#include <Poco/Exception.h>

#include <algorithm>

namespace goldcrestcleat::http {

using errors::ResultCode;

namespace {

    // A single read returns no more, unless it is expected to be part of a body: what follows a complete request has to
    // be kept, on each connection.
    constexpr std::size_t MAX_HEAD_READ_BYTES = 16 * 1024;
    constexpr std::size_t MAX_PIPELINED_READ_BYTES = 4 * 1024; // while a request is open
    constexpr std::size_t MAX_BODY_READ_BYTES = 64 * 1024;
    constexpr std::size_t MAX_PIPELINED_BYTES = 4 * 1024; // from which on reading waits

    constexpr loop::TimeMs TIMEOUT_CHECK_MS = 250;

    // Lag of the event loop from which on requests are checked for callers that disconnected while they waited. A fifth
    // of the time for which work may continue after its caller has disconnected.
    constexpr loop::TimeMs LOOP_LAG_THRESHOLD_MS = 100;

    // Time after which a connection without a request may be closed in a planned stop: a few round trips.
    constexpr loop::TimeMs NEW_CONNECTION_MS = 300;

    constexpr loop::TimeMs LINGER_MS = 1000; // time for a caller to read an early response while it is still sending

} // namespace

// ---- ServerSession ----

ServerSession::ServerSession(Server& server, const Poco::Net::StreamSocket& socket)
    : server_(server)
    , input_(server.input_)
    , socket_(socket)
    , reader_(MessageReader::Kind::Request, server.limits_,
          { [this](const Poco::Net::HTTPRequest& head) { onHead(head); }, nullptr,
              [this](std::string_view part) { onBody(part); }, [this] { onRequestEnd(); },
              [this](ResultCode code, const std::string& context) { onError(code, context); } })
{
}

ServerSession::~ServerSession()
{
    input_->remove(holder_);
    input_->change(-countedInput_);
}

void ServerSession::start()
{
    const auto self = shared_from_this();
    const std::weak_ptr<ServerSession> weak = self;
    loop::Connection::Hooks hooks;
    hooks.onData = [weak](std::string_view bytes) {
        if (const auto session = weak.lock())
            session->onData(bytes);
    };
    hooks.onClose = [weak](loop::CloseReason) {
        if (const auto session = weak.lock())
            session->onClose();
    };
    hooks.onDrain = [weak] {
        if (const auto session = weak.lock())
            session->onDrain();
    };
    lastProgress_ = server_.loop_.now();
    connection_ = loop::Connection::adopt(server_.loop_, socket_, std::move(hooks));
    connection_->setMaxRead(MAX_HEAD_READ_BYTES);
    const auto held = [weak] {
        const auto session = weak.lock();
        return session ? session->heldInput() : HeldInput();
    };
    const auto giveUp = [weak] {
        if (const auto session = weak.lock())
            session->giveUp("unfinished while the memory for requests is exhausted");
    };
    holder_ = input_->add({ held, giveUp });
}

/// Keeps its result: once a response head has announced `Connection: close`, the connection does close.
bool ServerSession::closesAfterResponse()
{
    draining_ = draining_ || server_.isAtSoftLimit() || !requestEnded_;
    return draining_;
}

void ServerSession::write(std::string_view bytes)
{
    lastProgress_ = server_.loop_.now();
    connection_->send(bytes);
}

void ServerSession::endExchange(bool keepAlive)
{
    const auto self = shared_from_this();
    exchange_->onCallerDisconnected = nullptr;
    exchange_->onDrain = nullptr;
    exchange_->session_.reset();
    exchange_.reset();
    requestStart_ = 0;
    if (!requestEnded_) {
        linger();
        return;
    }
    // A caller that was told that the connection stays open may have sent its next request already.
    const bool hasNext = reader_.buffered() > 0 || connection_->hasPendingInput();
    if (!keepAlive || (closesAfterResponse() && !hasNext)) {
        connection_->closeAfterDrain();
        return;
    }
    requestEnded_ = false;
    connection_->setMaxRead(MAX_HEAD_READ_BYTES);
    connection_->setReading(true);
    if (reader_.buffered() > 0)
        requestStart_ = server_.loop_.now();
    server_.loop_.after(0, [weak = weak_from_this()] {
        const auto session = weak.lock();
        if (session && session->isOpen()) {
            session->reader_.next();
            session->limitInput();
        }
    });
}

void ServerSession::abort() { connection_->close(); }

void ServerSession::closeIfIdle()
{
    draining_ = true;
    if (isIdle())
        connection_->closeAfterDrain();
}

/// Returns whether no request is open or on its way: its first bytes may still wait in the socket, and a caller that
/// has just connected is about to send one.
bool ServerSession::isIdle()
{
    const bool isNew = isFirstRequest_ && server_.loop_.now() - lastProgress_ < NEW_CONNECTION_MS;
    return !exchange_ && requestStart_ == 0 && !isNew && !connection_->hasPendingInput();
}

void ServerSession::onData(std::string_view bytes)
{
    if (lingering_)
        return;
    if (requestStart_ == 0)
        requestStart_ = server_.loop_.now();
    lastProgress_ = server_.loop_.now();
    if (!exchange_)
        reader_.setLimits(server_.limits_);
    input_->freeStalled(lastProgress_); // before this request grows
    reader_.feed(bytes);
    limitInput();
    if (requestEnded_ && reader_.buffered() > MAX_PIPELINED_BYTES)
        connection_->setReading(false);
}

void ServerSession::onClose()
{
    const auto exchange = std::move(exchange_);
    if (!exchange)
        return;
    exchange->session_.reset();
    const auto hook = exchange->onCallerDisconnected;
    if (hook)
        hook();
}

void ServerSession::onHead(const Poco::Net::HTTPRequest& head)
{
    exchange_ = std::make_shared<Exchange>(weak_from_this(), head, input_);
    connection_->setMaxRead(MAX_BODY_READ_BYTES);
    if (head.getExpectContinue())
        write("HTTP/1.1 100 Continue\r\n\r\n");
}

void ServerSession::onBody(std::string_view part)
{
    if (!exchange_)
        return;
    exchange_->appendBody(part);
    refuseIfTooMuch();
}

void ServerSession::countInput()
{
    const auto bytes = static_cast<std::ptrdiff_t>(reader_.bufferBytes());
    input_->change(bytes - countedInput_);
    countedInput_ = bytes;
}

/// Frees the memory of stalled requests if there is too little, and refuses this one if that is not enough.
void ServerSession::limitInput()
{
    countInput();
    input_->freeStalled(server_.loop_.now());
    refuseIfTooMuch();
}

void ServerSession::refuseIfTooMuch()
{
    const bool isSmall = !exchange_ || exchange_->heldBytes() <= ServerCapacity::SMALL_BODY_BYTES;
    if (heldInput().isUnfinished && input_->mustRefuse(isSmall))
        giveUp("the requests of all callers exceed the memory limit");
}

HeldInput ServerSession::heldInput() const
{
    HeldInput held;
    held.bytes = reader_.bufferBytes() + (exchange_ ? exchange_->heldBytes() : 0);
    held.lastInputAt = lastProgress_;
    held.isUnfinished = isOpen() && requestStart_ != 0 && !requestEnded_ && !lingering_;
    held.hasSentNothing = isOpen() && isFirstRequest_ && requestStart_ == 0 && !lingering_;
    return held;
}

void ServerSession::giveUp(const std::string& reason)
{
    if (!heldInput().isUnfinished)
        return;
    onError(ResultCode::MemoryLimit, reason);
    reader_.abandon();
    countInput();
}

void ServerSession::closeNow()
{
    connection_->close();
    onClose();
}

void ServerSession::linger()
{
    // Closing a socket with unread input resets the connection, which could discard the response on its way.
    lingering_ = true;
    server_.loop_.after(LINGER_MS, [weak = weak_from_this()] {
        const auto session = weak.lock();
        if (session && session->isOpen())
            session->connection_->close();
    });
}

void ServerSession::onRequestEnd()
{
    if (!exchange_) // it was refused before its end
        return;
    requestEnded_ = true;
    connection_->setMaxRead(MAX_PIPELINED_READ_BYTES);
    exchange_->finishBody();
    exchange_->arrivedAt_ = requestStart_;
    // A caller may have disconnected while its request waited to be read. Its end of stream follows the data it sent.
    const bool mayHaveWaited = isFirstRequest_ || server_.loop_.lateMs() > LOOP_LAG_THRESHOLD_MS;
    isFirstRequest_ = false;
    if (mayHaveWaited && connection_->hasPeerClosed()) {
        connection_->close();
        onClose();
        return;
    }
    server_.onRequest_(exchange_);
}

void ServerSession::onError(ResultCode code, const std::string& context)
{
    if (!exchange_)
        exchange_
            = std::make_shared<Exchange>(weak_from_this(), Poco::Net::HTTPRequest("GET", "/", "HTTP/1.1"), input_);
    requestEnded_ = false; // makes the connection close after the response
    server_.onError_(exchange_, code, context);
}

void ServerSession::onDrain()
{
    lastProgress_ = server_.loop_.now();
    if (!exchange_ || !exchange_->onDrain)
        return;
    const auto hook = exchange_->onDrain; // a copy, since the hook may clear the member
    hook();
}

void ServerSession::checkTimeouts()
{
    const loop::TimeMs now = server_.loop_.now();
    if (backlog() < lastBacklog_)
        lastProgress_ = now;
    lastBacklog_ = backlog();
    if (lingering_)
        return;
    const bool reading = requestStart_ != 0 && !requestEnded_;
    if (reading && now - requestStart_ > server_.timeouts_.requestMs) {
        onError(ResultCode::RequestTimeout, "request not received completely within the time limit");
        return;
    }
    const bool idle = now - lastProgress_ > server_.timeouts_.idleMs && isIdle();
    const bool stalled = backlog() > 0 && now - lastProgress_ > server_.timeouts_.writeStallMs;
    if (idle || stalled) {
        connection_->close();
        onClose();
    }
}

// ---- Server ----

Server::Server(loop::EventLoop& loop, const std::string& address, const Limits& limits, const ServerTimeouts& timeouts,
    Handler onRequest, ErrorHandler onError)
    : loop_(loop)
    , limits_(limits)
    , timeouts_(timeouts)
    , onRequest_(std::move(onRequest))
    , onError_(std::move(onError))
    , listener_(loop, address, [this](const Poco::Net::StreamSocket& socket) { accept(socket); })
{
    listener_.onResourcesExhausted = [this](const std::string& reason) { rejectConnection(reason); };
    checkTimeouts();
}

Server::~Server() = default;

void Server::closeIdle()
{
    draining_ = true;
    for (const auto& session : sessions_)
        session->closeIfIdle();
    removeClosedSessions();
}

void Server::closeAfterResponses()
{
    draining_ = true;
    for (const auto& session : sessions_)
        session->setDraining();
}

void Server::checkTimeouts()
{
    const auto sessions = sessions_; // a copy, since a check may send a response, whose handler may change the list
    for (const auto& session : sessions) {
        if (session->isOpen())
            session->checkTimeouts();
    }
    removeClosedSessions();
    loop_.after(TIMEOUT_CHECK_MS, [this, weak = std::weak_ptr<int>(lifetime_)] {
        if (!weak.expired())
            checkTimeouts();
    });
}

void Server::accept(const Poco::Net::StreamSocket& socket)
{
    if (sessions_.size() >= capacity_.hardLimit)
        removeClosedSessions();
    if (sessions_.size() >= capacity_.hardLimit && !closeStalledSession()) {
        rejectConnection("connection limit reached");
        return; // the socket closes when its last handle is destroyed
    }
    const auto session = std::make_shared<ServerSession>(*this, socket);
    sessions_.push_back(session);
    session->start();
    if (draining_)
        session->setDraining();
}

/// Closes the connection that is stalled for the longest time, so that another caller can connect. Returns false if
/// none is.
bool Server::closeStalledSession()
{
    std::vector<HeldInput> held;
    for (const auto& session : sessions_)
        held.push_back(session->heldInput());
    const auto longest = findLongestStalled(held, loop_.now());
    if (!longest)
        return false;
    const auto session = sessions_[*longest];
    session->giveUp("unfinished while all connections are in use");
    session->closeNow();
    removeClosedSessions();
    rejectConnection("closed a stalled connection for a new one");
    return true;
}

void Server::setCapacity(const ServerCapacity& capacity)
{
    capacity_ = capacity;
    input_->setLimit(capacity.inputBytes);
}

void Server::rejectConnection(const std::string& reason) const
{
    if (onConnectionRejected)
        onConnectionRejected(reason);
}

void Server::removeClosedSessions()
{
    const auto finished = [](const auto& session) { return !session->isOpen(); };
    sessions_.erase(std::remove_if(sessions_.begin(), sessions_.end(), finished), sessions_.end());
}

} // namespace goldcrestcleat::http
