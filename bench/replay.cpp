#include "bench/FakeEngine.h"
#include "bench/Job.h"
#include "bench/Measures.h"
#include "bench/Timeline.h"
#include "bench/Trace.h"
#include "goldcrestcleat/fleet/Ownership.h"
#include "goldcrestcleat/routing/AdmissionController.h"
#include "goldcrestcleat/routing/ChatAffinityCache.h"
#include "goldcrestcleat/routing/Placement.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <memory>
#include <unordered_map>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first trace");
ABSL_FLAG(int, seeds, 3, "number of traces");
ABSL_FLAG(int, seconds, 60, "length of a trace");
ABSL_FLAG(double, rate, 12, "new chats a second");
ABSL_FLAG(int, gossip_ms, 100, "period in which daemons tell their loads");
ABSL_FLAG(std::vector<std::string>, policies,
    std::vector<std::string>({ "oracle", "random", "least-loaded", "hashing", "bounded-hashing", "chosen" }),
    "ways to compare");
ABSL_FLAG(double, admit, 1.10, "admit factor of the chosen way");
ABSL_FLAG(double, wait_factor, 1.0, "factor on the profiles' wait for a warm engine");
ABSL_FLAG(int, window_ms, 500, "window of the lowest mean");
ABSL_FLAG(double, urgent_share, 0.8, "a home whose load fell to this share of what it told tells so at once");
ABSL_FLAG(bool, move, true, "move streams away from engines over the bound");
ABSL_FLAG(double, cache_share, 0.33, "share of all contexts that the caches hold");

/// Feeds a trace to the decision code with fake engines and a stated report lag; no network, no processes.

namespace {

using namespace bench;
using namespace goldcrestcleat::routing;
using goldcrestcleat::fleet::Ownership;

constexpr int ENGINES = 20;
constexpr int DAEMONS = 5;
constexpr TimeMs HOP_MS = 1;
constexpr TimeMs PART_MS = 20;
constexpr double PREFILL_MS_PER_TOKEN = 0.02;
constexpr TimeMs RETRY_MS = 10; // how often a waiting request of the oracle looks again
constexpr TimeMs TICK_MS = 20;
constexpr double STALE_ENTRY_SHARE = 0.05; // callers that come to another daemon than they were told

struct Result {
    double reuse = 0;
    Skew skew;
    double waitP99 = 0;
    int moves = 0;
};

/// Runs one policy over one trace.
class Replay {
public:
    Replay(const std::vector<Turn>& turns, std::string policy, std::uint64_t seed)
        : policy_(std::move(policy))
        , turns_(turns)
        , random_(seed)
        , engines_(ENGINES)
        , capacity_(static_cast<long long>(
              absl::GetFlag(FLAGS_cache_share) * static_cast<double>(contextTokens(turns)) / ENGINES))
    {
        const LoadBoundParameters rule { LOAD_BOUND, absl::GetFlag(FLAGS_admit) };
        std::vector<NodeKey> daemons;
        for (int d = 0; d < DAEMONS; ++d)
            daemons.push_back(nodeKey("vm" + std::to_string(d + 1)));
        homes_.setDaemons(daemons);
        for (int e = 0; e < ENGINES; ++e) {
            keys_.push_back(nodeKey("engine" + std::to_string(e + 1)));
            index_[keys_.back()] = e;
            homeOf_.push_back(static_cast<int>(
                std::find(daemons.begin(), daemons.end(), homes_.ownerOf(keys_.back())) - daemons.begin()));
        }
        for (int d = 0; d < DAEMONS; ++d) {
            views_.push_back(std::make_unique<LoadView>(absl::GetFlag(FLAGS_window_ms)));
            for (const NodeKey key : keys_)
                views_.back()->putEngine({ key, "m", 1000, true });
            desks_.push_back(std::make_unique<AdmissionController>(
                *views_.back(), rule, [this](const AdmissionDecision& v) { onVerdict(v); }));
            for (int e = 0; e < ENGINES; ++e) {
                if (homeOf_[static_cast<std::size_t>(e)] == d)
                    desks_.back()->open(keys_[static_cast<std::size_t>(e)], 0, 0);
            }
        }
    }

