#include "UnframedServer.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/URI.h>

#include <sstream>
#include <utility>

namespace standins {

UnframedExchange::UnframedExchange(Handler onRequest)
    : onRequest_(std::move(onRequest))
    , reader_(http::MessageReader::Kind::Request, http::Limits {},
          { [this](const Poco::Net::HTTPRequest& head) {
               head_ = head;
               path_ = Poco::URI(head.getURI()).getPath();
           },
              {}, [this](std::string_view part) { body_.append(part); }, [this] { onRequest_(shared_from_this()); },
              [this](goldcrestcleat::errors::ResultCode, const std::string&) { abort(); } })
{
}

void UnframedExchange::start(loop::EventLoop& eventLoop, const Poco::Net::StreamSocket& socket, Handler onRequest)
{
    const Ptr exchange(new UnframedExchange(std::move(onRequest)));
    loop::Connection::Hooks hooks; // hold the exchange until the connection is closed
    hooks.onData = [exchange](std::string_view bytes) { exchange->reader_.feed(bytes); };
    hooks.onClose = [exchange](loop::CloseReason) {
        if (exchange->onCallerDisconnected)
            exchange->onCallerDisconnected();
    };
    exchange->connection_ = loop::Connection::adopt(eventLoop, socket, std::move(hooks));
}

void UnframedExchange::reply(int status, const http::Fields& fields, std::string_view body)
{
    sendHead(status, fields, !body.empty());
    connection_->send(body);
    end();
}

void UnframedExchange::startStream(int status, const http::Fields& fields) { sendHead(status, fields, true); }

void UnframedExchange::abort()
{
    onCallerDisconnected = nullptr;
    connection_->close();
}

// ---- private ----

void UnframedExchange::sendHead(int status, http::Fields fields, bool hasBody)
{
    Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    response.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto& [name, value] : fields)
        response.add(name, value);
    if (!hasBody)
        response.setContentLength(0);
    response.setKeepAlive(false);
    std::ostringstream out;
    response.write(out);
    connection_->send(out.str());
}

void UnframedExchange::end()
{
    onCallerDisconnected = nullptr;
    connection_->closeAfterDrain();
}

int serveUnframed(loop::EventLoop& eventLoop, const std::string& address, const UnframedExchange::Handler& handler)
{
    const loop::Listener listener(eventLoop, address,
        [&](const Poco::Net::StreamSocket& socket) { UnframedExchange::start(eventLoop, socket, handler); });
    return runUntilStopped(eventLoop, listener.address());
}

} // namespace standins
