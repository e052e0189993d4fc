#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <vector>

namespace goldcrestcleat::http {

/// What one connection holds of the requests that its caller has sent.
struct HeldInput {
    std::size_t bytes = 0; ///< memory of its buffers, head and body
    loop::TimeMs lastInputAt = 0; ///< or when it was accepted
    bool isUnfinished = false; ///< a request has begun, and its end has not arrived
    bool hasSentNothing = false; ///< since it was accepted
};

/// Time without input after which an unfinished request counts as stalled: a few round trips.
constexpr loop::TimeMs STALLED_MS = 250;

/// Time after which a connection that has sent nothing counts as stalled.
constexpr loop::TimeMs UNUSED_MS = 1'000;

/// Returns the position of the stalled unfinished request that holds the most memory for the longest time.
std::optional<std::size_t> findCostliestStalled(const std::vector<HeldInput>& held, loop::TimeMs now);

/// Returns the position of the connection that is stalled for the longest time, with an unfinished request or unused.
std::optional<std::size_t> findLongestStalled(const std::vector<HeldInput>& held, loop::TimeMs now);

/// Counts the memory that the requests of callers take at all listeners of a daemon, and limits it.
///
/// When it is exhausted, stalled unfinished requests are given up first. None of them was forwarded.
class InputMemory {
public:
    using HolderId = std::uint64_t;

    static constexpr loop::TimeMs SEARCH_PERIOD_MS = 20; ///< a crowd may send thousands of small parts in that time

    /// A connection. The hooks must not add or remove holders, except that `giveUp` may remove its own.
    struct Holder {
        std::function<HeldInput()> held;
        std::function<void()> giveUp; ///< refuses the unfinished request and frees its memory
    };

    /// Sets the number of bytes from which on memory is freed and further large requests are refused. Small ones are
    /// refused from half as much more on.
    void setLimit(std::size_t bytes) { limit_ = bytes; }

    void change(std::ptrdiff_t bytes) { bytes_ += bytes; }
    std::size_t bytes() const { return static_cast<std::size_t>(bytes_); }

    HolderId add(Holder holder);
    void remove(HolderId id) { holders_.erase(id); }

    /// Gives up stalled requests until the memory is within its limit. Complexity: O(holders) for each one given up;
    /// O(1) for SEARCH_PERIOD_MS after there was none to give up.
    void freeStalled(loop::TimeMs now);

    /// Returns whether a request must be refused that is still being received and has grown.
    bool mustRefuse(bool isSmall) const;

private:
    bool isExceeded() const { return bytes() > limit_; }

    std::map<HolderId, Holder> holders_;
    HolderId nextId_ = 1;
    std::size_t limit_ = std::numeric_limits<std::size_t>::max() / 2;
    std::ptrdiff_t bytes_ = 0;
    std::optional<loop::TimeMs> noneStalledAt_; // when none was found to give up
};

} // namespace goldcrestcleat::http
