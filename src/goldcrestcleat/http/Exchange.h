#pragma once

#include "goldcrestcleat/http/InputMemory.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <Poco/Net/HTTPRequest.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace goldcrestcleat::http {

/// Header fields in the order they are written.
using Fields = std::vector<std::pair<std::string, std::string>>;

class ServerSession;

/// A request and its response. Stays valid after the caller has disconnected; all output is then discarded.
class Exchange {
public:
    using Ptr = std::shared_ptr<Exchange>;

    Exchange(std::weak_ptr<ServerSession> session, const Poco::Net::HTTPRequest& head,
        std::shared_ptr<InputMemory> memory = std::make_shared<InputMemory>());
    ~Exchange() { memory_->change(-countedBytes_); }
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    const Poco::Net::HTTPRequest& head() const { return head_; }
    std::string header(const std::string& name) const { return head_.get(name, ""); }

    /// Returns the path without the query string.
    const std::string& path() const { return path_; }

    /// Returns a query parameter, or an empty string.
    std::string query(const std::string& name) const;

    const std::string& body() const { return body_; }

    /// Returns the steady-clock time at which the request's first byte was received, in ms.
    loop::TimeMs arrivedAt() const { return arrivedAt_; }

    /// Sends a complete response.
    void reply(int status, const Fields& fields, std::string_view body);

    /// Starts a chunked response, whose parts are sent by `write`.
    void startStream(int status, const Fields& fields);
    void write(std::string_view part);
    void finishStream();

    /// Sends the parts written so far and closes the connection without the end of the chunked encoding.
    void truncateStream();

    /// Closes the connection, which shows the caller that the response is incomplete.
    void abort();

    bool isStreaming() const { return streaming_; }

    /// Returns the number of response bytes that are still queued for sending.
    std::size_t backlog() const;

    std::function<void()> onCallerDisconnected;
    std::function<void()> onDrain;

    /// Returns the memory of the head and the body.
    std::size_t heldBytes() const { return static_cast<std::size_t>(countedBytes_); }

private:
    friend class ServerSession;

    void appendBody(std::string_view part);
    void finishBody();
    void countBytes();

    std::weak_ptr<ServerSession> session_;
    Poco::Net::HTTPRequest head_;
    std::string path_;
    std::vector<std::pair<std::string, std::string>> query_;
    std::string body_;
    std::shared_ptr<InputMemory> memory_;
    std::size_t headBytes_ = 0; // memory of the header fields
    std::ptrdiff_t countedBytes_ = 0; // memory of the head and the body as counted in `memory_`
    loop::TimeMs arrivedAt_ = 0;
    bool responded_ = false;
    bool streaming_ = false;
    bool isKept_ = false; // the head of a streamed response announced that the connection stays open
};

} // namespace goldcrestcleat::http
