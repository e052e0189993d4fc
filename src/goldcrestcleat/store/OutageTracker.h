#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <algorithm>

namespace goldcrestcleat::store {

/// Tracks whether the store answers any daemon of the fleet, and decides whether missing entries may have expired.
///
/// Servers renew their entries in the store. The entry of a running server expires only while the store is unavailable
/// to all, and is registered again soon after its return. A store that answers one daemon is available, even if it does
/// not answer others. Times are those of the event loop, in ms.
class OutageTracker {
public:
    /// Shortest time without any answer that counts as an outage. Longer than it takes other daemons to watch the store
    /// after those that did have lost it, and shorter than it takes an entry to expire.
    static constexpr loop::TimeMs MIN_OUTAGE_MS = 1'000;

    /// Time after the earliest possible end of an outage in which missing entries may return: two seconds, as the
    /// platform documents, and the time to learn of it. An entry that is missing afterwards was removed.
    static constexpr loop::TimeMs RETURN_MS = 2'500;

    /// Time that is left to missing entries at least when the store is first seen to answer again, as its return may
    /// have been just before: servers renew their entries about every 1.2 s.
    static constexpr loop::TimeMs RENEWAL_MS = 1'600;

    /// Starts without an outage.
    explicit OutageTracker(loop::TimeMs now)
        : answeredAt_(now)
    {
    }

    /// Records whether the store is known to answer any daemon. Expected several times per second; if the caller was
    /// suspended, the time without observations counts as an outage.
    void observe(loop::TimeMs now, bool isAnswering)
    {
        if (!isAnswering)
            return;
        if (now - answeredAt_ >= MIN_OUTAGE_MS) {
            const loop::TimeMs earliestReturn = unansweredCallAt_ > answeredAt_ ? unansweredCallAt_ : now;
            returnUntil_ = std::max(earliestReturn + RETURN_MS, now + RENEWAL_MS);
        }
        answeredAt_ = now;
    }

    /// Records that the store did not answer a call of this daemon. An outage did not end before the call was made.
    void observeFailure(loop::TimeMs calledAt) { unansweredCallAt_ = std::max(unansweredCallAt_, calledAt); }

    /// Records that the store is known to have returned from an older copy. Entries that it lacks may be written again.
    void observeRestore(loop::TimeMs now) { rewriteUntil_ = now + RETURN_MS; }

    /// Returns whether an entry that is missing in an older copy of the store may still be written again.
    bool mayBeRewritten(loop::TimeMs now) const { return now < rewriteUntil_; }

    /// Returns how long the store has not been known to answer any daemon.
    loop::TimeMs unansweredMs(loop::TimeMs now) const { return now - answeredAt_; }

    /// Returns whether an entry that is missing now may have expired, and may still return.
    bool mayHaveExpired(loop::TimeMs now) const { return unansweredMs(now) >= MIN_OUTAGE_MS || now < returnUntil_; }

private:
    loop::TimeMs answeredAt_;
    loop::TimeMs unansweredCallAt_ = 0; // when the last call was made that the store did not answer
    loop::TimeMs returnUntil_ = 0; // end of the time to return after the last outage
    loop::TimeMs rewriteUntil_ = 0; // end of the time to write entries again after the last return from an older copy
};

} // namespace goldcrestcleat::store