    Result run()
    {
        for (const Turn& turn : turns_)
            at(turn.at, [this, turn] { arrive(turn); });
        const TimeMs end = turns_.back().at;
        for (TimeMs t = 0; t < end; t += absl::GetFlag(FLAGS_gossip_ms))
            at(t, [this] { gossip(); });
        if (policy_ == "chosen") {
            for (TimeMs t = 0; t < end; t += TICK_MS)
                at(t, [this] { tick(); });
        }
        timeline_.run([this](TimeMs at) { now_ = at; });
        Result result;
        result.reuse = prefixTokens_ == 0 ? 0 : static_cast<double>(warmTokens_) / static_cast<double>(prefixTokens_);
        result.skew = computeSkew(changes_, ENGINES, end / 10, end, [](int, TimeMs) { return true; });
        result.waitP99 = percentile(waits_, 0.99);
        result.moves = moves_;
        return result;
    }

private:
    void at(TimeMs when, std::function<void()> task) { timeline_.at(when, std::move(task)); }

    LoadView& view(int daemon) { return *views_[static_cast<std::size_t>(daemon)]; }
    AdmissionController& deskOf(int engine)
    {
        return *desks_[static_cast<std::size_t>(homeOf_[static_cast<std::size_t>(engine)])];
    }

    void arrive(const Turn& turn)
    {
        const auto job = std::make_shared<Job>();
        job->turn = turn;
        job->arrivedAt = now_;
        job->query.chat = chatKey("ws" + std::to_string(turn.workspace), std::to_string(turn.chat));
        job->query.model = "m";
        job->query.isReturning = turn.number > 0;
        const int hashed = index_[view(0).hashedEngine("m", job->query.chat)];
        const bool isStale = std::uniform_real_distribution<>(0, 1)(random_) < STALE_ENTRY_SHARE;
        job->daemon = isStale ? static_cast<int>(random_() % DAEMONS) : homeOf_[static_cast<std::size_t>(hashed)];
        const auto hint = hints_.find(turn.chat);
        if (policy_ == "oracle") {
            placeByOracle(job);
        } else if (policy_ == "chosen") {
            job->query.preferredEngine = hint == hints_.end() ? NO_NODE : hint->second;
            submit(job);
        } else {
            placeByBaseline(job, hashed);
        }
    }

    void placeByBaseline(const JobPtr& job, int hashed)
    {
        if (policy_ == "random") {
            start(job, static_cast<int>(random_() % ENGINES));
        } else if (policy_ == "hashing") {
            start(job, hashed);
        } else {
            const auto* entry = view(job->daemon).find(keys_[static_cast<std::size_t>(hashed)]);
            const bool fits
                = policy_ == "bounded-hashing" && entry->load + 1 <= LOAD_BOUND * view(job->daemon).mean("m") + 1;
            start(job, fits ? hashed : index_[view(job->daemon).leastLoaded("m", {}, ENGINES, random_)]);
        }
        const NodeKey key = keys_[static_cast<std::size_t>(job->engine)];
        view(job->daemon).setLoad(key, view(job->daemon).find(key)->load + 1, now_);
    }

    /// Sees every load and every cache as they are.
    void placeByOracle(const JobPtr& job)
    {
        int total = 0;
        for (const auto& engine : engines_)
            total += engine.running;
        const double mean = static_cast<double>(total) / ENGINES;
        int warmest = -1;
        int least = 0;
        for (int e = 0; e < ENGINES; ++e) {
            const auto& engine = engines_[static_cast<std::size_t>(e)];
            if (engine.running < engines_[static_cast<std::size_t>(least)].running)
                least = e;
            const int warm = engine.warmTokens(job->turn.chat);
            if (warm > 0
                && (warmest < 0 || warm > engines_[static_cast<std::size_t>(warmest)].warmTokens(job->turn.chat)))
                warmest = e;
        }
        if (warmest >= 0 && engines_[static_cast<std::size_t>(warmest)].running <= LOAD_BOUND * mean)
            start(job, warmest);
        else if (warmest >= 0 && now_ - job->arrivedAt < waitOf(*job))
            at(now_ + RETRY_MS, [this, job] { placeByOracle(job); });
        else
            start(job, least);
    }

    TimeMs waitOf(const Job& job) const
    {
        return static_cast<TimeMs>(
            absl::GetFlag(FLAGS_wait_factor) * static_cast<double>(kinds()[job.turn.kind].warmWaitMs));
    }

