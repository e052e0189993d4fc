#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <optional>

namespace goldcrestcleat::forwarding {

/// The planned stop of this daemon, once it has begun: which requests it may still begin to forward.
struct PlannedStop {
    loop::TimeMs acceptsUntil = 0; ///< until then all requests are accepted, as by the steady clock
    loop::TimeMs endsAt = 0; ///< when the daemon ends the requests that are still open

    friend bool operator==(const PlannedStop& a, const PlannedStop& b)
    {
        return a.acceptsUntil == b.acceptsUntil && a.endsAt == b.endsAt;
    }
    friend bool operator!=(const PlannedStop& a, const PlannedStop& b) { return !(a == b); }
};

/// Returns whether a request may be sent to a server at a time. Late in a planned stop, its time limit must end before
/// the daemon does, so that its answer can be awaited.
inline bool maySend(const std::optional<PlannedStop>& stop, loop::TimeMs now, loop::TimeMs limitEndsAt)
{
    return !stop || now < stop->acceptsUntil || limitEndsAt < stop->endsAt;
}

} // namespace goldcrestcleat::forwarding
