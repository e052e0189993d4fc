#pragma once

#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/routing/Keys.h"

#include <deque>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::routing {

/// Limits the requests that all daemons together start at a cold server, without messages between them.
///
/// The requests that the server tolerates in a window are divided among the listed daemons, whether these are up or
/// not. The remainder of the division goes to the daemons that rank first for the server by rendezvous hashing. A
/// daemon starts a request only if it has started fewer than its share in the last `SPACING_MS`.
///
/// If all daemons list the same members, the total share is exactly `Tolerance::shared()`. If there are more members
/// than that and each daemon misses up to m of them, it is at most m higher: whoever ranks among the first k of a list
/// that lacks m members ranks among the first k + m of the complete one.
class ColdStartLimiter {
public:
    /// Window in which the requests at a cold server are counted.
    static constexpr loop::TimeMs WINDOW_MS = 1'000;

    /// Longest time from the start of a request to its send, which may have to wait for a connection.
    static constexpr loop::TimeMs MAX_SEND_DELAY_MS = 500;

    /// Two requests by one share are at least so far apart that their sends never fall into one window.
    static constexpr loop::TimeMs SPACING_MS = WINDOW_MS + MAX_SEND_DELAY_MS;

    /// How many requests in a window a cold server tolerates.
    struct Tolerance {
        double perWindow = 0; ///< as the operator states it
        double overage = 1; ///< multiple of it that the deployment permits

        /// Returns the number of requests that the daemons share.
        int shared() const;
    };

    /// Sets this daemon and all daemons that the store lists, including this one. Without any, nothing may be started.
    void setDaemons(NodeKey self, std::vector<NodeKey> daemons);

    /// Forgets which requests were started, for example because the process was suspended or has just started, and
    /// starts none until every earlier one is out of the window.
    void pause(loop::TimeMs now);

    /// Returns how many requests this daemon may start at a server within `SPACING_MS`. Complexity: O(daemons) for the
    /// first call with a server, O(1) for later ones.
    int share(NodeKey server, const Tolerance& tolerance);

    bool mayStart(NodeKey server, const Tolerance& tolerance, loop::TimeMs now);
    void recordStart(NodeKey server, loop::TimeMs now);

private:
    std::size_t rankOf(NodeKey server);
    std::size_t countRecent(NodeKey server, loop::TimeMs now);
    void forgetOld(loop::TimeMs now);

    NodeKey self_ = NO_NODE;
    std::vector<NodeKey> daemons_;
    loop::TimeMs pausedUntil_ = 0;
    loop::TimeMs forgottenAt_ = 0; // when servers without recent starts were last forgotten
    std::unordered_map<NodeKey, std::size_t> ranks_; // of this daemon, by server
    std::unordered_map<NodeKey, std::deque<loop::TimeMs>> starts_; // in the last SPACING_MS, by server
};

} // namespace goldcrestcleat::routing
