#pragma once

#include "Common.h"

#include <memory>
#include <string>
#include <string_view>

namespace standins {

/// A request and its answer, with the interface of `http::Exchange`, on a connection that serves no other request.
///
/// A body has neither a length nor chunks and ends with the connection. An answer without a body states that.
class UnframedExchange : public std::enable_shared_from_this<UnframedExchange> {
public:
    using Ptr = std::shared_ptr<UnframedExchange>;
    using Handler = std::function<void(Ptr)>;

    /// Reads one request from an accepted connection. The exchange lives as long as its connection at least.
    static void start(loop::EventLoop& eventLoop, const Poco::Net::StreamSocket& socket, Handler onRequest);

    const Poco::Net::HTTPRequest& head() const { return head_; }
    std::string header(const std::string& name) const { return head_.get(name, ""); }
    const std::string& path() const { return path_; }
    const std::string& body() const { return body_; }

    void reply(int status, const http::Fields& fields, std::string_view body);

    void startStream(int status, const http::Fields& fields);
    void write(std::string_view part) { connection_->send(part); }
    void finishStream() { end(); }

    /// Closes the connection and discards unsent output.
    void abort();

    std::function<void()> onCallerDisconnected;

private:
    explicit UnframedExchange(Handler onRequest);

    void sendHead(int status, http::Fields fields, bool hasBody);
    void end();

    Handler onRequest_;
    loop::Connection::Ptr connection_;
    http::MessageReader reader_;
    Poco::Net::HTTPRequest head_;
    std::string path_;
    std::string body_;
};

/// Like `serve`, with answers that end with their connections.
int serveUnframed(loop::EventLoop& eventLoop, const std::string& address, const UnframedExchange::Handler& handler);

} // namespace standins
