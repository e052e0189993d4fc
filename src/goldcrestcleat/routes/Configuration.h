#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// What the operator wants: routes, workspaces and limits, as one versioned value.
namespace goldcrestcleat::routes {

/// What may be repeated.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    Stream ///< of events; repeated only where the route allows a stream to be resumed
};

/// One of the services that a route sends to, with its share.
struct RouteTarget {
    std::string service;
    double weight = 1;

    friend bool operator==(const RouteTarget& a, const RouteTarget& b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/// How requests of one host and path prefix are handled.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    bool isResumable = false; ///< a stream may go on at another server
    bool needsKey = true;
    bool hasPrompt = false; ///< requests name the parts of their prompt
    loop::TimeMs timeoutMs = 0; ///< longest time that a caller is kept waiting
    loop::TimeMs goalMs = 0; ///< answers later than this earn less
    loop::TimeMs maxPauseMs = 0; ///< longest pause between events of a stream that is on time
    int attempts = 1; ///< servers that one request may run on
    int priority = 0; ///< 0 is the most urgent
    std::vector<RouteTarget> targets; ///< never empty

    /// A failed attempt may be followed by another one.
    bool mayRepeat() const { return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable); }
};

/// A customer and the keys that its callers present.
struct KeyHolder {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< goes before the route's
};

/// What a caller may send and how long it may take.
struct CallerLimits {
    std::size_t headBytes = 16 * 1024;
    std::size_t bodyBytes = 4 * 1024 * 1024;
    loop::TimeMs headTimeoutMs = 10'000;
    loop::TimeMs idleTimeoutMs = 60'000;

    friend bool operator==(const CallerLimits& a, const CallerLimits& b)
    {
        return a.headBytes == b.headBytes && a.bodyBytes == b.bodyBytes && a.headTimeoutMs == b.headTimeoutMs
            && a.idleTimeoutMs == b.idleTimeoutMs;
    }
};

/// One version of the configuration.
struct Configuration {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::vector<KeyHolder> workspaces;
    CallerLimits limits;
};

} // namespace goldcrestcleat::routes
