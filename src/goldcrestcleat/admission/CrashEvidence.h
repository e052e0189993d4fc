#pragma once

#include "goldcrestcleat/admission/CrashReport.h"

#include <deque>
#include <functional>
#include <limits>
#include <set>
#include <unordered_map>

namespace goldcrestcleat::admission {

/// Weighs crashes of servers against answers, for each fingerprint that was present at a crash.
///
/// Each fingerprint has a score (a cumulative sum test). It rises with each crash at which a request with the
/// fingerprint was among the most suspicious ones, and falls with each answer to such a request. Parts that many sound
/// requests share therefore never accumulate a score, while a fingerprint that crashes every server reaches the
/// threshold at the third crash.
///
/// All daemons of a fleet add the same crashes and answers, in any order and more than once.
class CrashEvidence {
public:
    static constexpr int CRASH_WEIGHT = 6;
    static constexpr int UNCERTAIN_CRASH_WEIGHT = 4; ///< for parts, if there may well be another cause
    static constexpr int ISOLATION_FACTOR = 2; ///< applied to the weight if no other suspect ran there
    static constexpr int ANSWER_WEIGHT = 1;
    static constexpr int BAN_SCORE = 18;

    /// The lowest score. Answers before a crash delay a ban by at most two crashes.
    static constexpr int MIN_SCORE = -6;

    /// Crashes at most this far apart count once for a fingerprint, since they may have one cause that is none of the
    /// requests, such as a loss of power. They count separately if one content was present at both: it was sent again
    /// after the first.
    static constexpr loop::TimeMs COMMON_CAUSE_MS = 100;

    static constexpr loop::TimeMs REPETITION_MS = 60'000; ///< between two ends of a server that may be faulty

    static constexpr loop::TimeMs RETENTION_MS = 600'000; ///< evidence expires this long after the last crash
    static constexpr std::size_t MAX_FINGERPRINTS = 10'000; ///< those with the lowest scores are forgotten first
    static constexpr std::size_t MAX_CRASHES = 256; ///< the oldest are forgotten first
    static constexpr std::size_t MAX_SUSPECTS = 256; ///< fingerprints considered for one crash

    /// A crash as it was counted for a fingerprint.
    struct Charge {
        std::uint64_t crashId = 0;
        int weight = 0; ///< 0 if it was taken for one with an earlier crash
    };

    struct Record {
        int score = 0;
        int answers = 0; ///< counted so far
        std::vector<Charge> charges;
        std::set<std::string> reporters; ///< daemons that reported the crashes
        loop::TimeMs knownSince = 0; ///< when the first of the crashes became known
        loop::TimeMs lastCrashAt = 0;
    };

    /// Adds a report. A fingerprint for which `isCulprit` holds explains the crash, which then counts for no other.
    /// Complexity: O(suspects^2), of which there are at most MAX_SUSPECTS.
    void addCrash(const CrashReport& report, const std::function<bool(Fingerprint)>& isCulprit, loop::TimeMs now);

    /// Returns true if a report can still change the suspects of its crash: no ban explains it, and no run at a more
    /// suspicious stage is known.
    bool isRelevant(const CrashReport& report) const;

    /// Returns the suspects of a crash that nothing explains yet.
    std::vector<Fingerprint> suspectsOf(std::uint64_t crashId) const;

    /// Adds answers to requests with a fingerprint, if it was present at a crash.
    void addAnswers(Fingerprint fingerprint, int count);

    /// Attributes all crashes at which the culprits were present to them: they no longer count for other fingerprints.
    void attribute(const std::vector<Fingerprint>& culprits);

    /// Removes all evidence on a fingerprint.
    void forget(Fingerprint fingerprint) { records_.erase(fingerprint); }

    /// Returns the record of a fingerprint that was present at a crash, or null.
    const Record* find(Fingerprint fingerprint, loop::TimeMs now) const;

    /// Returns the reports that have not expired, merged by crash.
    std::vector<CrashReport> recentCrashes(loop::TimeMs now) const;

    std::size_t size() const { return records_.size(); }

private:
    struct Crash {
        CrashReport report;
        loop::TimeMs at = 0;
        bool isExplained = false;
    };

    Crash* findCrash(std::uint64_t crashId);
    Crash& addNewCrash(const CrashReport& report, loop::TimeMs now);
    bool mayHaveCommonCause(const Record& record, const Crash& crash) const;
    bool hasEndedBefore(const Crash& crash) const;
    int weightOf(Fingerprint fingerprint, const Crash& crash, const CrashReport& report) const;
    void charge(Fingerprint fingerprint, const Crash& crash, const CrashReport& report, loop::TimeMs now);
    void withdraw(Fingerprint fingerprint, std::uint64_t crashId);
    void makeRoom(loop::TimeMs now);

    std::unordered_map<Fingerprint, Record> records_;
    std::deque<Crash> crashes_; // in the order in which they became known
    loop::TimeMs forgottenUntil_ = std::numeric_limits<loop::TimeMs>::min(); // time of the newest forgotten crash
};

} // namespace goldcrestcleat::admission
