#include "goldcrestcleat/loop/Connection.h"

#include "goldcrestcleat/errors/ResultCode.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketImpl.h>
#include <Poco/NumberParser.h>

#include <algorithm>
#include <cerrno>
#include <limits>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace goldcrestcleat::loop {

using Poco::Net::PollSet;

namespace {

    constexpr std::size_t MAX_KEPT_OUTPUT_BYTES = 64 * 1024; // of the buffer of an idle connection
    constexpr int LISTEN_BACKLOG = 1024;

    // Connections accepted in one iteration of the loop. With only one, the backlog of the listener would overflow when
    // iterations are long under load; the maximum leaves time for the open connections.
    constexpr int MAX_ACCEPTS = 32;
    constexpr TimeMs EXHAUSTED_PAUSE_MS = 50; // descriptors become available when requests end

    /// Returns true if a non-blocking call failed only because it would have blocked or was interrupted.
    ///
    /// The type of POCO's exception does not tell: it throws a TimeoutException also for ETIMEDOUT, which is final.
    bool isTemporary(int error) { return error == EAGAIN || error == EWOULDBLOCK || error == EINTR; }

    bool isExhaustion(int code) { return code == EMFILE || code == ENFILE || code == ENOBUFS || code == ENOMEM; }

    // A network path that drops packets reports no error. These options end a connection about two seconds after the
    // last sign of the peer, so that it is replaced within the three seconds after which a daemon must meet its limits
    // again.
    constexpr int KEEPALIVE_IDLE_S = 1;
    constexpr int KEEPALIVE_INTERVAL_S = 1;
    constexpr int KEEPALIVE_PROBES = 1;
    constexpr int MAX_UNACKNOWLEDGED_MS = 1'800;

    /// Converts IP:port. Does not resolve names, which would block the loop. Throws Poco::Exception.
    Poco::Net::SocketAddress toSocketAddress(const std::string& address)
    {
        const auto colon = address.rfind(':');
        const std::string port = colon == std::string::npos ? "" : address.substr(colon + 1);
        const unsigned number = Poco::NumberParser::parseUnsigned(port);
        if (number > std::numeric_limits<Poco::UInt16>::max())
            throw Poco::Net::InvalidAddressException("port out of range", address);
        return { Poco::Net::IPAddress(address.substr(0, colon)), static_cast<Poco::UInt16>(number) };
    }

    void enableDeadPeerDetection(Poco::Net::StreamSocket& socket)
    {
        socket.setKeepAlive(true);
        socket.impl()->setOption(IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S);
        socket.impl()->setOption(IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
        socket.impl()->setOption(IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_PROBES);
        socket.impl()->setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, MAX_UNACKNOWLEDGED_MS);
    }

} // namespace

Connection::Connection(EventLoop& loop, const Poco::Net::StreamSocket& socket, Hooks hooks, State state)
    : loop_(loop)
    , socket_(socket)
    , hooks_(std::make_shared<Hooks>(std::move(hooks)))
    , state_(state)
{
}

Connection::Ptr Connection::connect(EventLoop& loop, const std::string& address, Hooks hooks)
{
    Ptr connection(new Connection(loop, Poco::Net::StreamSocket(), std::move(hooks), State::Connecting));
    connection->peerAddress_ = address;
    try {
        connection->socket_.connectNB(toSocketAddress(address));
        connection->start();
    } catch (const Poco::Exception&) {
        loop.after(0, [connection] { connection->fail(CloseReason::ConnectFailed); });
    }
    return connection;
}

Connection::Ptr Connection::adopt(EventLoop& loop, const Poco::Net::StreamSocket& socket, Hooks hooks)
{
    Ptr connection(new Connection(loop, socket, std::move(hooks), State::Open));
    connection->peerAddress_ = socket.peerAddress().toString();
    connection->socket_.setBlocking(false);
    connection->socket_.setNoDelay(true);
    connection->start();
    return connection;
}

Connection::~Connection() { release(); }

void Connection::send(std::string_view bytes)
{
    if (state_ == State::Closed)
        return;
    output_.append(bytes);
    countOutput();
    if (state_ == State::Open && !blocked_ && !writePending())
        scheduleFailure();
}

void Connection::close()
{
    release();
    setHooks({});
}

void Connection::closeAfterDrain()
{
    closeWhenDrained_ = true;
    if (pendingOutput() == 0)
        close();
}

bool Connection::hasPendingInput() { return peek() > 0; }

bool Connection::hasPeerClosed() { return peek() == 0; }

void Connection::setReading(bool reading)
{
    reading_ = reading;
    updateModes();
}

// ---- private ----

void Connection::start()
{
    std::weak_ptr<Connection> weak = weak_from_this();
    const int modes = state_ == State::Connecting ? PollSet::POLL_WRITE : PollSet::POLL_READ;
    loop_.watch(socket_, modes, [weak](int ready) {
        if (const auto self = weak.lock())
            self->onReady(ready);
    });
}

