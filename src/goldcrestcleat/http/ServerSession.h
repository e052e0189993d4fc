#pragma once

#include "goldcrestcleat/http/Server.h"

namespace goldcrestcleat::http {

/// One caller's connection: reads requests one by one and writes their answers in order.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
    ServerSession(Server& server, const Poco::Net::StreamSocket& socket);

    void start();
    void write(std::string_view bytes);
    void endExchange(bool keepAlive);
    void abort();
    void closeIfIdle();
    void setDraining() { draining_ = true; }

    bool isOpen() const { return connection_ && connection_->isOpen(); }
    /// Closes the connection when the caller took too long.
    void checkTime();

    /// True when the answer that is written now is the last one of this connection.
    bool endsAfterAnswer();

    std::size_t backlog() const { return connection_->pendingOutput(); }

private:
    void onData(std::string_view bytes);
    void onClose();
    void onHead(const Poco::Net::HTTPRequest& head);
    void onRequestEnd();
    void onFault(errors::ResultCode code, const std::string& context);
    void onDrain();
    void onBody(std::string_view part);
    void linger();

    Server& server_;
    Poco::Net::StreamSocket socket_;
    loop::Connection::Ptr connection_;
    MessageReader reader_;
    Exchange::Ptr exchange_; // the open request, if any
    bool requestEnded_ = false;
    bool draining_ = false;
    bool isFirstRequest_ = true;
    bool lingering_ = false; // answered before the request ended; the rest of it is read and dropped
    loop::TimeMs lastProgress_ = 0;
    loop::TimeMs requestStart_ = 0; // 0 between requests
    std::size_t lastBacklog_ = 0;
};

} // namespace goldcrestcleat::http
