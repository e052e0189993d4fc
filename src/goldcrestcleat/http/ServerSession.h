#pragma once

#include "goldcrestcleat/http/Server.h"

namespace goldcrestcleat::http {

/// A caller's connection: handles its requests one after another, with the responses in the same order.
class ServerSession : public std::enable_shared_from_this<ServerSession> {
public:
    ServerSession(Server& server, const Poco::Net::StreamSocket& socket);
    ~ServerSession();

    void start();
    void write(std::string_view bytes);
    void endExchange(bool keepAlive);
    void abort();
    void closeIfIdle();
    void setDraining() { draining_ = true; }

    bool isOpen() const { return connection_ && connection_->isOpen(); }

    /// Enforces the server's timeouts on this connection.
    void checkTimeouts();

    /// Returns whether this connection closes after the response being written, and makes that final.
    bool closesAfterResponse();

    std::size_t backlog() const { return connection_->pendingOutput(); }

    HeldInput heldInput() const;

    /// Refuses the unfinished request, if there is one, for lack of memory or connections.
    void giveUp(const std::string& reason);

    /// Closes at once, without waiting for the caller to read the response.
    void closeNow();

private:
    bool isIdle();
    void onData(std::string_view bytes);
    void onClose();
    void onHead(const Poco::Net::HTTPRequest& head);
    void onRequestEnd();
    void onError(errors::ResultCode code, const std::string& context);
    void onDrain();
    void onBody(std::string_view part);
    void linger();
    void countInput();
    void limitInput();
    void refuseIfTooMuch();

    Server& server_;
    const std::shared_ptr<InputMemory> input_; // outlives the server
    Poco::Net::StreamSocket socket_;
    loop::Connection::Ptr connection_;
    MessageReader reader_;
    Exchange::Ptr exchange_; // the open request, if any
    bool requestEnded_ = false;
    bool draining_ = false;
    bool isFirstRequest_ = true;
    bool lingering_ = false; // responded before the request was complete; the rest of it is read and discarded
    loop::TimeMs lastProgress_ = 0;
    loop::TimeMs requestStart_ = 0; // 0 between requests
    std::size_t lastBacklog_ = 0;
    std::ptrdiff_t countedInput_ = 0; // memory of the reader as counted by the server
    InputMemory::HolderId holder_ = 0;
};

} // namespace goldcrestcleat::http
