#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/upstreams/UpstreamDirectory.h"

#include <functional>
#include <map>
#include <optional>

namespace goldcrestcleat::upstreams {

/// Status that an upstream reports in response to a probe.
struct ProbeResult {
    bool isAlive = false; ///< it sent a valid response
    bool isLeaving = false;
    std::optional<int> running; ///< requests that an engine is processing, if it reports them
    std::string runId; ///< identifies the upstream's process; changes with each restart
};

/// Probes the health and load of upstreams; periodically only those that this daemon owns.
class Prober {
public:
    struct Hooks {
        std::function<bool(routing::NodeKey)> isOwner;
        std::function<void(routing::NodeKey, int running)> onLoadReport;
        std::function<void(const Upstream&)> onChange; ///< its `down` or `leaving` state changed
    };

    Prober(loop::EventLoop& loop, UpstreamDirectory& directory, Hooks hooks);

    void start();

    /// Probes one upstream immediately over a new connection.
    void probeNow(routing::NodeKey key, std::function<void(const ProbeResult&)> onDone);

    /// Finds out over a new connection whether the process with a run id is still running, by up to two probes. Any
    /// process counts if the id is empty or the upstream does not state one.
    void confirmRunning(routing::NodeKey key, const std::string& runId, std::function<void(bool isRunning)> onDone);

    std::uint64_t bytes() const { return client_.bytesIn() + client_.bytesOut(); }

private:
    void probeDue();
    void probe(routing::NodeKey key, http::Client::Reuse reuse, std::function<void(const ProbeResult&)> onDone);
    void onResult(routing::NodeKey key, const ProbeResult& result);

    loop::EventLoop& loop_;
    UpstreamDirectory& directory_;
    Hooks hooks_;
    http::Client client_;
    std::map<routing::NodeKey, loop::TimeMs> lastProbeAt_;
};

} // namespace goldcrestcleat::upstreams
