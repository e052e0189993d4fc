#pragma once

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/upstreams/Directory.h"

#include <functional>
#include <map>
#include <optional>

namespace goldcrestcleat::upstreams {

/// What an upstream says of itself.
struct ProbeAnswer {
    bool isAlive = false;
    bool isLeaving = false;
    std::optional<int> running; ///< requests that an engine runs; nothing when it does not say
    std::string run; ///< changes when the upstream's process was started anew
};

/// Asks upstreams for their state; on a regular schedule only those whose home this daemon is.
class Prober {
public:
    struct Hooks {
        std::function<bool(routing::NodeKey)> isHome;
        std::function<void(routing::NodeKey, int running)> onReport;
        std::function<void(const Upstream&)> onChange; ///< it went down, came up or began to leave
    };

    Prober(loop::EventLoop& loop, Directory& directory, Hooks hooks);

    void start();

    /// Asks one upstream over a new connection.
    void probeNow(routing::NodeKey key, std::function<void(const ProbeAnswer&)> onDone);

    std::uint64_t bytes() const { return client_.bytesIn() + client_.bytesOut(); }

private:
    void probeDue();
    void probe(routing::NodeKey key, http::Client::Reuse reuse, std::function<void(const ProbeAnswer&)> onDone);
    void onAnswer(routing::NodeKey key, const ProbeAnswer& answer);

    loop::EventLoop& loop_;
    Directory& directory_;
    Hooks hooks_;
    http::Client client_;
    std::map<routing::NodeKey, loop::TimeMs> lastProbeAt_;
};

} // namespace goldcrestcleat::upstreams
