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

/// Returns the hash of a part of a prompt, which requests of all workspaces may share.
Fingerprint fingerprintOfPart(const std::string& partId);

/// Returns a hash as it is written to logs: 16 hexadecimal digits.
std::string toHex(Fingerprint fingerprint);

/// A crash that a request may have caused: the request was running on the upstream when its process ended.
struct Suspicion {
    Fingerprint fingerprint = 0;
    std::uint64_t crashId = 0; ///< hash of the upstream and the id of the run that ended
    bool wasSuspect = false; ///< it ran as a suspect, so that no other suspect was running there

    friend bool operator==(const Suspicion& a, const Suspicion& b)
    {
        return a.fingerprint == b.fingerprint && a.crashId == b.crashId && a.wasSuspect == b.wasSuspect;
    }
};

/// Counts the crashes in which each request was involved, and bans requests temporarily.
///
/// A request is banned after two crashes if it was the only suspect in one of them. Otherwise it takes three crashes:
/// requests with the same content share one count, and another request may have caused the crashes.
///
/// A ban may end before the crashes expire; the next crash then bans for twice as long. This gives another chance to
/// requests that were banned because of other requests with the same content.
class Quarantine {
public:
    static constexpr std::size_t CRASHES_TO_BAN_SUSPECT = 2;
    static constexpr std::size_t CRASHES_TO_BAN = 3;
    static constexpr loop::TimeMs RETENTION_MS = 600'000; ///< crashes of a request expire this long after the last one
    static constexpr std::size_t MAX_ENTRIES = 10'000;

    /// The first ban lasts `initialBanMs`; no ban outlasts RETENTION_MS.
    explicit Quarantine(loop::TimeMs initialBanMs = RETENTION_MS)
        : initialBanMs_(initialBanMs)
    {
    }

    /// Records a crash; returns false if it was already recorded. Complexity: O(1) unless the table is full.
    bool record(const Suspicion& suspicion, loop::TimeMs now);

    /// Discards the crashes of a request that has now been answered completely; returns false if there were none.
    bool clearSuspicion(Fingerprint fingerprint) { return entries_.erase(fingerprint) > 0; }

    /// Returns true if the request was recently involved in a crash; it must not run beside another suspect.
    bool isSuspect(Fingerprint fingerprint, loop::TimeMs now) const;

    bool isBanned(Fingerprint fingerprint, loop::TimeMs now) const;

    /// Returns all suspicions that have not expired.
    std::vector<Suspicion> current(loop::TimeMs now) const;

private:
    struct Entry {
        std::vector<std::uint64_t> crashes;
        bool wasSuspect = false; // in at least one of the crashes
        loop::TimeMs lastAt = 0;
    };

    const Entry* findUnexpired(Fingerprint fingerprint, loop::TimeMs now) const;
    void evictOldest();

    loop::TimeMs initialBanMs_;
    std::unordered_map<Fingerprint, Entry> entries_;
};

} // namespace goldcrestcleat::admission
