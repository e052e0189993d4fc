#include "goldcrestcleat/admission/Quarantine.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::admission {

namespace {

    constexpr std::uint64_t PART_SEED = 1; // keeps hashes of parts apart from those of contents
    constexpr std::size_t MAX_BAN_DOUBLINGS = 10; // bounds the shift; RETENTION_MS caps the ban

} // namespace

Fingerprint fingerprintOf(const std::string& workspace, const std::string& body)
{
    const auto seed = XXH3_64bits(workspace.data(), workspace.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed);
}

Fingerprint fingerprintOfPart(const std::string& partId)
{
    return XXH3_64bits_withSeed(partId.data(), partId.size(), PART_SEED);
}

std::string toHex(Fingerprint fingerprint) { return absl::StrCat(absl::Hex(fingerprint, absl::kZeroPad16)); }

bool Quarantine::record(const Suspicion& suspicion, loop::TimeMs now)
{
    if (entries_.size() >= MAX_ENTRIES && entries_.count(suspicion.fingerprint) == 0)
        evictOldest();
    Entry& entry = entries_[suspicion.fingerprint];
    if (now - entry.lastAt > RETENTION_MS)
        entry = {};
    const bool known = std::find(entry.crashes.begin(), entry.crashes.end(), suspicion.crashId) != entry.crashes.end();
    if (known)
        return false;
    entry.crashes.push_back(suspicion.crashId);
    entry.wasSuspect = entry.wasSuspect || suspicion.wasSuspect;
    entry.lastAt = now;
    assert(entries_.size() <= MAX_ENTRIES);
    return true;
}

bool Quarantine::isSuspect(Fingerprint fingerprint, loop::TimeMs now) const
{
    return findUnexpired(fingerprint, now) != nullptr;
}

bool Quarantine::isBanned(Fingerprint fingerprint, loop::TimeMs now) const
{
    const Entry* entry = findUnexpired(fingerprint, now);
    if (!entry)
        return false;
    const std::size_t needed = entry->wasSuspect ? CRASHES_TO_BAN_SUSPECT : CRASHES_TO_BAN;
    if (entry->crashes.size() < needed)
        return false;
    const std::size_t doublings = std::min(entry->crashes.size() - needed, MAX_BAN_DOUBLINGS);
    return now - entry->lastAt < std::min(initialBanMs_ << doublings, RETENTION_MS);
}

std::vector<Suspicion> Quarantine::current(loop::TimeMs now) const
{
    std::vector<Suspicion> all;
    for (const auto& [fingerprint, entry] : entries_) {
        if (now - entry.lastAt > RETENTION_MS)
            continue;
        for (const auto crash : entry.crashes)
            all.push_back({ fingerprint, crash, entry.wasSuspect });
    }
    return all;
}

const Quarantine::Entry* Quarantine::findUnexpired(Fingerprint fingerprint, loop::TimeMs now) const
{
    const auto entry = entries_.find(fingerprint);
    const bool isUnexpired = entry != entries_.end() && now - entry->second.lastAt <= RETENTION_MS;
    return isUnexpired ? &entry->second : nullptr;
}

void Quarantine::evictOldest()
{
    const auto older = [](const auto& a, const auto& b) { return a.second.lastAt < b.second.lastAt; };
    entries_.erase(std::min_element(entries_.begin(), entries_.end(), older));
}

} // namespace goldcrestcleat::admission
