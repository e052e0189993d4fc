#pragma once

#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/routing/Keys.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace goldcrestcleat::upstreams {

/// Detects servers that work more slowly than the others of their service.
///
/// A sample is the time that a server took for the next event of a stream. Responses to calls are no samples: their
/// time contains the wait in the server's queue. Servers are compared with the median of their service as this daemon
/// observes it, so that a daemon that is slow itself, or a service that is slow as a whole, makes no server stand out.
/// Peers report the slow servers that they observe, because a daemon of a large fleet has requests on few servers at a
/// time.
class PaceTracker {
public:
    /// Time without samples after which a server's pace no longer counts.
    static constexpr loop::TimeMs OBSERVED_MS = 3'000;

    /// Time after the last observation in which the excess of a slowness over 1 halves, so that a server which may have
    /// recovered gets its share of the requests back by degrees.
    static constexpr loop::TimeMs RECOVERY_HALF_LIFE_MS = 700;

    /// Servers that are less slow than this are treated like the others: services mix generations of hardware, and a
    /// busy server is slower than an idle one.
    static constexpr double MIN_SLOWNESS = 1.8;

    static constexpr double MAX_SLOWNESS = 8; ///< higher values are capped

    /// Records a sample. Complexity: O(log servers).
    void record(const std::string& service, routing::NodeKey server, double ms, loop::TimeMs now);

    /// Records the slowness that a peer has observed.
    void report(routing::NodeKey server, double slowness, loop::TimeMs now);

    /// Returns how many times slower a server is than the others of its service; 1 if it is not, or not known.
    double slowness(routing::NodeKey server, loop::TimeMs now) const;

    /// Returns the servers that this daemon itself observes to be slow. Complexity: O(servers).
    std::vector<std::pair<routing::NodeKey, double>> observedSlow(loop::TimeMs now) const;

private:
    static constexpr int MIN_SAMPLES = 4;
    static constexpr std::size_t MIN_SERVERS = 3; // that a comparison needs
    static constexpr loop::TimeMs MEDIAN_PERIOD_MS = 100; // between two computations of a median

    struct Observation {
        std::string service;
        double meanMs = 0; // moving average
        int samples = 0;
        loop::TimeMs sampledAt = 0;
    };

    struct Slowness {
        double value = 1;
        loop::TimeMs at = 0;
    };

    struct Median {
        double ms = 0; // 0 if too few servers are observed
        loop::TimeMs computedAt = 0;
    };

    double medianOf(const std::string& service, loop::TimeMs now);
    void prune(loop::TimeMs now);

    std::map<routing::NodeKey, Observation> observations_;
    std::map<routing::NodeKey, Slowness> observed_; // by this daemon; only servers that are slow
    std::map<routing::NodeKey, Slowness> reported_; // by peers
    std::map<std::string, Median> medians_; // by service
    loop::TimeMs prunedAt_ = 0;
};

} // namespace goldcrestcleat::upstreams
