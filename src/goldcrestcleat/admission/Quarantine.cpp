#include "goldcrestcleat/admission/Quarantine.h"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace goldcrestcleat::admission {

namespace {

    // Of a fingerprint whose ban was lifted by probes and that has none left: two crashes.
    constexpr int REPEATED_BAN_SCORE = 2 * CrashEvidence::CRASH_WEIGHT;

} // namespace

Quarantine::Quarantine(std::string self, UnixClock clock)
    : self_(std::move(self))
    , clock_(std::move(clock))
{
}

Quarantine::UnixClock Quarantine::systemClock()
{
    return [] {
        const auto now = std::chrono::system_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    };
}

/// Fingerprints that were answered recently are dropped first; the order of the others is the same at all daemons.
void Quarantine::limitSuspects(CrashReport& report) const
{
    auto& suspects = report.suspects;
    std::sort(suspects.begin(), suspects.end());
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    std::stable_sort(suspects.begin(), suspects.end(),
        [this](Fingerprint a, Fingerprint b) { return recentAnswers_.count(a) < recentAnswers_.count(b); });
    suspects.resize(std::min(suspects.size(), CrashEvidence::MAX_SUSPECTS));
}

void Quarantine::recordCrash(const CrashReport& report, loop::TimeMs now)
{
    evidence_.addCrash(
        report, [this](Fingerprint fingerprint) { return isBanned(fingerprint); }, now);
    queueEarlierAnswers(report, now);
}

/// The suspects with the highest score, and of these the ones with the most crashes, explain the crashes best. Equal
/// ones can't be told apart.
std::vector<Verdict> Quarantine::reviewCrash(std::uint64_t crashId, loop::TimeMs now)
{
    std::vector<Fingerprint> culprits;
    std::pair<int, std::size_t> highest;
    for (const Fingerprint suspect : evidence_.suspectsOf(crashId)) {
        const auto* record = evidence_.find(suspect, now);
        if (!record || !mustBeBanned(suspect, *record, now))
            continue;
        const auto weight = std::make_pair(record->score, record->charges.size());
        if (weight > highest)
            culprits.clear();
        if (weight >= highest)
            culprits.push_back(suspect);
        highest = std::max(highest, weight);
    }
    std::vector<Verdict> bans;
    for (const Fingerprint culprit : culprits)
        bans.push_back(ban(culprit, now));
    if (!culprits.empty())
        evidence_.attribute(culprits);
    return bans;
}

void Quarantine::recordAnswer(const std::vector<Fingerprint>& fingerprints, loop::TimeMs now)
{
    for (const Fingerprint fingerprint : fingerprints) {
        recentAnswers_.add(fingerprint, now);
        if (evidence_.find(fingerprint, now))
            ++unreported_[fingerprint];
    }
}

std::vector<AnswerCount> Quarantine::takeUnreportedAnswers(loop::TimeMs now)
{
    std::vector<AnswerCount> answers;
    for (const auto& [fingerprint, count] : std::exchange(unreported_, {})) {
        const auto* record = evidence_.find(fingerprint, now);
        if (record && record->score > CrashEvidence::MIN_SCORE)
            answers.push_back({ fingerprint, count });
    }
    recordPeerAnswers(answers);
    return answers;
}

void Quarantine::recordPeerAnswers(const std::vector<AnswerCount>& answers)
{
    for (const auto& [fingerprint, count] : answers)
        evidence_.addAnswers(fingerprint, count);
}

bool Quarantine::isSuspect(const std::vector<Fingerprint>& fingerprints, loop::TimeMs now) const
{
    return std::any_of(fingerprints.begin(), fingerprints.end(), [&](Fingerprint fingerprint) {
        const auto* record = evidence_.find(fingerprint, now);
        return record && record->score > 0;
    });
}

const Verdict* Quarantine::findBan(const std::vector<Fingerprint>& fingerprints) const
{
    if (verdicts_.empty())
        return nullptr;
    for (const Fingerprint fingerprint : fingerprints) {
        if (isBanned(fingerprint))
            return find(fingerprint);
    }
    return nullptr;
}

const Verdict* Quarantine::find(Fingerprint fingerprint) const
{
    const auto found = verdicts_.find(fingerprint);
    return found == verdicts_.end() ? nullptr : &found->second;
}

bool Quarantine::apply(const Verdict& verdict)
{
    const Verdict* known = find(verdict.fingerprint);
    if (known && known->revision >= verdict.revision)
        return false;
    put(verdict);
    if (verdict.isBanned)
        evidence_.attribute({ verdict.fingerprint });
    else
        evidence_.forget(verdict.fingerprint);
    return true;
}

