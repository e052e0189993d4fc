#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace goldcrestcleat::loop {

/// Why a connection ended without being closed locally.
enum class CloseReason {
    ConnectFailed,
    EndOfStream, ///< the peer has ended its output, and all of it has been read
    Reset ///< any error, such as a reset by the peer or a timeout of the operating system
};

/// A non-blocking TCP connection with an output buffer; hooks run on the loop's thread.
class Connection : public std::enable_shared_from_this<Connection> {
public:
    using Ptr = std::shared_ptr<Connection>;

    struct Hooks {
        std::function<void()> onConnect;
        std::function<void(std::string_view input)> onData;
        std::function<void(CloseReason)> onClose; ///< never called after `close`
        std::function<void()> onDrain; ///< the output buffer became empty
    };

    /// Starts to connect to IP:port. Failure, also of an invalid address, is reported through `onClose` with
    /// `ConnectFailed`, never thrown.
    static Ptr connect(EventLoop& loop, const std::string& address, Hooks hooks);

    /// Takes over an accepted socket.
    static Ptr adopt(EventLoop& loop, const Poco::Net::StreamSocket& socket, Hooks hooks);

    ~Connection();

    void setHooks(Hooks hooks) { hooks_ = std::make_shared<Hooks>(std::move(hooks)); }

    /// Queues bytes and writes as many as the socket accepts.
    void send(std::string_view bytes);

    /// Closes immediately and discards unsent output.
    void close();

    /// Closes as soon as all queued output has been written.
    void closeAfterDrain();

    /// Pauses or resumes reading. While reading is paused, TCP flow control slows down the sender.
    void setReading(bool reading);

    /// Sets how many bytes a single read may return.
    void setMaxRead(std::size_t bytes) { maxReadBytes_ = bytes; }

    /// Returns whether input has arrived that was not read yet.
    bool hasPendingInput();

    /// Returns whether the peer has closed and all its data has been read. Consumes no input.
    bool hasPeerClosed();

    bool isOpen() const { return state_ != State::Closed; }
    bool isConnected() const { return state_ == State::Open; }
    std::size_t pendingOutput() const { return output_.size() - written_; }
    const std::string& peerAddress() const { return peerAddress_; }

    /// Returns the first final error that the socket reported to any call, as in errno; 0 for none.
    int socketError() const { return socketError_; }

private:
    static constexpr std::size_t READ_CHUNK_BYTES = 64 * 1024;

    enum class State { Connecting, Open, Closed };

    Connection(EventLoop& loop, const Poco::Net::StreamSocket& socket, Hooks hooks, State state);

    void start();
    std::ptrdiff_t peek();
    void onReady(int modes);
    void finishConnect();
    void readAvailable();
    bool writePending(); // returns false on a connection error
    void recordError(int error);
    void scheduleFailure();
    void updateModes();
    void countOutput();
    void fail(CloseReason reason);
    void release();

    EventLoop& loop_;
    Poco::Net::StreamSocket socket_;
    std::shared_ptr<Hooks> hooks_; // replaced as a whole, since a running hook may set new ones
    State state_;
    bool reading_ = true;
    bool closeWhenDrained_ = false;
    bool blocked_ = false; // the socket buffer is full
    std::size_t maxReadBytes_ = READ_CHUNK_BYTES;
    int socketError_ = 0;
    std::string output_;
    std::size_t written_ = 0;
    std::size_t countedOutput_ = 0; // memory of the output buffer as counted by the loop
    std::string peerAddress_;
};

/// Accepts connections on one address.
class Listener {
public:
    using AcceptHook = std::function<void(const Poco::Net::StreamSocket&)>;

    /// Binds and listens; port 0 selects a free port. Throws `Error` with `AddressInUse`.
    Listener(EventLoop& loop, const std::string& address, AcceptHook onAccept);
    ~Listener();

    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;

    /// Returns the bound address as IP:port.
    std::string address() const { return socket_.address().toString(); }

    /// Stops accepting and releases the address. Connections that are already pending are accepted first, since closing
    /// the socket would reset them.
    void close();

    /// Called when a pending connection cannot be accepted for lack of descriptors or memory; may be unset. Accepting
    /// is then paused for a short time.
    std::function<void(const std::string& reason)> onResourcesExhausted;

private:
    void acceptPending(int maxAccepts);
    void pauseAccepting(const std::string& reason);

    EventLoop& loop_;
    Poco::Net::ServerSocket socket_;
    AcceptHook onAccept_;
    bool open_ = true;
    std::shared_ptr<int> lifetime_ = std::make_shared<int>(0); // timers hold weak references to detect destruction
};

} // namespace goldcrestcleat::loop
