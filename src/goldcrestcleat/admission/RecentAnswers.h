#pragma once

#include "goldcrestcleat/admission/Fingerprint.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace goldcrestcleat::admission {

/// Counts this daemon's latest answers by fingerprint, in bounded memory.
///
/// Two generations are kept: when the current one is full or old, it becomes the previous one, which is dropped.
class RecentAnswers {
public:
    static constexpr std::size_t MAX_FINGERPRINTS = 8'192; ///< of each generation
    static constexpr loop::TimeMs GENERATION_MS = 30'000;
    static constexpr int MAX_COUNT = 100; ///< higher counts make no difference

    void add(Fingerprint fingerprint, loop::TimeMs now)
    {
        if (current_.size() >= MAX_FINGERPRINTS || now - startedAt_ > GENERATION_MS) {
            previous_ = std::exchange(current_, {});
            startedAt_ = now;
        }
        int& count = current_[fingerprint];
        count = std::min(count + 1, MAX_COUNT);
    }

    int count(Fingerprint fingerprint) const
    {
        return countIn(current_, fingerprint) + countIn(previous_, fingerprint);
    }

private:
    using Counts = std::unordered_map<Fingerprint, int>;

    static int countIn(const Counts& counts, Fingerprint fingerprint)
    {
        const auto found = counts.find(fingerprint);
        return found == counts.end() ? 0 : found->second;
    }

    Counts current_;
    Counts previous_;
    loop::TimeMs startedAt_ = 0;
};

} // namespace goldcrestcleat::admission
