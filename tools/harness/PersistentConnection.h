#pragma once

#include "harness/Caller.h"

#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>
#include <vector>

namespace goldcrestcleat::harness {

/// The answer that a caller received to one request on a persistent connection.
struct ConnectionAnswer {
    int status = 0; ///< 0 if the connection failed before the head was received
    bool isComplete = false; ///< the message was terminated as HTTP requires
    bool isSigned = false; ///< a server sent it, not a daemon
    std::string requestId; ///< as echoed in the answer
    std::string body;
    std::vector<std::uint64_t> eventIds; ///< of complete events, if the answer is a stream
    bool hasPartialEvent = false;
};

/// A caller's connection that is reused for successive requests until either side closes it.
class PersistentConnection {
public:
    explicit PersistentConnection(std::string address)
        : address_(std::move(address))
    {
    }

    /// Sends a request and reads its answer. Opens a connection if none is open.
    ConnectionAnswer call(const std::string& method, const std::string& path, const Headers& headers, int timeoutMs);

    const std::string& address() const { return address_; }

private:
    bool send(const std::string& bytes);
    ConnectionAnswer receive(int timeoutMs);

    std::string address_;
    std::unique_ptr<Poco::Net::StreamSocket> socket_;
};

} // namespace goldcrestcleat::harness
