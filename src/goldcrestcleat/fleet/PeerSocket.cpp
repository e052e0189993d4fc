#include "goldcrestcleat/fleet/PeerSocket.h"

#include "goldcrestcleat/fleet/PeerMessages.h"

#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wall"
#pragma GCC diagnostic ignored "-Wextra"
#pragma GCC diagnostic ignored "-Wshadow"
#pragma GCC diagnostic ignored "-Wpedantic"
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>
#pragma GCC diagnostic pop

namespace goldcrestcleat::fleet {

namespace {

    using WsServer = websocketpp::server<websocketpp::config::core>;
    using WsClient = websocketpp::client<websocketpp::config::core_client>;

    /// One endpoint per role serves all links, as endpoints hold no connection state that outlives a connection.
    template <typename Endpoint> Endpoint& sharedEndpoint()
    {
        static Endpoint* const endpoint = [] {
            auto* e = new Endpoint;
            e->clear_access_channels(websocketpp::log::alevel::all);
            e->clear_error_channels(websocketpp::log::elevel::all);
            e->set_max_message_size(MAX_PEER_MESSAGE_BYTES);
            return e;
        }();
        return *endpoint;
    }

} // namespace

/// Binds a websocketpp connection to a TCP connection of the event loop.
class PeerSocket::Impl : public std::enable_shared_from_this<PeerSocket::Impl> {
public:
    Impl(loop::EventLoop& loop, Hooks hooks)
        : loop_(loop)
        , hooks_(std::move(hooks))
    {
    }

    void dial(const std::string& address)
    {
        websocketpp::lib::error_code error;
        auto& endpoint = sharedEndpoint<WsClient>();
        client_ = endpoint.get_connection("ws://" + address + "/", error);
        if (error) {
            failLater("invalid peer address");
            return;
        }
        bind(client_);
        auto hooks = tcpHooks();
        hooks.onConnect = [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                sharedEndpoint<WsClient>().connect(self->client_);
        };
        tcp_ = loop::Connection::connect(loop_, address, std::move(hooks));
    }

    void accept(const Poco::Net::StreamSocket& socket)
    {
        server_ = sharedEndpoint<WsServer>().get_connection();
        bind(server_);
        tcp_ = loop::Connection::adopt(loop_, socket, tcpHooks());
        server_->start();
    }

    void send(const std::string& message)
    {
        if (client_ && open_)
            client_->send(message, websocketpp::frame::opcode::binary);
        else if (server_ && open_)
            server_->send(message, websocketpp::frame::opcode::binary);
    }

    void close()
    {
        hooks_ = {};
        closeTransport();
    }

    std::size_t backlog() const { return tcp_ ? tcp_->pendingOutput() : 0; }

    std::uint64_t bytesIn_ = 0;
    std::uint64_t bytesOut_ = 0;

private:
    template <typename ConnectionPtr> void bind(const ConnectionPtr& connection)
    {
        const std::weak_ptr<Impl> weak = weak_from_this();
        connection->set_write_handler([weak](websocketpp::connection_hdl, const char* data, std::size_t size) {
            if (const auto self = weak.lock()) {
                self->bytesOut_ += size;
                self->tcp_->send(std::string_view(data, size));
            }
            return websocketpp::lib::error_code();
        });
        connection->set_open_handler([weak](websocketpp::connection_hdl) {
            const auto self = weak.lock();
            if (!self)
                return;
            self->open_ = true;
            if (self->hooks_.onOpen)
                self->hooks_.onOpen();
        });
        connection->set_message_handler([weak](websocketpp::connection_hdl, const auto& message) {
            const auto self = weak.lock();
            if (!self || !self->hooks_.onMessage)
                return;
            const auto onMessage = self->hooks_.onMessage;
            onMessage(message->get_payload());
        });
        const auto onEnd = [weak](websocketpp::connection_hdl) {
            if (const auto self = weak.lock())
                self->failLater("websocket connection closed");
        };
        connection->set_fail_handler(onEnd);
        connection->set_close_handler(onEnd);
    }

    loop::Connection::Hooks tcpHooks()
    {
        const std::weak_ptr<Impl> weak = weak_from_this();
        loop::Connection::Hooks hooks;
        hooks.onData = [weak](std::string_view input) {
            if (const auto self = weak.lock())
                self->read(input);
        };
        hooks.onClose = [weak](loop::CloseReason reason) {
            if (const auto self = weak.lock())
                self->fail(reason == loop::CloseReason::ConnectFailed ? "connect failed" : "connection lost");
        };
        return hooks;
    }

    void read(std::string_view input)
    {
        bytesIn_ += input.size();
        const auto client = client_;
        const auto server = server_;
        if (client)
            client->read_all(input.data(), input.size());
        else if (server)
            server->read_all(input.data(), input.size());
    }

    void failLater(const std::string& reason)
    {
        loop_.after(0, [weak = weak_from_this(), reason] {
            if (const auto self = weak.lock())
                self->fail(reason);
        });
    }

    void fail(const std::string& reason)
    {
        const auto onClose = std::move(hooks_.onClose);
        hooks_ = {};
        closeTransport();
        if (onClose)
            onClose(reason);
    }

    void closeTransport()
    {
        open_ = false;
        if (tcp_)
            tcp_->close();
        // A websocketpp connection keeps itself alive through its handlers until it is terminated.
        if (client_)
            client_->fatal_error();
        if (server_)
            server_->fatal_error();
        client_.reset();
        server_.reset();
    }

    loop::EventLoop& loop_;
    Hooks hooks_;
    loop::Connection::Ptr tcp_;
    WsClient::connection_ptr client_;
    WsServer::connection_ptr server_;
    bool open_ = false;
};

std::shared_ptr<PeerSocket> PeerSocket::dial(loop::EventLoop& loop, const std::string& address, Hooks hooks)
{
    const auto impl = std::make_shared<Impl>(loop, std::move(hooks));
    impl->dial(address);
    return std::shared_ptr<PeerSocket>(new PeerSocket(impl));
}

std::shared_ptr<PeerSocket> PeerSocket::accept(
    loop::EventLoop& loop, const Poco::Net::StreamSocket& socket, Hooks hooks)
{
    const auto impl = std::make_shared<Impl>(loop, std::move(hooks));
    impl->accept(socket);
    return std::shared_ptr<PeerSocket>(new PeerSocket(impl));
}

PeerSocket::PeerSocket(std::shared_ptr<Impl> impl)
    : impl_(std::move(impl))
{
}

PeerSocket::~PeerSocket() { impl_->close(); }

void PeerSocket::send(const std::string& message) { impl_->send(message); }

void PeerSocket::close() { impl_->close(); }

std::uint64_t PeerSocket::bytesIn() const { return impl_->bytesIn_; }

std::uint64_t PeerSocket::bytesOut() const { return impl_->bytesOut_; }

std::size_t PeerSocket::backlog() const { return impl_->backlog(); }

} // namespace goldcrestcleat::fleet
