#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace goldcrestcleat::admission {

/// 64-bit hash of a workspace and a request body.
using Fingerprint = std::uint64_t;

Fingerprint fingerprintOf(const std::string& workspace, const std::string& body);

/// A crash of one upstream run that a request was part of.
struct Suspicion {
    Fingerprint fingerprint = 0;
    std::uint64_t crashId = 0; ///< hash of the upstream and the run that ended
    bool wasSuspect = false; ///< it ran as a suspect, so that no other suspect can be to blame

    friend bool operator==(const Suspicion& a, const Suspicion& b)
    {
        return a.fingerprint == b.fingerprint && a.crashId == b.crashId && a.wasSuspect == b.wasSuspect;
    }
};

/// Counts the crashes that requests took part in, and bans a request for a time.
///
/// A request that crashes an upstream a second time, as its only suspect, is banned. Without having been the
/// only suspect it takes three crashes, since requests with the same content may just have been neighbours.
///
/// A ban may end before the crashes are forgotten; the next crash then bans for twice as long. That gives requests that
/// shared their content with others, and were banned for what befell those, another chance.
class Quarantine {
public:
    static constexpr std::size_t CRASHES_TO_BAN_SUSPECT = 2;
    static constexpr std::size_t CRASHES_TO_BAN = 3;
    static constexpr loop::TimeMs MEMORY_MS = 600'000;
    static constexpr std::size_t MAX_ENTRIES = 10'000;

    /// Every ban lasts as long as the memory unless a shorter first one is given.
    explicit Quarantine(loop::TimeMs firstBanMs = MEMORY_MS)
        : firstBanMs_(firstBanMs)
    {
    }

    /// Records a crash; returns false when it was known. Complexity: O(1) unless the table is full.
    bool record(const Suspicion& suspicion, loop::TimeMs now);

    /// Forgets the crashes of a request that has now been answered whole; false when there were none.
    bool forgive(Fingerprint fingerprint) { return entries_.erase(fingerprint) > 0; }

    /// A suspect took part in a crash lately and runs with no other suspect beside it.
    bool isSuspect(Fingerprint fingerprint, loop::TimeMs now) const;

    bool isBanned(Fingerprint fingerprint, loop::TimeMs now) const;

    /// Returns all suspicions that still count.
    std::vector<Suspicion> current(loop::TimeMs now) const;

private:
    struct Entry {
        std::vector<std::uint64_t> crashes;
        bool wasSuspect = false; // in one of the crashes
        loop::TimeMs lastAt = 0;
    };

    const Entry* fresh(Fingerprint fingerprint, loop::TimeMs now) const;
    void dropOldest();

    loop::TimeMs firstBanMs_;
    std::unordered_map<Fingerprint, Entry> entries_;
};

} // namespace goldcrestcleat::admission