bool Quarantine::isProbeDue(const Verdict& ban) const
{
    const std::int64_t sinceMs = clock_() - ban.changedAtMs;
    return ban.isBanned && !ban.isConfirmed && ban.probes < MAX_PROBES && sinceMs >= PROBE_INTERVAL_MS;
}

Verdict Quarantine::withProbe(const Verdict& ban) const
{
    Verdict next = ban;
    ++next.revision;
    ++next.probes;
    next.changedAtMs = clock_();
    next.changedBy = self_;
    return next;
}

Verdict Quarantine::withAnsweredProbe(const Verdict& ban) const
{
    Verdict next = ban;
    ++next.revision;
    ++next.answeredProbes;
    next.isBanned = next.answeredProbes < MAX_PROBES;
    next.changedBy = self_;
    return next;
}

Verdict Quarantine::withCrashedProbe(const Verdict& ban) const
{
    Verdict next = ban;
    ++next.revision;
    next.isConfirmed = true;
    next.changedBy = self_;
    return next;
}

Verdict Quarantine::withLift(const Verdict& ban, const std::string& operatorName)
{
    Verdict next = ban;
    ++next.revision;
    next.isBanned = false;
    next.isConfirmed = false;
    next.answeredProbes = 0;
    next.changedBy = operatorName;
    return next;
}

std::vector<Verdict> Quarantine::verdicts() const
{
    std::vector<Verdict> all;
    for (const auto& [fingerprint, verdict] : verdicts_)
        all.push_back(verdict);
    return all;
}

std::size_t Quarantine::banCount() const
{
    return static_cast<std::size_t>(
        std::count_if(verdicts_.begin(), verdicts_.end(), [](const auto& entry) { return entry.second.isBanned; }));
}

// ---- private ----

bool Quarantine::isBanned(Fingerprint fingerprint) const
{
    const Verdict* verdict = find(fingerprint);
    return verdict && verdict->isBanned;
}

bool Quarantine::mustBeBanned(Fingerprint fingerprint, const CrashEvidence::Record& record, loop::TimeMs now) const
{
    const Verdict* lifted = find(fingerprint);
    const bool hasProbesLeft = !lifted || lifted->answeredProbes < MAX_PROBES;
    const int threshold = hasProbesLeft ? CrashEvidence::BAN_SCORE : REPEATED_BAN_SCORE;
    const auto unreported = unreported_.find(fingerprint);
    const int answers = unreported == unreported_.end() ? 0 : unreported->second;
    const bool isHeard = now - record.knownSince >= HEARING_MS;
    return isHeard && record.score - CrashEvidence::ANSWER_WEIGHT * answers >= threshold;
}

Verdict Quarantine::ban(Fingerprint fingerprint, loop::TimeMs now)
{
    const Verdict* earlier = find(fingerprint);
    Verdict verdict = earlier ? *earlier : Verdict();
    verdict.fingerprint = fingerprint;
    ++verdict.revision;
    verdict.isBanned = true;
    verdict.changedBy = self_;
    verdict.changedAtMs = clock_();
    if (const auto* record = evidence_.find(fingerprint, now)) {
        verdict.crashes = static_cast<int>(record->charges.size());
        verdict.answers = record->answers;
        verdict.reporters.assign(record->reporters.begin(), record->reporters.end());
    }
    put(verdict);
    return verdict;
}

void Quarantine::put(const Verdict& verdict)
{
    if (verdicts_.size() >= MAX_VERDICTS && verdicts_.count(verdict.fingerprint) == 0) {
        verdicts_.erase(std::min_element(verdicts_.begin(), verdicts_.end(), [](const auto& a, const auto& b) {
            return std::make_pair(a.second.isBanned, a.second.changedAtMs)
                < std::make_pair(b.second.isBanned, b.second.changedAtMs);
        }));
    }
    verdicts_[verdict.fingerprint] = verdict;
    assert(verdicts_.size() <= MAX_VERDICTS);
}

/// The peers do not know of answers to requests with a fingerprint before its first crash.
void Quarantine::queueEarlierAnswers(const CrashReport& report, loop::TimeMs now)
{
    for (const Fingerprint suspect : report.suspects) {
        const int count = recentAnswers_.count(suspect);
        const auto* record = evidence_.find(suspect, now);
        if (count > 0 && record && record->charges.size() == 1 && record->answers == 0)
            unreported_[suspect] = std::max(unreported_[suspect], count);
    }
}

} // namespace goldcrestcleat::admission
