#include "goldcrestcleat/fleet/SharedQuarantine.h"
#include "goldcrestcleat/fleet/VerdictRows.h"

#include <criterion/criterion.h>

#include <map>
#include <memory>

using namespace goldcrestcleat;
using namespace goldcrestcleat::admission;
using fleet::PeerMessage;
using fleet::SaveOutcome;
using fleet::SharedQuarantine;

namespace {

constexpr Fingerprint PART = 3;

/// A store of verdicts that a test can make unavailable.
struct SavedVerdicts {
    std::map<Fingerprint, Verdict> rows;
    bool isAvailable = true;
    int calls = 0;
};

/// A daemon whose messages the test delivers.
class Daemon {
public:
    Daemon(loop::EventLoop& loop, const std::string& id, SavedVerdicts& saved, std::int64_t& unixMs)
        : quarantine(id, [&unixMs] { return unixMs; })
        , shared(loop, log_, quarantine, id, hooks(saved))
    {
    }

    bool refuses() const { return quarantine.findBan({ PART }) != nullptr; }

    Quarantine quarantine;
    std::vector<PeerMessage> sent;
    std::vector<Fingerprint> bans;
    bool savesForOthers = false;

private:
    SharedQuarantine::Hooks hooks(SavedVerdicts& saved)
    {
        SharedQuarantine::Hooks hooks;
        hooks.broadcast = [this](const PeerMessage& message) { sent.push_back(message); };
        hooks.save = [&saved](const Verdict& verdict, const std::function<void(SaveOutcome)>& onDone) {
            ++saved.calls;
            if (!saved.isAvailable) {
                onDone(SaveOutcome::Failed);
                return;
            }
            const auto known = saved.rows.find(verdict.fingerprint);
            if (known != saved.rows.end() && known->second.revision >= verdict.revision) {
                onDone(SaveOutcome::Superseded);
                return;
            }
            saved.rows[verdict.fingerprint] = verdict;
            onDone(SaveOutcome::Saved);
        };
        hooks.readSaved = [this, &saved] {
            std::vector<Verdict> all;
            for (const auto& [fingerprint, verdict] : saved.rows)
                all.push_back(verdict);
            shared.load(all);
        };
        hooks.savesForOthers = [this] { return savesForOthers; };
        hooks.onBan = [this](Fingerprint fingerprint) { bans.push_back(fingerprint); };
        return hooks;
    }

    observe::Log log_ { "vm", "error" };

public:
    SharedQuarantine shared;
};

/// Daemons on one loop.
struct Fleet {
    explicit Fleet(int size)
    {
        for (int i = 1; i <= size; ++i)
            daemons.push_back(std::make_unique<Daemon>(loop, "vm" + std::to_string(i), saved, unixMs));
    }

    /// Delivers all messages sent so far to all other daemons.
    void deliver()
    {
        for (auto& sender : daemons) {
            for (const auto& message : std::exchange(sender->sent, {})) {
                for (auto& receiver : daemons) {
                    if (receiver != sender)
                        cr_assert(receiver->shared.onMessage(fleet::decode(fleet::encode(message))));
                }
            }
        }
    }

