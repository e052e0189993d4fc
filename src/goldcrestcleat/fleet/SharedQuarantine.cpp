#include "goldcrestcleat/fleet/SharedQuarantine.h"

#include "goldcrestcleat/routing/Keys.h"

#include <algorithm>

namespace goldcrestcleat::fleet {

using admission::CrashReport;
using admission::Fingerprint;
using admission::Verdict;

namespace {

    // Time after which a daemon that saves for others checks whether a verdict was saved by the one that reached it.
    constexpr loop::TimeMs SAVE_FOR_OTHERS_MS = 2'000;

    constexpr loop::TimeMs CLAIM_INTERVAL_MS = 5'000; // between attempts to claim a probe while the store is away

    constexpr loop::TimeMs MIN_REPORT_DELAY_MS = 20; // the longest delay ends well within a suspect's hearing

    constexpr std::size_t MAX_LOGGED_SUSPECTS = 16; // limits the length of a log line

} // namespace

SharedQuarantine::SharedQuarantine(
    loop::EventLoop& loop, const observe::Log& log, admission::Quarantine& quarantine, std::string self, Hooks hooks)
    : loop_(loop)
    , log_(log)
    , quarantine_(quarantine)
    , self_(std::move(self))
    , hooks_(std::move(hooks))
    , random_(routing::nodeKey(self_))
{
}

admission::QuarantineHooks SharedQuarantine::requestHooks()
{
    return { [this](const std::vector<Fingerprint>& fingerprints) { recordAnswer(fingerprints); },
        [this](Fingerprint fingerprint, const std::function<void(bool)>& onDone) { claimProbe(fingerprint, onDone); },
        [this](Fingerprint fingerprint) { onProbeAnswered(fingerprint); } };
}

void SharedQuarantine::start()
{
    loop_.every(READ_INTERVAL_MS, [this] {
        if (quarantine_.banCount() > 0 && hooks_.savesForOthers())
            hooks_.readSaved();
    });
}

void SharedQuarantine::reportCrash(CrashReport report)
{
    report.reporter = self_;
    quarantine_.limitSuspects(report);
    std::vector<std::string> suspects;
    for (std::size_t i = 0; i < report.suspects.size() && i < MAX_LOGGED_SUSPECTS; ++i)
        suspects.push_back(admission::toHex(report.suspects[i]));
    log_.infoRateLimited("server-crashed",
        { { "crash", admission::toHex(report.crashId) }, { "stage", static_cast<int>(report.stage) },
            { "ageMs", report.ageMs }, { "suspects", suspects }, { "suspectCount", report.suspects.size() } });
    onReport(report, true);
    broadcastReport(report);
    for (const Fingerprint probe : std::set<Fingerprint>(ownProbes_)) {
        const bool isSuspect
            = std::find(report.suspects.begin(), report.suspects.end(), probe) != report.suspects.end();
        const Verdict* ban = quarantine_.find(probe);
        if (isSuspect && ban && ban->isBanned) {
            ownProbes_.erase(probe);
            applyOwnChange(quarantine_.withCrashedProbe(*ban));
        }
    }
    scheduleAnswers();
}

void SharedQuarantine::recordAnswer(const std::vector<Fingerprint>& fingerprints)
{
    quarantine_.recordAnswer(fingerprints, loop_.now());
    scheduleAnswers();
}

bool SharedQuarantine::onMessage(const PeerMessage& message)
{
    if (const auto* crashes = std::get_if<CrashReports>(&message)) {
        for (const auto& report : crashes->reports)
            onReport(report, false);
        scheduleAnswers();
    } else if (const auto* answers = std::get_if<SuspectAnswers>(&message)) {
        quarantine_.recordPeerAnswers(answers->answers);
    } else if (const auto* verdicts = std::get_if<Verdicts>(&message)) {
        for (const auto& verdict : verdicts->verdicts)
            applyReceived(verdict, "peer");
    } else {
        return false;
    }
    return true;
}

/// Earlier crashes are left out, since the peer has not received the answers that count against them.
std::vector<PeerMessage> SharedQuarantine::currentState() const
{
    const auto verdicts = quarantine_.verdicts();
    return verdicts.empty() ? std::vector<PeerMessage>() : std::vector<PeerMessage> { Verdicts { verdicts } };
}

void SharedQuarantine::load(const std::vector<Verdict>& saved)
{
    for (const auto& verdict : saved) {
        const Verdict* known = quarantine_.find(verdict.fingerprint);
        if (known && known->revision >= verdict.revision)
            continue;
        applyReceived(verdict, "store");
        hooks_.broadcast(Verdicts { { verdict } });
    }
}

void SharedQuarantine::claimProbe(Fingerprint fingerprint, std::function<void(bool isClaimed)> onDone)
{
    const Verdict* ban = quarantine_.find(fingerprint);
    const bool mayClaim = ban && quarantine_.isProbeDue(*ban) && loop_.now() >= nextClaimAt_;
    if (!mayClaim || !beingSaved_.insert(fingerprint).second) {
        onDone(false);
        return;
    }
    const Verdict next = quarantine_.withProbe(*ban);
    hooks_.save(next, [this, next, onDone = std::move(onDone)](SaveOutcome outcome) {
        beingSaved_.erase(next.fingerprint);
        if (outcome == SaveOutcome::Failed)
            nextClaimAt_ = loop_.now() + CLAIM_INTERVAL_MS;
        if (outcome == SaveOutcome::Superseded)
            hooks_.readSaved(); // another daemon has claimed it, or an operator has lifted the ban
        if (outcome == SaveOutcome::Saved) {
            quarantine_.apply(next);
            ownProbes_.insert(next.fingerprint);
            hooks_.broadcast(Verdicts { { next } });
            publish("quarantine-probe", next, "self");
        }
        onDone(outcome == SaveOutcome::Saved);
    });
}

void SharedQuarantine::onProbeAnswered(Fingerprint fingerprint)
{
    const Verdict* ban = quarantine_.find(fingerprint);
    if (ownProbes_.erase(fingerprint) > 0 && ban && ban->isBanned)
        applyOwnChange(quarantine_.withAnsweredProbe(*ban));
}

// ---- private ----

/// Reviews the crash at once if no other daemon can report a more suspicious run on the same server, and again when the
/// reports and answers of the other daemons have arrived.
void SharedQuarantine::onReport(const CrashReport& report, bool isOwnReport)
{
    quarantine_.recordCrash(report, loop_.now());
    const auto review = [this, crashId = report.crashId, isOwnReport] {
        onBans(quarantine_.reviewCrash(crashId, loop_.now()), isOwnReport);
    };
    if (report.stage == admission::RunStage::Begun || report.isIsolated)
        review();
    loop_.after(admission::Quarantine::HEARING_MS, review);
}

/// The less suspicious the runs of this daemon, the later it reports them, and not at all if those of other daemons
/// have settled the crash meanwhile: all daemons have requests on a server, but few of them may have crashed it.
void SharedQuarantine::broadcastReport(const CrashReport& report)
{
    if (report.stage == admission::RunStage::Begun) {
        hooks_.broadcast(CrashReports { { report } });
        return;
    }
    const bool isWaiting = report.stage == admission::RunStage::Waiting;
    const auto delayMs = isWaiting
        ? std::uniform_int_distribution<loop::TimeMs>(MIN_REPORT_DELAY_MS, MIN_REPORT_DELAY_MS * 2)(random_)
        : std::uniform_int_distribution<loop::TimeMs>(MIN_REPORT_DELAY_MS * 2, MIN_REPORT_DELAY_MS * 4)(random_);
    loop_.after(delayMs, [this, delayMs, delayed = report]() mutable {
        if (!quarantine_.evidence().isRelevant(delayed))
            return;
        delayed.ageMs += delayMs;
        hooks_.broadcast(CrashReports { { delayed } });
    });
}

void SharedQuarantine::onBans(const std::vector<Verdict>& bans, bool isOwnReport)
{
    for (const auto& ban : bans) {
        publish("quarantined", ban, isOwnReport ? "self" : "reports");
        hooks_.onBan(ban.fingerprint);
        if (isOwnReport) {
            hooks_.broadcast(Verdicts { { ban } });
            save(ban.fingerprint);
        } else if (hooks_.savesForOthers()) {
            saveLater(ban.fingerprint, SAVE_FOR_OTHERS_MS);
        }
    }
}

void SharedQuarantine::applyOwnChange(const Verdict& verdict)
{
    quarantine_.apply(verdict);
    publish(verdict.isBanned ? "quarantined" : "quarantine-lifted", verdict, "self");
    hooks_.broadcast(Verdicts { { verdict } });
    save(verdict.fingerprint);
}

void SharedQuarantine::applyReceived(const Verdict& verdict, const char* source)
{
    if (!quarantine_.apply(verdict))
        return;
    publish(verdict.isBanned ? "quarantined" : "quarantine-lifted", verdict, source);
    if (!verdict.isBanned)
        return;
    hooks_.onBan(verdict.fingerprint);
    if (hooks_.savesForOthers())
        saveLater(verdict.fingerprint, SAVE_FOR_OTHERS_MS);
}

void SharedQuarantine::scheduleAnswers()
{
    if (sendsAnswers_ || !quarantine_.hasUnreportedAnswers())
        return;
    sendsAnswers_ = true;
    const auto delayMs = std::uniform_int_distribution<loop::TimeMs>(0, MAX_ANSWER_DELAY_MS)(random_);
    loop_.after(delayMs, [this] { sendAnswers(); });
}

void SharedQuarantine::sendAnswers()
{
    sendsAnswers_ = false;
    const auto answers = quarantine_.takeUnreportedAnswers(loop_.now());
    if (!answers.empty())
        hooks_.broadcast(SuspectAnswers { answers });
}

void SharedQuarantine::saveLater(Fingerprint fingerprint, loop::TimeMs delayMs)
{
    loop_.after(delayMs, [this, fingerprint] { save(fingerprint); });
}

/// Saves the current verdict, again until the store has it or a newer one.
void SharedQuarantine::save(Fingerprint fingerprint)
{
    const Verdict* verdict = quarantine_.find(fingerprint);
    if (!verdict)
        return;
    if (!beingSaved_.insert(fingerprint).second) {
        saveLater(fingerprint, SAVE_RETRY_MS); // an earlier revision is being saved
        return;
    }
    hooks_.save(*verdict, [this, fingerprint, revision = verdict->revision](SaveOutcome outcome) {
        beingSaved_.erase(fingerprint);
        if (outcome == SaveOutcome::Failed)
            saveLater(fingerprint, SAVE_RETRY_MS);
        log_.infoRateLimited("quarantine-saved",
            { { "fingerprint", admission::toHex(fingerprint) }, { "revision", revision },
                { "outcome", static_cast<int>(outcome) } });
    });
}

void SharedQuarantine::publish(const char* event, const Verdict& verdict, const char* source) const
{
    nlohmann::json fields = admission::toJson(verdict);
    fields["source"] = source;
    log_.info(event, std::move(fields));
    if (hooks_.onVerdict)
        hooks_.onVerdict(verdict);
}

void showVerdict(observe::Metrics& metrics, const Verdict& verdict)
{
    const std::string fingerprint = admission::toHex(verdict.fingerprint);
    if (verdict.isBanned)
        metrics.setBan(fingerprint, verdict.crashes, verdict.answers);
    else
        metrics.removeBan(fingerprint);
}

} // namespace goldcrestcleat::fleet
