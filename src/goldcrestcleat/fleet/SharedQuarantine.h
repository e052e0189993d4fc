#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/admission/QuarantineHooks.h"
#include "goldcrestcleat/fleet/PeerMessages.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/observe/Metrics.h"

#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// How saving a verdict ended.
enum class SaveOutcome {
    Saved,
    Superseded, ///< the store holds this revision or a higher one
    Failed ///< not known to be saved; it may be saved later
};

/// Exchanges crashes, answers and verdicts of the quarantine with the other daemons, and saves verdicts.
///
/// Crashes and verdicts are broadcast immediately. Answers are broadcast only while they matter: after a random delay,
/// and not if those that other daemons have reported meanwhile already clear the fingerprint.
class SharedQuarantine {
public:
    struct Hooks {
        std::function<void(const PeerMessage&)> broadcast;

        /// Saves a verdict if the stored revision is the one before it; 0 stands for no stored verdict.
        std::function<void(const admission::Verdict&, std::function<void(SaveOutcome)>)> save;

        /// Reads the stored verdicts and passes them to `load`. Called only while there are bans.
        std::function<void()> readSaved;

        /// Returns true if this daemon saves verdicts that other daemons have reached but may not have saved.
        std::function<bool()> savesForOthers;

        std::function<void(admission::Fingerprint)> onBan; ///< open requests may have to be cancelled
        std::function<void(const admission::Verdict&)> onVerdict {}; ///< a verdict is new or has changed; may be unset
    };

    static constexpr loop::TimeMs MAX_ANSWER_DELAY_MS = 80;
    static constexpr loop::TimeMs SAVE_RETRY_MS = 500;
    static constexpr loop::TimeMs READ_INTERVAL_MS = 10'000; ///< in which changes by operators take effect

    SharedQuarantine(loop::EventLoop& loop, const observe::Log& log, admission::Quarantine& quarantine,
        std::string self, Hooks hooks);

    /// Returns the hooks for the requests of this daemon; they refer to this object.
    admission::QuarantineHooks requestHooks();

    /// Starts to save and to read verdicts periodically.
    void start();

    /// Records a crash that this daemon observed and reports it to the peers.
    void reportCrash(admission::CrashReport report);

    /// Records that a server survived the beginning of its answer to a request.
    void recordAnswer(const std::vector<admission::Fingerprint>& fingerprints);

    /// Handles a message of a peer; returns false if it does not concern the quarantine.
    bool onMessage(const PeerMessage& message);

    /// Returns the messages that inform a peer whose link has opened.
    std::vector<PeerMessage> currentState() const;

    /// Applies verdicts that were read from the store.
    void load(const std::vector<admission::Verdict>& saved);

    /// Claims the next probe of a ban. Reports true if this daemon may send one request that the ban applies to.
    void claimProbe(admission::Fingerprint fingerprint, std::function<void(bool isClaimed)> onDone);

    /// Records that a probe was answered.
    void onProbeAnswered(admission::Fingerprint fingerprint);

private:
    void onReport(const admission::CrashReport& report, bool isOwnReport);
    void broadcastReport(const admission::CrashReport& report);
    void onBans(const std::vector<admission::Verdict>& bans, bool isOwnReport);
    void applyOwnChange(const admission::Verdict& verdict);
    void applyReceived(const admission::Verdict& verdict, const char* source);
    void scheduleAnswers();
    void sendAnswers();
    void saveLater(admission::Fingerprint fingerprint, loop::TimeMs delayMs);
    void save(admission::Fingerprint fingerprint);
    void publish(const char* event, const admission::Verdict& verdict, const char* source) const;

    loop::EventLoop& loop_;
    const observe::Log& log_;
    admission::Quarantine& quarantine_;
    const std::string self_;
    Hooks hooks_;
    std::mt19937_64 random_;
    std::set<admission::Fingerprint> beingSaved_;
    std::set<admission::Fingerprint> ownProbes_; // probes of this daemon that are not answered yet
    loop::TimeMs nextClaimAt_ = 0;
    bool sendsAnswers_ = false; // the timer is armed
};

/// Sets or removes the gauges of a verdict's fingerprint.
void showVerdict(observe::Metrics& metrics, const admission::Verdict& verdict);

} // namespace goldcrestcleat::fleet