    void submit(const JobPtr& job)
    {
        job->choice = choosePlacement(view(job->daemon), job->query, random_);
        if (job->choice.engine == NO_NODE) {
            job->query.tried.clear();
            job->query.preferredEngine = NO_NODE;
            at(now_ + 50, [this, job] { submit(job); });
            return;
        }
        job->ticket = nextTicket_++;
        asked_[job->ticket] = job;
        const int engine = index_[job->choice.engine];
        const TimeMs hop = homeOf_[static_cast<std::size_t>(engine)] == job->daemon ? 0 : HOP_MS;
        const TimeMs wait = job->choice.isWarm ? waitOf(*job) : job->denials >= 3 ? 2000 : 0;
        at(now_ + hop, [this, job, wait, engine] {
            deskOf(engine).submit({ job->choice.engine, 1, job->ticket, static_cast<std::uint64_t>(job->turn.workspace),
                                      1, 1, wait, false },
                now_);
        });
    }

    void onVerdict(const AdmissionDecision& verdict)
    {
        const JobPtr job = asked_.at(verdict.ticket);
        asked_.erase(verdict.ticket);
        const int engine = index_[verdict.engine];
        const TimeMs hop = homeOf_[static_cast<std::size_t>(engine)] == job->daemon ? 0 : HOP_MS;
        at(now_ + hop, [this, job, verdict, engine] {
            if (verdict.granted) {
                start(job, engine);
                return;
            }
            ++job->denials;
            job->query.tried.push_back(verdict.engine);
            submit(job);
        });
    }

    void start(const JobPtr& job, int engineIndex)
    {
        auto& engine = engines_[static_cast<std::size_t>(engineIndex)];
        job->engine = engineIndex;
        const int warm = std::min(engine.warmTokens(job->turn.chat), job->turn.historyTokens);
        if (job->turn.number > 0 && job->epoch == 0) {
            prefixTokens_ += job->turn.historyTokens;
            warmTokens_ += warm;
        }
        if (job->epoch == 0)
            waits_.push_back(static_cast<double>(now_ - job->arrivedAt));
        const int prompt = job->turn.historyTokens + job->turn.userTokens;
        engine.put(job->turn.chat, prompt, capacity_);
        hints_[job->turn.chat] = keys_[static_cast<std::size_t>(engineIndex)];
        change(engineIndex, +1);
        const TimeMs prefill = static_cast<TimeMs>((prompt - warm) * PREFILL_MS_PER_TOKEN);
        const TimeMs left = job->epoch == 0 ? job->turn.parts * PART_MS : std::max<TimeMs>(job->endsAt - now_, 0);
        job->endsAt = now_ + prefill + left;
        running_[engineIndex].push_back(job);
        at(job->endsAt, [this, job, epoch = job->epoch] {
            if (job->epoch == epoch)
                finish(job, true);
        });
    }

    void finish(const JobPtr& job, bool isWhole)
    {
        auto& engine = engines_[static_cast<std::size_t>(job->engine)];
        if (isWhole)
            engine.put(job->turn.chat, job->turn.historyTokens + job->turn.userTokens + answerTokens(job->turn.parts),
                capacity_);
        auto& list = running_[job->engine];
        list.erase(std::find(list.begin(), list.end(), job));
        change(job->engine, -1);
        const NodeKey key = keys_[static_cast<std::size_t>(job->engine)];
        if (policy_ == "chosen")
            deskOf(job->engine).release(key, 1, job->ticket, now_);
        else if (policy_ != "oracle")
            view(job->daemon).setLoad(key, std::max(0, view(job->daemon).find(key)->load - 1), now_);
    }

    void change(int engine, int by)
    {
        auto& running = engines_[static_cast<std::size_t>(engine)].running;
        running += by;
        changes_.push_back({ now_, engine, running, by > 0 });
    }

    /// Homes tell their exact loads; without homes, engines' reports do.
    void gossip()
    {
        for (int d = 0; d < DAEMONS; ++d)
            tellLoads(d);
    }

    void tellLoads(int teller)
    {
        int sum = 0;
        for (int e = 0; e < ENGINES; ++e) {
            if (homeOf_[static_cast<std::size_t>(e)] != teller)
                continue;
            const int load = engines_[static_cast<std::size_t>(e)].running;
            sum += load;
            for (int d = 0; d < DAEMONS; ++d) {
                if (policy_ == "chosen" && d == teller)
                    continue;
                at(now_ + HOP_MS,
                    [this, d, e, load] { view(d).setLoad(keys_[static_cast<std::size_t>(e)], load, now_); });
            }
        }
        toldSum_[teller] = sum;
    }

