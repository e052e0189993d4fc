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

/// A part of a prompt that requests may share.
struct PromptPart {
    std::string id;
    std::int64_t tokens = 0;

    friend bool operator==(const PromptPart& a, const PromptPart& b) { return a.id == b.id && a.tokens == b.tokens; }
};

/// What routing needs to know of a caller's request.
struct Inbound {
    std::string requestId;
    std::string host;
    std::string path; ///< as sent, without the query
    std::string key; ///< of the caller's workspace; empty without one
    std::string model;
    std::vector<PromptPart> prompt; ///< in order; the last part belongs to the request or its session
    std::optional<loop::TimeMs> deadlineMs; ///< time that the caller waits, from its sending
    std::optional<std::uint64_t> lastEventId; ///< the caller has seen the stream up to here
};

/// What this daemon adds to a request that it passes on.
struct Addition {
    std::string serverId; ///< only this start of a server may run it
    loop::TimeMs deadlineMs = 0; ///< time that is left
    std::string workspace; ///< empty where the route needs no key
    std::optional<int> priority;
    std::optional<std::uint64_t> lastEventId;
    std::string fetchFrom; ///< address of an engine that may hold the prompt's context; empty for none
};

/// How requests that are routed by host and path look on the wire, and the answers to them.
struct Dialect {
    std::function<Inbound(const http::Exchange&)> decode;
    std::function<http::Request(const http::Exchange&, const Addition&)> encode;

    /// Says whether an answer on a connection belongs to a request.
    std::function<bool(const Poco::Net::HTTPResponse&, const std::string& requestId)> isAnswerTo;

    std::function<AnswerHead(const Poco::Net::HTTPResponse&)> readHead;

    /// Answers in the fleet's own name. `retryAfterMs` 0 names no time.
    std::function<void(http::Exchange&, errors::ResultCode, const std::string& context, loop::TimeMs retryAfterMs)>
        refuse;
};

} // namespace goldcrestcleat::forwarding
