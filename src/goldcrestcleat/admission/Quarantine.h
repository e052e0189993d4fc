#pragma once

#include "goldcrestcleat/admission/CrashEvidence.h"
#include "goldcrestcleat/admission/RecentAnswers.h"
#include "goldcrestcleat/admission/Verdict.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::admission {

/// Answers to requests with a fingerprint.
struct AnswerCount {
    Fingerprint fingerprint = 0;
    int count = 0;

    friend bool operator==(const AnswerCount& a, const AnswerCount& b)
    {
        return a.fingerprint == b.fingerprint && a.count == b.count;
    }
};

/// Decides which requests are refused because they crash servers: by their content or by a part of their prompt.
///
/// A ban does not expire. It ends when an operator lifts it, or when MAX_PROBES requests that were sent as probes, far
/// apart, have all been answered. A probe that crashes its server ends the probing.
class Quarantine {
public:
    static constexpr int MAX_PROBES = 3; ///< over the life of a fingerprint
    static constexpr loop::TimeMs PROBE_INTERVAL_MS = 60'000; ///< from a ban to its first probe, and between probes
    static constexpr loop::TimeMs HEARING_MS
        = 120; ///< from the report of the first crash on, in which the answers of peers arrive
    static constexpr std::size_t MAX_VERDICTS = 1'000; ///< lifted ones, then the oldest are forgotten first

    using UnixClock = std::function<std::int64_t()>; ///< returns the Unix time in ms

    /// `self` names this daemon in verdicts.
    explicit Quarantine(std::string self = "", UnixClock clock = systemClock());

    /// Limits a report of this daemon to the fingerprints that are most likely to be the cause.
    void limitSuspects(CrashReport& report) const;

    /// Adds a report of this daemon or a peer.
    void recordCrash(const CrashReport& report, loop::TimeMs now);

    /// Bans the suspects of a crash that have reached the threshold, and returns these bans. A suspect whose hearing is
    /// not over is banned by a later review only.
    std::vector<Verdict> reviewCrash(std::uint64_t crashId, loop::TimeMs now);

    /// Records that a server survived the beginning of its answer to a request of this daemon.
    void recordAnswer(const std::vector<Fingerprint>& fingerprints, loop::TimeMs now);

    /// Returns true if answers were recorded that the peers need to know.
    bool hasUnreportedAnswers() const { return !unreported_.empty(); }

    /// Returns the answers of this daemon that still matter, and counts them here as the peers will.
    std::vector<AnswerCount> takeUnreportedAnswers(loop::TimeMs now);

    void recordPeerAnswers(const std::vector<AnswerCount>& answers);

    /// Returns true if one of the fingerprints was present at a recent crash and is not cleared by answers.
    bool isSuspect(const std::vector<Fingerprint>& fingerprints, loop::TimeMs now) const;

    /// Returns the ban that applies to a request with these fingerprints, or null. Complexity: O(fingerprints).
    const Verdict* findBan(const std::vector<Fingerprint>& fingerprints) const;

    /// Returns the verdict on a fingerprint, or null.
    const Verdict* find(Fingerprint fingerprint) const;

    /// Applies a verdict from a peer or the store if it is newer; returns whether it was.
    bool apply(const Verdict& verdict);

    /// Returns true if a ban may be probed now.
    bool isProbeDue(const Verdict& ban) const;

    /// Return the next revision of a ban: a probe is being sent, was answered or crashed its server. The last answered
    /// probe lifts the ban.
    Verdict withProbe(const Verdict& ban) const;
    Verdict withAnsweredProbe(const Verdict& ban) const;
    Verdict withCrashedProbe(const Verdict& ban) const;

    /// Returns the next revision of a ban that an operator lifts. Probes that were sent still count.
    static Verdict withLift(const Verdict& ban, const std::string& operatorName);

    std::vector<Verdict> verdicts() const;
    std::size_t banCount() const;

    const CrashEvidence& evidence() const { return evidence_; }

    static UnixClock systemClock();

private:
    bool isBanned(Fingerprint fingerprint) const;
    Verdict ban(Fingerprint fingerprint, loop::TimeMs now);
    bool mustBeBanned(Fingerprint fingerprint, const CrashEvidence::Record& record, loop::TimeMs now) const;
    void put(const Verdict& verdict);
    void queueEarlierAnswers(const CrashReport& report, loop::TimeMs now);

    std::string self_;
    UnixClock clock_;
    CrashEvidence evidence_;
    RecentAnswers recentAnswers_;
    std::map<Fingerprint, int> unreported_; // answers of this daemon to requests with suspected fingerprints
    std::map<Fingerprint, Verdict> verdicts_;
};

} // namespace goldcrestcleat::admission