/// Returns 1 if input is pending, 0 at the end of the stream, and a negative number otherwise. Consumes no input.
std::ptrdiff_t Connection::peek()
{
    if (state_ != State::Open)
        return -1;
    char next = 0;
    const auto count = ::recv(socket_.impl()->sockfd(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count < 0 && !isTemporary(errno))
        recordError(errno);
    return count;
}

void Connection::onReady(int modes)
{
    if (state_ == State::Connecting) {
        finishConnect();
        return;
    }
    if (modes & (PollSet::POLL_READ | PollSet::POLL_ERROR))
        readAvailable();
    if (state_ == State::Open && (modes & PollSet::POLL_WRITE) && !writePending())
        fail(CloseReason::Reset);
}

void Connection::finishConnect()
{
    int socketError = 0;
    socket_.impl()->getOption(SOL_SOCKET, SO_ERROR, socketError);
    if (socketError != 0) {
        recordError(socketError);
        fail(CloseReason::ConnectFailed);
        return;
    }
    socket_.setNoDelay(true);
    enableDeadPeerDetection(socket_);
    state_ = State::Open;
    updateModes();
    const auto hooks = hooks_;
    if (hooks->onConnect)
        hooks->onConnect();
    if (state_ == State::Open && pendingOutput() > 0 && !writePending())
        fail(CloseReason::Reset);
}

void Connection::readAvailable()
{
    static thread_local std::string buffer(READ_CHUNK_BYTES, '\0');
    int received = 0;
    try {
        received = socket_.receiveBytes(buffer.data(), static_cast<int>(std::min(buffer.size(), maxReadBytes_)));
    } catch (const Poco::Exception& e) {
        if (!isTemporary(e.code())) {
            recordError(e.code());
            fail(CloseReason::Reset);
        }
        return;
    }
    if (received < 0)
        return;
    if (received == 0) {
        fail(socketError_ == 0 ? CloseReason::EndOfStream : CloseReason::Reset);
        return;
    }
    const auto hooks = hooks_;
    if (hooks->onData)
        hooks->onData(std::string_view(buffer.data(), static_cast<std::size_t>(received)));
}

bool Connection::writePending()
{
    try {
        while (pendingOutput() > 0) {
            const int sent = socket_.sendBytes(output_.data() + written_, static_cast<int>(pendingOutput()));
            if (sent <= 0)
                break;
            written_ += static_cast<std::size_t>(sent);
        }
    } catch (const Poco::Exception& e) {
        if (!isTemporary(e.code())) {
            recordError(e.code());
            return false;
        }
    }
    const bool wasBlocked = blocked_;
    blocked_ = pendingOutput() > 0;
    updateModes();
    if (blocked_)
        return true;
    output_.clear();
    written_ = 0;
    if (output_.capacity() > MAX_KEPT_OUTPUT_BYTES)
        output_.shrink_to_fit();
    countOutput();
    if (closeWhenDrained_)
        close();
    const auto hooks = hooks_;
    if (wasBlocked && hooks->onDrain)
        hooks->onDrain();
    return true;
}

/// A socket reports an error to one call only. Afterwards reads return 0, as they do at the end of the stream.
void Connection::recordError(int error)
{
    if (socketError_ == 0)
        socketError_ = error == 0 ? EIO : error;
}

void Connection::scheduleFailure()
{
    loop_.after(0, [self = shared_from_this()] { self->fail(CloseReason::Reset); });
}

void Connection::updateModes()
{
    if (state_ != State::Open)
        return;
    const int readMode = reading_ ? PollSet::POLL_READ : 0;
    const int writeMode = pendingOutput() > 0 ? PollSet::POLL_WRITE : 0;
    loop_.setModes(socket_, readMode | writeMode);
}

void Connection::countOutput()
{
    loop_.addQueuedOutput(
        static_cast<std::ptrdiff_t>(output_.capacity()) - static_cast<std::ptrdiff_t>(countedOutput_));
    countedOutput_ = output_.capacity();
}

void Connection::fail(CloseReason reason)
{
    if (state_ == State::Closed)
        return;
    const auto self = shared_from_this();
    release();
    const auto hooks = hooks_;
    setHooks({});
    if (hooks->onClose)
        hooks->onClose(reason);
}

void Connection::release()
{
    if (state_ == State::Closed)
        return;
    state_ = State::Closed;
    loop_.addQueuedOutput(-static_cast<std::ptrdiff_t>(countedOutput_));
    countedOutput_ = 0;
    output_ = std::string();
    written_ = 0;
    loop_.unwatch(socket_);
    try {
        socket_.close();
    } catch (const Poco::Exception&) {
        // errors on close need no handling
    }
}

// ---- Listener ----

Listener::Listener(EventLoop& loop, const std::string& address, AcceptHook onAccept)
    : loop_(loop)
    , onAccept_(std::move(onAccept))
{
    try {
        socket_.bind(Poco::Net::SocketAddress(address), /*reuseAddress*/ true, /*reusePort*/ false);
        socket_.listen(LISTEN_BACKLOG);
        socket_.setBlocking(false);
    } catch (const Poco::Exception& e) {
        throw errors::Error(errors::ResultCode::AddressInUse, address + ": " + e.displayText());
    }
    loop_.watch(socket_, PollSet::POLL_READ, [this](int) { acceptPending(MAX_ACCEPTS); });
}

Listener::~Listener()
{
    onAccept_ = [](const Poco::Net::StreamSocket&) {}; // nobody handles further connections
    close();
}

void Listener::close()
{
    if (!open_)
        return;
    acceptPending(LISTEN_BACKLOG);
    open_ = false;
    loop_.unwatch(socket_);
    socket_.close();
}

void Listener::acceptPending(int maxAccepts)
{
    for (int i = 0; i < maxAccepts && open_; ++i) {
        try {
            onAccept_(socket_.acceptConnection());
        } catch (const Poco::Exception& e) {
            if (isExhaustion(e.code()))
                pauseAccepting(e.displayText());
            return; // otherwise no connection is pending, or it was aborted before it was accepted
        }
    }
}

/// Without the pause, the listening socket would stay readable and the loop would spin.
void Listener::pauseAccepting(const std::string& reason)
{
    loop_.setModes(socket_, 0);
    loop_.after(EXHAUSTED_PAUSE_MS, [this, weak = std::weak_ptr<int>(lifetime_)] {
        if (!weak.expired() && open_)
            loop_.setModes(socket_, PollSet::POLL_READ);
    });
    if (onResourcesExhausted)
        onResourcesExhausted(reason);
}

} // namespace goldcrestcleat::loop
