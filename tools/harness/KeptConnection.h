#pragma once

#include "harness/Caller.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <vector>

namespace goldcrestcleat::harness {

/// What a caller got for one request on a kept connection.
struct KeptAnswer {
    int status = 0; ///< 0 when the connection failed before a head came
    bool isWhole = false; ///< the answer ended as HTTP says
    bool isSigned = false;
    std::string requestId; ///< as the answer names it
    std::string body;
    std::vector<std::uint64_t> eventIds; ///< of whole events, when the answer is a stream
    bool hasPartialEvent = false;
};

/// A caller's connection that is used for one request after the other until either side ends it.
class KeptConnection {
public:
    explicit KeptConnection(std::string address)
        : address_(std::move(address))
    {
    }

    /// Sends a request and reads its answer; opens a connection if none is open.
    KeptAnswer call(const std::string& method, const std::string& path, const Headers& headers, int timeoutMs);

    const std::string& address() const { return address_; }

private:
    bool send(const std::string& bytes);
    KeptAnswer receive(int timeoutMs);

    std::string address_;
    std::unique_ptr<Poco::Net::StreamSocket> socket_;
};

} // namespace goldcrestcleat::harness
