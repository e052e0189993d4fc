#include "goldcrestcleat/admission/CrashAttribution.h"
#include "goldcrestcleat/admission/Quarantine.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <set>

using namespace goldcrestcleat;
using namespace goldcrestcleat::admission;

// The decisions of many daemons on simulated servers, without a network: prompts share parts, some parts crash servers,
// and servers end for other reasons at the same time.

namespace {

constexpr loop::TimeMs STEP_MS = 5;
constexpr loop::TimeMs DOWN_MS = 3'000;
constexpr loop::TimeMs CRASH_DELAY_MS = 40; // from the start of an answer
constexpr loop::TimeMs MAX_ANSWER_DELAY_MS = 80;
constexpr loop::TimeMs CONTACT_MS = 3'000;
constexpr loop::TimeMs DEADLY_FROM_MS = 4'000;

struct SimulationOptions {
    unsigned seed = 1;
    int daemons = 5;
    int servers = 18;
    int requestsPerS = 120;
    loop::TimeMs lengthMs = 40'000;
    int otherEnds = 0; ///< servers that end for other reasons, from second 2 on
    double deadlyShare = 0; ///< of the requests, for each deadly part
    double crashChance = 1; ///< that a run under a deadly part crashes its server
    bool isFirstPartDeadly = false; ///< one of two deadly parts is the first of its prompts
    loop::TimeMs restartAllAt = 0; ///< all daemons lose what they know but for saved verdicts; 0 for never
};

/// A simulated fleet.
class Simulation {
public:
    explicit Simulation(const SimulationOptions& options)
        : options_(options)
        , random_(options.seed)
        , servers_(static_cast<std::size_t>(options.servers))
    {
        startDaemons();
    }

    void run()
    {
        for (now_ = 0; now_ < options_.lengthMs; now_ += STEP_MS) {
            if (options_.restartAllAt != 0 && now_ == options_.restartAllAt)
                startDaemons();
            endServersForOtherReasons();
            startRequests();
            for (std::size_t server = 0; server < servers_.size(); ++server)
                advance(server);
            deliverAnswers();
            reviewAgain();
        }
    }

    std::set<Fingerprint> bannedSoundParts() const
    {
        std::set<Fingerprint> sound;
        for (const auto& daemon : daemons_) {
            for (const auto& verdict : daemon->verdicts()) {
                if (verdict.isBanned && isPart(verdict.fingerprint) && verdict.fingerprint < DEADLY_PARTS[0])
                    sound.insert(verdict.fingerprint);
            }
        }
        return sound;
    }

    int deadlyCrashes() const { return static_cast<int>(deadlyCrashTimes_.size()); }

    /// Returns the number of deadly requests sent later than the time of contact after the fifth crash of their part.
    int lateSends() const
    {
        std::map<Fingerprint, std::vector<loop::TimeMs>> crashes;
        for (const auto& [at, part] : deadlyCrashTimes_)
            crashes[part].push_back(at);
        return static_cast<int>(std::count_if(deadlySends_.begin(), deadlySends_.end(), [&](const auto& send) {
            const auto& times = crashes[send.second];
            return times.size() >= 5 && send.first > times[4] + CONTACT_MS;
        }));
    }

    int refusedSoundRequests = 0;

private:
    struct Run {
        std::size_t daemon = 0;
        std::vector<Fingerprint> fingerprints;
        loop::TimeMs beginsAt = 0;
        loop::TimeMs endsAt = 0;
        Fingerprint deadlyPart = 0; ///< 0 for none
        bool hasSurvived = false;
    };

    struct Server {
        loop::TimeMs upAt = 0;
        std::uint64_t instance = 1;
        std::vector<Run> runs;
    };

    static constexpr Fingerprint DEADLY_PARTS[] = { 1'001, 1'003 }; // greater than the sound ones

    int pick(int below) { return std::uniform_int_distribution<int>(0, below - 1)(random_); }
    bool happens(double chance) { return std::uniform_real_distribution<double>(0, 1)(random_) < chance; }

    void startDaemons()
    {
        daemons_.clear();
        for (int i = 0; i < options_.daemons; ++i) {
            daemons_.push_back(std::make_unique<Quarantine>("vm" + std::to_string(i), [this] { return now_; }));
            for (const auto& [fingerprint, verdict] : saved_)
                daemons_.back()->apply(verdict);
        }
        answersDueAt_.assign(daemons_.size(), 0);
    }