    /// A home whose load has fallen much tells so at once, since the bound falls with the mean.
    void tellFalls()
    {
        for (int d = 0; d < DAEMONS; ++d) {
            int sum = 0;
            for (int e = 0; e < ENGINES; ++e)
                sum += homeOf_[static_cast<std::size_t>(e)] == d ? engines_[static_cast<std::size_t>(e)].running : 0;
            if (sum <= absl::GetFlag(FLAGS_urgent_share) * toldSum_[d] && sum < toldSum_[d])
                tellLoads(d);
        }
    }

    void tick()
    {
        for (const auto& desk : desks_)
            desk->tick(now_);
        tellFalls();
        if (!absl::GetFlag(FLAGS_move))
            return;
        for (const auto& desk : desks_) {
            for (const auto& [key, holder] : desk->overloaded())
                moveOne(index_[key]);
        }
    }

    void moveOne(int from)
    {
        const int home = homeOf_[static_cast<std::size_t>(from)];
        const int target = index_[view(home).leastLoaded(
            "m", { keys_[static_cast<std::size_t>(from)] }, LEAST_LOADED_SAMPLES, random_)];
        if (running_[from].empty()
            || engines_[static_cast<std::size_t>(target)].running + 1
                >= engines_[static_cast<std::size_t>(from)].running)
            return;
        const JobPtr job = running_[from].back();
        ++moves_;
        finish(job, false);
        ++job->epoch;
        job->choice.engine = keys_[static_cast<std::size_t>(target)];
        job->ticket = nextTicket_++;
        asked_[job->ticket] = job;
        deskOf(target).submit({ job->choice.engine, 1, job->ticket, 1, 1, 1, 500, false }, now_);
    }

    std::string policy_;
    const std::vector<Turn>& turns_;
    std::mt19937_64 random_;
    std::vector<FakeEngine> engines_;
    long long capacity_;
    Ownership homes_;
    std::vector<NodeKey> keys_;
    std::unordered_map<NodeKey, int> index_;
    std::vector<int> homeOf_;
    std::vector<std::unique_ptr<LoadView>> views_;
    std::vector<std::unique_ptr<AdmissionController>> desks_;
    std::map<TicketId, JobPtr> asked_;
    std::map<int, std::vector<JobPtr>> running_;
    std::map<int, NodeKey> hints_;
    int toldSum_[DAEMONS] = {};
    Timeline timeline_;
    TicketId nextTicket_ = 1;
    TimeMs now_ = 0;
    std::vector<LoadChange> changes_;
    std::vector<double> waits_;
    long long warmTokens_ = 0;
    long long prefixTokens_ = 0;
    int moves_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::printf("%-16s %5s %7s %7s %9s %9s %8s %7s %7s %7s %7s %6s\n", "policy", "seed", "reuse", "/oracle", "breaches",
        "placing", "longest", "p50", "p99", "max", "wait99", "moves");
    for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i) {
        TraceOptions options;
        options.seed = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i);
        options.seconds = absl::GetFlag(FLAGS_seconds);
        options.chatsPerSecond = absl::GetFlag(FLAGS_rate);
        const auto turns = makeTrace(options);
        double oracle = 0;
        for (const auto& policy : absl::GetFlag(FLAGS_policies)) {
            const Result r = Replay(turns, policy, options.seed).run();
            oracle = policy == "oracle" ? r.reuse : oracle;
            std::printf("%-16s %5llu %7.3f %7.3f %4d/%4d %9d %6lldms %7.2f %7.2f %7.2f %7.0f %6d\n", policy.c_str(),
                static_cast<unsigned long long>(options.seed), r.reuse, oracle > 0 ? r.reuse / oracle : 0,
                r.skew.breaches, r.skew.samples, r.skew.placementBreaches,
                static_cast<long long>(r.skew.longestBreachMs), r.skew.p50, r.skew.p99, r.skew.highest, r.waitP99,
                r.moves);
        }
        std::printf(
            "  (%zu turns, mean load %.1f)\n", turns.size(), Replay(turns, "oracle", options.seed).run().skew.meanLoad);
    }
    return 0;
}
