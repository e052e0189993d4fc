#pragma once

#include "goldcrestcleat/forwarding/RequestHooks.h"
#include "goldcrestcleat/http/Server.h"
#include "goldcrestcleat/requests/ErrorResponse.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::forwarding {

/// A segment of a prompt. Requests that share leading segments can reuse the context computed for them.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;

    friend bool operator==(const PromptPart& a, const PromptPart& b) { return a.id == b.id && a.tokens == b.tokens; }
};

/// The properties of a caller's request that routing depends on.
struct InboundRequest {
    std::string requestId;
    std::string host;
    std::string path; ///< as received, without the query string
    std::string key; ///< API key of the caller's workspace; empty if none was sent
    std::string model;
    std::vector<PromptPart> prompt; ///< in order; the last segment is specific to this request or its session
    std::optional<loop::TimeMs> deadlineMs; ///< how long the caller waits, counted from when it sent the request
    std::optional<std::uint64_t> lastEventId; ///< last event that the caller has received of the stream
};

/// Metadata that this daemon adds to a forwarded request.
struct ForwardingMetadata {
    std::string serverId; ///< server instance that the request is addressed to; any other instance must reject it
    loop::TimeMs deadlineMs = 0; ///< remaining time
    std::string workspace; ///< empty if the route does not require a key
    std::optional<int> priority;
    std::optional<std::uint64_t> lastEventId;
    std::string fetchFrom; ///< address of an engine that may have the prompt's context cached; empty for none
};

/// A server instance that is probed.
struct ProbedInstance {
    std::string serverId;
    std::int64_t startedAtMs = 0; ///< Unix time; 0 if not known
    bool isEngine = false;
    std::string healthPath; ///< of its service; empty if not known
};

/// Wire format of requests that are routed by host and path, and of the responses to them.
struct Dialect {
    std::function<InboundRequest(const http::Exchange&)> decode;
    std::function<http::Request(const http::Exchange&, const ForwardingMetadata&)> encode;

    /// Returns true if a response on a connection belongs to the request.
    std::function<bool(const Poco::Net::HTTPResponse&, const std::string& requestId)> isResponseTo;

    /// Returns true if a response names the request that it belongs to.
    std::function<bool(const Poco::Net::HTTPResponse&)> isIdentified;

    std::function<ResponseHead(const Poco::Net::HTTPResponse&)> readHead;

    /// Returns a request that shows whether a server instance is running and has no other effect; nothing if none is
    /// known.
    std::function<std::optional<http::Request>(const ProbedInstance&)> encodeProbe;

    /// Returns false if another instance has sent a response to a probe.
    std::function<bool(const Poco::Net::HTTPResponse&, const std::string& body, const ProbedInstance&)> isFromInstance;

    /// Sends an error response that originates in this fleet. `retryAfterMs` 0 omits the retry time.
    std::function<void(http::Exchange&, errors::ResultCode, const std::string& context, loop::TimeMs retryAfterMs)>
        refuse;
};

} // namespace goldcrestcleat::forwarding