    void endServersForOtherReasons()
    {
        const loop::TimeMs interval
            = options_.otherEnds == 0 ? 0 : (options_.lengthMs - 2'000) / options_.otherEnds / STEP_MS * STEP_MS;
        if (interval > 0 && now_ >= 2'000 && now_ % interval == 0)
            end(static_cast<std::size_t>(pick(std::max(1, options_.servers / 5))));
    }

    void startRequests()
    {
        if (!happens(options_.requestsPerS * static_cast<double>(STEP_MS) / 1'000))
            return;
        Run run;
        run.daemon = static_cast<std::size_t>(pick(options_.daemons));
        const Fingerprint first = 3 + 2 * static_cast<Fingerprint>(pick(3));
        Fingerprint middle = 101 + 2 * static_cast<Fingerprint>(std::min({ pick(150), pick(150), pick(150) }));
        std::vector<Fingerprint> parts = { first, middle };
        for (const Fingerprint deadly : DEADLY_PARTS) {
            if (now_ < DEADLY_FROM_MS || run.deadlyPart != 0 || !happens(options_.deadlyShare))
                continue;
            run.deadlyPart = deadly;
            parts[options_.isFirstPartDeadly && deadly == DEADLY_PARTS[1] ? 0 : 1] = deadly;
        }
        run.fingerprints = { nextContent_ += 2, parts[0], parts[1] };
        if (daemons_[run.daemon]->findBan(run.fingerprints)) {
            refusedSoundRequests += run.deadlyPart == 0 ? 1 : 0;
            return;
        }
        if (run.deadlyPart != 0)
            deadlySends_.emplace_back(now_, run.deadlyPart);
        run.beginsAt = now_ + 10 + pick(400);
        run.endsAt = run.beginsAt + 300 + pick(1'500);
        std::size_t server = parts[1] * 7'919 % servers_.size();
        while (servers_[server].upAt > now_)
            server = (server + 1) % servers_.size();
        servers_[server].runs.push_back(run);
    }

    void advance(std::size_t index)
    {
        Server& server = servers_[index];
        for (auto& run : server.runs) {
            if (run.deadlyPart != 0 && now_ >= run.beginsAt + CRASH_DELAY_MS && !run.hasSurvived) {
                if (happens(options_.crashChance)) {
                    deadlyCrashTimes_.emplace_back(now_, run.deadlyPart);
                    end(index);
                    return;
                }
                run.deadlyPart = 0;
            }
            if (now_ > run.beginsAt + BEGINNING_MS && !std::exchange(run.hasSurvived, true))
                daemons_[run.daemon]->recordAnswer(run.fingerprints, now_);
        }
        auto& runs = server.runs;
        const auto isOver = [this](const Run& run) {
            const bool isCancelled = now_ < run.beginsAt && daemons_[run.daemon]->findBan(run.fingerprints);
            return now_ > run.endsAt || isCancelled;
        };
        runs.erase(std::remove_if(runs.begin(), runs.end(), isOver), runs.end());
    }

    /// Ends a server. Each daemon reports the runs that it had there to all others.
    void end(std::size_t index)
    {
        Server& server = servers_[index];
        if (server.upAt > now_)
            return;
        const std::uint64_t crashId = index * 1'000'000 + server.instance++;
        std::map<std::size_t, CrashAttribution> attributions;
        for (const auto& run : server.runs) {
            const RunStage stage = now_ < run.beginsAt ? RunStage::Waiting
                : now_ <= run.beginsAt + BEGINNING_MS  ? RunStage::Begun
                                                       : RunStage::Running;
            attributions[run.daemon].onAnswerInterrupted(1, { crashId, index, run.fingerprints, stage }, now_);
        }
        server.runs.clear();
        server.upAt = now_ + DOWN_MS;
        for (auto& [reporter, attribution] : attributions) {
            CrashReport report = *attribution.onProcessEnded(1, now_);
            daemons_[reporter]->limitSuspects(report);
            for (const auto& daemon : daemons_)
                daemon->recordCrash(report, now_);
        }
        review(crashId);
        reviews_.emplace(now_ + Quarantine::HEARING_MS, crashId);
    }

    void review(std::uint64_t crashId)
    {
        for (const auto& daemon : daemons_) {
            for (const auto& verdict : daemon->reviewCrash(crashId, now_))
                saved_.emplace(verdict.fingerprint, verdict);
        }
    }

    void reviewAgain()
    {
        while (!reviews_.empty() && reviews_.begin()->first <= now_) {
            review(reviews_.begin()->second);
            reviews_.erase(reviews_.begin());
        }
    }

    /// Each daemon waits for a random time before it broadcasts its answers.
    void deliverAnswers()
    {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            if (!daemons_[i]->hasUnreportedAnswers())
                continue;
            if (answersDueAt_[i] == 0)
                answersDueAt_[i] = now_ + 1 + pick(MAX_ANSWER_DELAY_MS);
            if (now_ < answersDueAt_[i])
                continue;
            answersDueAt_[i] = 0;
            const auto answers = daemons_[i]->takeUnreportedAnswers(now_);
            for (std::size_t other = 0; other < daemons_.size(); ++other) {
                if (other != i)
                    daemons_[other]->recordPeerAnswers(answers);
            }
        }
    }

    SimulationOptions options_;
    std::mt19937 random_;
    loop::TimeMs now_ = 0;
    std::vector<std::unique_ptr<Quarantine>> daemons_;
    std::vector<loop::TimeMs> answersDueAt_; // by daemon; 0 if none are waiting
    std::vector<Server> servers_;
    std::map<Fingerprint, Verdict> saved_; // in the store
    std::multimap<loop::TimeMs, std::uint64_t> reviews_; // of crashes, by time
    Fingerprint nextContent_ = 1'000'000;
    std::vector<std::pair<loop::TimeMs, Fingerprint>> deadlySends_;
    std::vector<std::pair<loop::TimeMs, Fingerprint>> deadlyCrashTimes_;
};

constexpr unsigned SEEDS = 20;

} // namespace

Test(quarantine_fleet, no_sound_part_is_refused_after_100_ends_of_servers_for_other_reasons, .timeout = 120)
{
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        SimulationOptions options;
        options.seed = seed;
        options.otherEnds = 100;
        options.lengthMs = 60'000;
        Simulation simulation(options);
        simulation.run();
        cr_assert(simulation.bannedSoundParts().empty(), "seed %u: %d sound requests refused", seed,
            simulation.refusedSoundRequests);
    }
}

Test(quarantine_fleet, two_deadly_parts_end_five_servers_each_on_average_beside_ends_for_other_reasons, .timeout = 120)
{
    int crashes = 0;
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        SimulationOptions options;
        options.seed = seed;
        options.otherEnds = 60;
        options.deadlyShare = 0.02;
        options.isFirstPartDeadly = true;
        Simulation simulation(options);
        simulation.run();
        std::cout << "seed " << seed << ": " << simulation.deadlyCrashes() << " crashes by two parts\n";
        crashes += simulation.deadlyCrashes();
        cr_assert_leq(simulation.lateSends(), 3, "seed %u: %d", seed, simulation.lateSends());
        cr_assert_leq(simulation.refusedSoundRequests, 0, "seed %u: %d", seed, simulation.refusedSoundRequests);
    }
    cr_assert_leq(crashes, static_cast<int>(SEEDS) * 2 * 5);
}

Test(quarantine_fleet, a_part_that_crashes_servers_in_most_runs_is_sent_three_times_at_most_after_its_fifth_crash,
    .timeout = 120)
{
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        SimulationOptions options;
        options.seed = seed;
        options.deadlyShare = 0.02;
        options.crashChance = 0.7;
        Simulation simulation(options);
        simulation.run();
        cr_assert_leq(simulation.lateSends(), 3, "seed %u: %d", seed, simulation.lateSends());
        cr_assert(simulation.bannedSoundParts().empty(), "seed %u", seed);
    }
}

Test(quarantine_fleet, a_part_stays_refused_when_all_daemons_are_restarted, .timeout = 120)
{
    for (unsigned seed = 1; seed <= SEEDS; ++seed) {
        SimulationOptions options;
        options.seed = seed;
        options.deadlyShare = 0.02;
        options.restartAllAt = 20'000;
        Simulation simulation(options);
        simulation.run();
        cr_assert_leq(simulation.lateSends(), 3, "seed %u: %d", seed, simulation.lateSends());
        cr_assert_leq(simulation.deadlyCrashes(), 2 * 5, "seed %u: %d", seed, simulation.deadlyCrashes());
    }
}

Test(quarantine_fleet, three_hundred_and_thirty_daemons_decide_as_five_do, .timeout = 240)
{
    SimulationOptions options;
    options.daemons = 330;
    options.servers = 600;
    options.requestsPerS = 180;
    options.lengthMs = 15'000;
    options.otherEnds = 20;
    options.deadlyShare = 0.03;
    Simulation simulation(options);
    simulation.run();
    cr_assert_leq(simulation.lateSends(), 3, "%d", simulation.lateSends());
    cr_assert(simulation.bannedSoundParts().empty());
    cr_assert_leq(simulation.deadlyCrashes(), 2 * 5, "%d", simulation.deadlyCrashes());
}