    /// One daemon reports a crash under the part.
    void crash(std::size_t reporter)
    {
        CrashReport report;
        report.crashId = report.host = ++crashes;
        report.stage = RunStage::Begun;
        report.suspects = { 1'000 + 2 * crashes, PART };
        daemons.at(reporter)->shared.reportCrash(report);
        deliver();
    }

    void runFor(loop::TimeMs durationMs)
    {
        bool isOver = false;
        loop.after(durationMs, [&] { isOver = true; });
        while (!isOver)
            loop.runOnce();
    }

    loop::EventLoop loop;
    SavedVerdicts saved;
    std::int64_t unixMs = 1'700'000'000'000;
    std::vector<std::unique_ptr<Daemon>> daemons;
    std::uint64_t crashes = 0;
};

} // namespace

Test(shared_quarantine, crashes_seen_by_different_daemons_ban_a_part_at_all_of_them)
{
    Fleet fleet(4);
    for (std::size_t i = 0; i < 3; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        cr_assert_not(fleet.daemons[3]->refuses());
        fleet.crash(i);
    }
    for (const auto& daemon : fleet.daemons) {
        cr_assert(daemon->refuses());
        cr_assert(daemon->bans == std::vector<Fingerprint> { PART });
    }
    cr_assert_eq(fleet.saved.rows.at(PART).crashes, 3);
}

Test(shared_quarantine, a_daemon_keeps_reports_back_that_a_more_suspicious_run_elsewhere_has_settled)
{
    Fleet fleet(3);
    const auto report = [&](std::size_t daemon, RunStage stage, Fingerprint suspect) {
        CrashReport crash;
        crash.crashId = crash.host = 1;
        crash.stage = stage;
        crash.suspects = { suspect };
        fleet.daemons[daemon]->shared.reportCrash(crash);
    };
    report(0, RunStage::Running, 11);
    report(1, RunStage::Waiting, 13);
    cr_assert(fleet.daemons[0]->sent.empty() && fleet.daemons[1]->sent.empty());
    report(2, RunStage::Begun, PART);
    fleet.deliver();
    fleet.runFor(Quarantine::HEARING_MS);
    cr_assert(fleet.daemons[0]->sent.empty() && fleet.daemons[1]->sent.empty());
    for (const auto& daemon : fleet.daemons) {
        cr_assert(daemon->quarantine.isSuspect({ PART }, fleet.loop.now()));
        cr_assert_not(daemon->quarantine.isSuspect({ 11, 13 }, fleet.loop.now()));
    }
}

Test(shared_quarantine, answers_at_other_daemons_clear_a_part_that_was_present_at_crashes)
{
    Fleet fleet(3);
    for (int i = 0; i < 12; ++i) {
        fleet.crash(0);
        for (int answer = 0; answer < 10; ++answer)
            fleet.daemons[1]->shared.recordAnswer({ PART });
        fleet.runFor(SharedQuarantine::MAX_ANSWER_DELAY_MS + 30);
        fleet.deliver();
    }
    for (const auto& daemon : fleet.daemons)
        cr_assert_not(daemon->refuses());
}

Test(shared_quarantine, answers_are_sent_only_while_they_matter)
{
    Fleet fleet(2);
    fleet.daemons[0]->shared.recordAnswer({ PART });
    fleet.runFor(SharedQuarantine::MAX_ANSWER_DELAY_MS + 30);
    cr_assert(fleet.daemons[0]->sent.empty(), "answers to requests that no crash concerns were sent");
    fleet.crash(1);
    fleet.runFor(SharedQuarantine::MAX_ANSWER_DELAY_MS + 30);
    cr_assert_eq(fleet.daemons[0]->sent.size(), 1, "an answer from before the crash was not sent");
    fleet.daemons[0]->quarantine.recordPeerAnswers({ { PART, 1'000 } });
    fleet.daemons[0]->sent.clear();
    fleet.daemons[0]->shared.recordAnswer({ PART });
    fleet.runFor(SharedQuarantine::MAX_ANSWER_DELAY_MS + 30);
    cr_assert(fleet.daemons[0]->sent.empty(), "an answer was sent although the part is cleared");
}

Test(shared_quarantine, a_new_daemon_and_one_that_was_away_learn_the_verdicts_from_a_peer)
{
    Fleet fleet(2);
    for (int i = 0; i < 3; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        fleet.crash(0);
    }
    Daemon newcomer(fleet.loop, "vm9", fleet.saved, fleet.unixMs);
    for (const auto& message : fleet.daemons[1]->shared.currentState())
        newcomer.shared.onMessage(message);
    cr_assert(newcomer.refuses());
    cr_assert_eq(newcomer.quarantine.find(PART)->revision, 1);
}

/// Guards against a ban of a sound part by a daemon that learns of crashes, but not of the answers between them.
Test(shared_quarantine, a_new_daemon_does_not_count_crashes_whose_answers_it_has_not_received)
{
    Fleet fleet(2);
    for (int i = 0; i < 5; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        fleet.crash(0);
        for (int answer = 0; answer < 20; ++answer)
            fleet.daemons[1]->shared.recordAnswer({ PART });
        fleet.runFor(SharedQuarantine::MAX_ANSWER_DELAY_MS + 30);
        fleet.deliver();
    }
    cr_assert_not(fleet.daemons[1]->refuses());
    Daemon newcomer(fleet.loop, "vm9", fleet.saved, fleet.unixMs);
    for (const auto& message : fleet.daemons[0]->shared.currentState())
        newcomer.shared.onMessage(message);
    fleet.runFor(Quarantine::HEARING_MS + 30);
    cr_assert_not(newcomer.refuses());
}

Test(shared_quarantine, a_ban_reached_while_the_store_is_away_is_saved_when_it_is_back)
{
    Fleet fleet(2);
    fleet.saved.isAvailable = false;
    for (int i = 0; i < 3; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        fleet.crash(0);
    }
    cr_assert(fleet.saved.rows.empty());
    cr_assert(fleet.daemons[1]->refuses());
    fleet.saved.isAvailable = true;
    fleet.runFor(SharedQuarantine::SAVE_RETRY_MS + 100);
    cr_assert_eq(fleet.saved.rows.count(PART), 1);
}

Test(shared_quarantine, a_ban_whose_reporter_is_gone_is_saved_by_another_daemon)
{
    Fleet fleet(2);
    fleet.daemons[1]->savesForOthers = true;
    fleet.saved.isAvailable = false;
    for (int i = 0; i < 3; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        fleet.crash(0);
    }
    const auto verdicts = fleet.daemons[1]->quarantine.verdicts();
    Fleet survivors(1);
    survivors.daemons[0]->savesForOthers = true;
    survivors.daemons[0]->shared.onMessage(fleet::Verdicts { verdicts });
    survivors.runFor(2'500);
    cr_assert_eq(survivors.saved.rows.count(PART), 1);
}

Test(shared_quarantine, all_daemons_together_send_three_probes_at_most)
{
    Fleet fleet(5);
    for (int i = 0; i < 3; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        fleet.crash(0);
    }
    int claimed = 0;
    for (int round = 0; round < 10; ++round) {
        fleet.unixMs += Quarantine::PROBE_INTERVAL_MS;
        for (auto& daemon : fleet.daemons) // concurrently: no message is delivered in between
            daemon->shared.claimProbe(PART, [&](bool isClaimed) { claimed += isClaimed ? 1 : 0; });
        fleet.deliver();
    }
    cr_assert_eq(claimed, Quarantine::MAX_PROBES);
    cr_assert(fleet.daemons[4]->refuses());
}

Test(shared_quarantine, no_probe_is_sent_while_the_store_is_away)
{
    Fleet fleet(1);
    for (int i = 0; i < 3; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        fleet.crash(0);
    }
    fleet.saved.isAvailable = false;
    fleet.unixMs += Quarantine::PROBE_INTERVAL_MS;
    const int callsBefore = fleet.saved.calls;
    for (int i = 0; i < 50; ++i)
        fleet.daemons[0]->shared.claimProbe(PART, [](bool isClaimed) { cr_assert_not(isClaimed); });
    cr_assert_eq(fleet.saved.calls, callsBefore + 1, "the store was called for each request");
}

Test(shared_quarantine, answered_probes_lift_a_ban_everywhere_and_a_crashed_one_confirms_it)
{
    for (const bool crashes : { false, true }) {
        Fleet fleet(3);
        for (int i = 0; i < 3; ++i) {
            fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
            fleet.crash(0);
        }
        for (std::size_t probe = 0; probe < static_cast<std::size_t>(Quarantine::MAX_PROBES); ++probe) {
            fleet.unixMs += Quarantine::PROBE_INTERVAL_MS;
            fleet.daemons[probe]->shared.claimProbe(PART, [](bool) {});
            if (crashes)
                fleet.crash(probe);
            else
                fleet.daemons[probe]->shared.onProbeAnswered(PART);
            fleet.deliver();
        }
        for (const auto& daemon : fleet.daemons) {
            cr_assert_eq(daemon->refuses(), crashes);
            cr_assert_eq(daemon->quarantine.find(PART)->isConfirmed, crashes);
            cr_assert_eq(daemon->quarantine.find(PART)->probes, crashes ? 1 : Quarantine::MAX_PROBES);
        }
    }
}

Test(shared_quarantine, a_verdict_that_an_operator_has_lifted_in_the_store_takes_effect_at_all_daemons)
{
    Fleet fleet(3);
    for (int i = 0; i < 3; ++i) {
        fleet.runFor(CrashEvidence::COMMON_CAUSE_MS + 20);
        fleet.crash(0);
    }
    Verdict& row = fleet.saved.rows.at(PART);
    ++row.revision;
    row.isBanned = false;
    row.changedBy = "amy";
    fleet.daemons[1]->shared.load({ row });
    fleet.deliver();
    for (const auto& daemon : fleet.daemons)
        cr_assert_not(daemon->refuses());
}

namespace {

/// A store with one table in memory.
struct RowTable {
    store::RowStore store()
    {
        store::RowStore rowStore;
        rowStore.read = [this](
                            const std::string&, const std::string& fromKey, const store::RowStore::ReadHook& onDone) {
            store::RowSet answer;
            answer.outcome = outcome;
            for (auto it = rows.lower_bound(fromKey); it != rows.end() && outcome == store::ReadOutcome::Answered; ++it)
                answer.rows.push_back(it->second);
            onDone(answer);
        };
        rowStore.commit
            = [this](const std::vector<store::RowWrite>& writes, const store::RowStore::CommitHook& onDone) {
                  const auto& write = writes.at(0);
                  const auto known = rows.find(write.key);
                  const std::uint64_t version = known == rows.end() ? 0 : known->second.version;
                  if (write.expectedVersion != version) {
                      onDone(store::RowCommitOutcome::Conflict);
                      return;
                  }
                  rows[write.key] = { write.key, write.value, ++lastVersion, false };
                  onDone(store::RowCommitOutcome::Committed);
              };
        return rowStore;
    }

    std::map<std::string, store::VersionedRow> rows;
    std::uint64_t lastVersion = 0;
    store::ReadOutcome outcome = store::ReadOutcome::Answered;
};

} // namespace

Test(verdict_rows, hold_the_newest_revision_and_odd_rows_are_skipped)
{
    RowTable table;
    const store::RowStore rowStore = table.store();
    const observe::Log log("vm1", "error");
    const fleet::VerdictRows verdictRows(rowStore, log);
    std::vector<SaveOutcome> outcomes;
    const auto save = [&](std::uint64_t revision) {
        Verdict verdict;
        verdict.fingerprint = PART;
        verdict.revision = revision;
        verdictRows.save(verdict, [&](SaveOutcome outcome) { outcomes.push_back(outcome); });
    };
    save(1);
    save(1);
    save(3);
    save(2);
    table.rows["zz"] = { "zz", "[[[[", 99, false };
    table.rows["zy"] = { "zy", R"({"fingerprint":"","revision":1e400,"banned":1})", 98, false };
    table.outcome = store::ReadOutcome::NoAnswer;
    save(4);
    const std::vector<SaveOutcome> expected = { SaveOutcome::Saved, SaveOutcome::Superseded, SaveOutcome::Saved,
        SaveOutcome::Superseded, SaveOutcome::Failed };
    cr_assert(outcomes == expected);
    bool wasRead = true;
    verdictRows.read([&](const auto& verdicts) { wasRead = verdicts.has_value(); });
    cr_assert_not(wasRead);
    table.outcome = store::ReadOutcome::Answered;
    verdictRows.read(
        [&](const auto& verdicts) { cr_assert(verdicts && verdicts->size() == 1 && verdicts->at(0).revision == 3); });
}
