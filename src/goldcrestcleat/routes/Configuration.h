#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The operator's configuration: routes, workspaces and limits.
namespace goldcrestcleat::routes {

/// How the requests of a route may be retried.
enum class CallKind {
    Idempotent,
    NonIdempotent,
    Stream ///< event stream; retried only if the route allows streams to be resumed
};

/// One of the services to which a route sends requests, with its share of them.
struct RouteTarget {
    std::string service;
    double weight = 1;

    friend bool operator==(const RouteTarget& a, const RouteTarget& b)
    {
        return a.service == b.service && a.weight == b.weight;
    }
};

/// Handling of the requests for one host and path prefix.
struct Route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with a slash
    CallKind kind = CallKind::NonIdempotent;
    bool isResumable = false; ///< an interrupted stream may be continued on another server
    bool needsKey = true; ///< requests must present a workspace's key
    bool hasPrompt = false; ///< requests list the parts of their prompt
    loop::TimeMs timeoutMs = 0; ///< maximum time that a caller waits for the answer
    loop::TimeMs goalMs = 0; ///< target time for an answer; a later answer is worth less
    loop::TimeMs maxPauseMs = 0; ///< target for the longest pause between two events of a stream
    int attempts = 1; ///< number of servers on which one request may run
    int priority = 0; ///< 0 is the most urgent
    std::vector<RouteTarget> targets; ///< not empty
    std::vector<std::string> regions {}; ///< whose servers may run its requests; empty for all

    /// Returns true if a failed attempt may be followed by another one.
    bool mayRepeat() const { return kind == CallKind::Idempotent || (kind == CallKind::Stream && isResumable); }
};

/// A customer, with the keys that its callers present.
struct Workspace {
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides that of the route
    std::vector<std::string> regions {}; ///< whose servers may run its requests; empty for all
};

/// What the operator states about the servers of a service.
struct Service {
    std::string name;
    loop::TimeMs coldMs = 0; ///< how long a server that has turned cold stays cold; 0 if its servers are never cold
    double coldRequestsPerS = 0; ///< requests that a cold server tolerates from all daemons together
    std::string healthPath {}; ///< of its servers' health checks; empty if not known

    /// Returns whether requests to its cold servers are limited.
    bool limitsColdStarts() const { return coldMs > 0 && coldRequestsPerS > 0; }
};

/// Size limits and timeouts for callers.
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
    std::vector<Workspace> workspaces;
    std::vector<Service> services {};
    CallerLimits limits {};
};

} // namespace goldcrestcleat::routes
