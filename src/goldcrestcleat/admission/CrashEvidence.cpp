#include "goldcrestcleat/admission/CrashEvidence.h"

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::admission {

namespace {

    constexpr std::size_t MAX_CHARGES = 32; // kept for one fingerprint
    constexpr std::size_t MAX_REPORTERS = 8; // named for one fingerprint

    template <typename Container, typename Value> bool contains(const Container& container, const Value& value)
    {
        return std::find(container.begin(), container.end(), value) != container.end();
    }

    loop::TimeMs occurredAt(const CrashReport& report, loop::TimeMs now)
    {
        return now - std::clamp<loop::TimeMs>(report.ageMs, 0, CrashEvidence::RETENTION_MS);
    }

} // namespace

void CrashEvidence::addCrash(
    const CrashReport& report, const std::function<bool(Fingerprint)>& isCulprit, loop::TimeMs now)
{
    Crash* known = findCrash(report.crashId);
    if (!known && occurredAt(report, now) <= forgottenUntil_)
        return; // counted before it was forgotten
    Crash& crash = known ? *known : addNewCrash(report, now);
    if (crash.isExplained || report.stage > crash.report.stage)
        return;
    auto& suspects = crash.report.suspects;
    if (report.stage < crash.report.stage) { // another daemon had a more suspicious run there
        for (const Fingerprint earlier : suspects)
            withdraw(earlier, report.crashId);
        suspects.clear();
        crash.report.stage = report.stage;
    }
    crash.isExplained = std::any_of(report.suspects.begin(), report.suspects.end(), isCulprit);
    std::vector<Fingerprint> added;
    for (const Fingerprint suspect : report.suspects) {
        if (suspects.size() >= MAX_SUSPECTS || contains(suspects, suspect))
            continue;
        suspects.push_back(suspect);
        added.push_back(suspect);
    }
    for (const Fingerprint suspect : added) {
        if (!crash.isExplained || isCulprit(suspect))
            charge(suspect, crash, report, now);
    }
    if (!crash.isExplained)
        return;
    for (const Fingerprint suspect : suspects) {
        if (!isCulprit(suspect))
            withdraw(suspect, report.crashId);
    }
}

bool CrashEvidence::isRelevant(const CrashReport& report) const
{
    const auto known = std::find_if(
        crashes_.begin(), crashes_.end(), [&](const Crash& crash) { return crash.report.crashId == report.crashId; });
    return known == crashes_.end() || (!known->isExplained && report.stage <= known->report.stage);
}

std::vector<Fingerprint> CrashEvidence::suspectsOf(std::uint64_t crashId) const
{
    const auto crash = std::find_if(
        crashes_.begin(), crashes_.end(), [crashId](const Crash& c) { return c.report.crashId == crashId; });
    if (crash == crashes_.end() || crash->isExplained)
        return {};
    return crash->report.suspects;
}

void CrashEvidence::addAnswers(Fingerprint fingerprint, int count)
{
    const auto record = records_.find(fingerprint);
    if (record == records_.end() || count <= 0)
        return;
    record->second.answers += count;
    const int maxFall = record->second.score - MIN_SCORE; // bounds the product for any count of a peer
    record->second.score -= ANSWER_WEIGHT * std::min(count, maxFall);
    assert(record->second.score >= MIN_SCORE);
}

void CrashEvidence::attribute(const std::vector<Fingerprint>& culprits)
{
    for (auto& crash : crashes_) {
        const auto isCulprit = [&](Fingerprint fingerprint) { return contains(culprits, fingerprint); };
        const auto& suspects = crash.report.suspects;
        if (std::none_of(suspects.begin(), suspects.end(), isCulprit))
            continue;
        crash.isExplained = true;
        for (const Fingerprint suspect : suspects) {
            if (!isCulprit(suspect))
                withdraw(suspect, crash.report.crashId);
        }
    }
}

const CrashEvidence::Record* CrashEvidence::find(Fingerprint fingerprint, loop::TimeMs now) const
{
    const auto record = records_.find(fingerprint);
    const bool isKnown = record != records_.end() && now - record->second.lastCrashAt <= RETENTION_MS;
    return isKnown ? &record->second : nullptr;
}

std::vector<CrashReport> CrashEvidence::recentCrashes(loop::TimeMs now) const
{
    std::vector<CrashReport> reports;
    for (const auto& crash : crashes_) {
        if (now - crash.at > RETENTION_MS)
            continue;
        reports.push_back(crash.report);
        reports.back().ageMs = now - crash.at;
    }
    return reports;
}

// ---- private ----

CrashEvidence::Crash* CrashEvidence::findCrash(std::uint64_t crashId)
{
    const auto found = std::find_if(
        crashes_.rbegin(), crashes_.rend(), [crashId](const Crash& crash) { return crash.report.crashId == crashId; });
    return found == crashes_.rend() ? nullptr : &*found;
}

CrashEvidence::Crash& CrashEvidence::addNewCrash(const CrashReport& report, loop::TimeMs now)
{
    if (crashes_.size() >= MAX_CRASHES) {
        forgottenUntil_ = std::max(forgottenUntil_, crashes_.front().at);
        crashes_.pop_front();
    }
    Crash crash;
    crash.report = report;
    crash.report.suspects.clear();
    crash.at = occurredAt(report, now);
    crashes_.push_back(std::move(crash));
    return crashes_.back();
}

bool CrashEvidence::mayHaveCommonCause(const Record& record, const Crash& crash) const
{
    if (record.charges.empty() || std::abs(crash.at - record.lastCrashAt) > COMMON_CAUSE_MS)
        return false;
    const std::uint64_t earlierId = record.charges.back().crashId;
    const auto earlier
        = std::find_if(crashes_.begin(), crashes_.end(), [&](const Crash& c) { return c.report.crashId == earlierId; });
    if (earlier == crashes_.end())
        return true;
    const auto& suspects = crash.report.suspects;
    return std::none_of(suspects.begin(), suspects.end(),
        [&](Fingerprint suspect) { return !isPart(suspect) && contains(earlier->report.suspects, suspect); });
}

int CrashEvidence::weightOf(Fingerprint fingerprint, const Crash& crash, const CrashReport& report) const
{
    const bool isUncertain = isPart(fingerprint) && (report.stage != RunStage::Begun || hasEndedBefore(crash));
    return (isUncertain ? UNCERTAIN_CRASH_WEIGHT : CRASH_WEIGHT) * (report.isIsolated ? ISOLATION_FACTOR : 1);
}

/// Returns whether the server had ended a short time before. Requests that share a part tend to use the same servers,
/// and one of these may be faulty.
bool CrashEvidence::hasEndedBefore(const Crash& crash) const
{
    return std::any_of(crashes_.begin(), crashes_.end(), [&](const Crash& earlier) {
        const bool isSameHost = earlier.report.host == crash.report.host && &earlier != &crash;
        return isSameHost && earlier.at <= crash.at && crash.at - earlier.at < REPETITION_MS;
    });
}

void CrashEvidence::charge(Fingerprint fingerprint, const Crash& crash, const CrashReport& report, loop::TimeMs now)
{
    if (records_.count(fingerprint) == 0)
        makeRoom(now);
    Record& record = records_[fingerprint];
    if (!record.charges.empty() && crash.at - record.lastCrashAt > RETENTION_MS)
        record = {};
    if (record.charges.empty())
        record.knownSince = now;
    const bool isNewCause = !mayHaveCommonCause(record, crash);
    record.charges.push_back({ crash.report.crashId, isNewCause ? weightOf(fingerprint, crash, report) : 0 });
    record.score += record.charges.back().weight;
    if (isNewCause)
        record.lastCrashAt = std::max(record.lastCrashAt, crash.at);
    if (record.charges.size() > MAX_CHARGES)
        record.charges.erase(record.charges.begin());
    if (record.reporters.size() < MAX_REPORTERS)
        record.reporters.insert(report.reporter);
}

void CrashEvidence::withdraw(Fingerprint fingerprint, std::uint64_t crashId)
{
    const auto found = records_.find(fingerprint);
    if (found == records_.end())
        return;
    Record& record = found->second;
    const auto charge = std::find_if(
        record.charges.begin(), record.charges.end(), [crashId](const Charge& c) { return c.crashId == crashId; });
    if (charge == record.charges.end())
        return;
    record.score = std::max(MIN_SCORE, record.score - charge->weight);
    record.charges.erase(charge);
    if (record.charges.empty())
        records_.erase(found);
}

void CrashEvidence::makeRoom(loop::TimeMs now)
{
    if (records_.size() < MAX_FINGERPRINTS)
        return;
    for (auto it = records_.begin(); it != records_.end();)
        it = now - it->second.lastCrashAt > RETENTION_MS ? records_.erase(it) : std::next(it);
    while (records_.size() >= MAX_FINGERPRINTS) {
        records_.erase(std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
            return std::make_pair(a.second.score, a.second.lastCrashAt)
                < std::make_pair(b.second.score, b.second.lastCrashAt);
        }));
    }
    assert(records_.size() < MAX_FINGERPRINTS);
}

} // namespace goldcrestcleat::admission
