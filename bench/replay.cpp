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
ABSL_FLAG(double, rate, 12, "new chats per second");
ABSL_FLAG(int, gossip_ms, 100, "period in which daemons broadcast their loads");
ABSL_FLAG(std::vector<std::string>, policies,
    std::vector<std::string>({ "oracle", "random", "least-loaded", "hashing", "bounded-hashing", "chosen" }),
    "routing policies to compare");
ABSL_FLAG(double, admit, 1.10, "admit factor of the policy 'chosen'");
ABSL_FLAG(double, wait_factor, 1.0, "factor on the time that profiles allow for waiting for a warm engine");
ABSL_FLAG(int, window_ms, 500, "window over which the lowest mean load is taken");
ABSL_FLAG(double, urgent_share, 0.8, "share of its last broadcast load at which an owner broadcasts immediately");
ABSL_FLAG(bool, move, true, "move streams away from engines over the bound");
ABSL_FLAG(double, cache_share, 0.33, "share of all contexts that fits into the caches");

/// Simulates a trace on the routing code with simulated engines and delayed load reports; no network, no processes.

namespace {

using namespace bench;
using namespace goldcrestcleat::routing;
using goldcrestcleat::fleet::Ownership;

constexpr int ENGINES = 20;
constexpr int DAEMONS = 5;
constexpr TimeMs HOP_MS = 1; // delay of a network message
constexpr TimeMs PART_MS = 20;
constexpr double PREFILL_MS_PER_TOKEN = 0.02;
constexpr TimeMs RETRY_MS = 10; // interval at which the oracle retries the placement of a waiting request
constexpr TimeMs TICK_MS = 20;
constexpr double STALE_ENTRY_SHARE = 0.05; // callers with outdated entries, which connect to a random daemon

struct Result {
    double reuse = 0;
    Skew skew;
    double waitP99 = 0;
    int moves = 0;
};

/// Simulates one policy on one trace.
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
        ownership_.setDaemons(daemons);
        for (int e = 0; e < ENGINES; ++e) {
            keys_.push_back(nodeKey("engine" + std::to_string(e + 1)));
            indexOf_[keys_.back()] = e;
            owners_.push_back(static_cast<int>(
                std::find(daemons.begin(), daemons.end(), ownership_.ownerOf(keys_.back())) - daemons.begin()));
        }
        for (int d = 0; d < DAEMONS; ++d) {
            views_.push_back(std::make_unique<LoadView>(absl::GetFlag(FLAGS_window_ms)));
            for (const NodeKey key : keys_)
                views_.back()->putEngine({ key, "m", 1000, true });
            controllers_.push_back(std::make_unique<AdmissionController>(
                *views_.back(), rule, [this](const AdmissionDecision& decision) { onDecision(decision); }));
            for (int e = 0; e < ENGINES; ++e) {
                if (owners_[static_cast<std::size_t>(e)] == d)
                    controllers_.back()->open(keys_[static_cast<std::size_t>(e)], 0, 0);
            }
        }
    }

    Result run()
    {
        for (const Turn& turn : turns_)
            schedule(turn.at, [this, turn] { arrive(turn); });
        const TimeMs end = turns_.back().at;
        for (TimeMs t = 0; t < end; t += absl::GetFlag(FLAGS_gossip_ms))
            schedule(t, [this] { broadcastLoads(); });
        if (policy_ == "chosen") {
            for (TimeMs t = 0; t < end; t += TICK_MS)
                schedule(t, [this] { tick(); });
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
    void schedule(TimeMs when, std::function<void()> task) { timeline_.schedule(when, std::move(task)); }

    LoadView& view(int daemon) { return *views_[static_cast<std::size_t>(daemon)]; }
    AdmissionController& controllerOf(int engine)
    {
        return *controllers_[static_cast<std::size_t>(owners_[static_cast<std::size_t>(engine)])];
    }

    void arrive(const Turn& turn)
    {
        const auto job = std::make_shared<Job>();
        job->turn = turn;
        job->arrivedAt = now_;
        job->query.chat = chatKey("ws" + std::to_string(turn.workspace), std::to_string(turn.chat));
        job->query.model = "m";
        job->query.isReturning = turn.number > 0;
        const int hashed = indexOf_[view(0).hashedEngine("m", job->query.chat)];
        const bool isStale = std::uniform_real_distribution<>(0, 1)(random_) < STALE_ENTRY_SHARE;
        job->daemon = isStale ? static_cast<int>(random_() % DAEMONS) : owners_[static_cast<std::size_t>(hashed)];
        const auto lastEngine = lastEngines_.find(turn.chat);
        if (policy_ == "oracle") {
            placeByOracle(job);
        } else if (policy_ == "chosen") {
            job->query.preferredEngine = lastEngine == lastEngines_.end() ? NO_NODE : lastEngine->second;
            requestTicket(job);
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
            const auto* candidate = view(job->daemon).find(keys_[static_cast<std::size_t>(hashed)]);
            const bool fits
                = policy_ == "bounded-hashing" && candidate->load + 1 <= LOAD_BOUND * view(job->daemon).mean("m") + 1;
            start(job, fits ? hashed : indexOf_[view(job->daemon).leastLoaded("m", {}, ENGINES, random_)]);
        }
        const NodeKey key = keys_[static_cast<std::size_t>(job->engine)];
        view(job->daemon).setLoad(key, view(job->daemon).find(key)->load + 1, now_);
    }

    /// Places a request with exact knowledge of all loads and caches.
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
        else if (warmest >= 0 && now_ - job->arrivedAt < maxWaitOf(*job))
            schedule(now_ + RETRY_MS, [this, job] { placeByOracle(job); });
        else
            start(job, least);
    }

    TimeMs maxWaitOf(const Job& job) const
    {
        return static_cast<TimeMs>(
            absl::GetFlag(FLAGS_wait_factor) * static_cast<double>(kinds()[job.turn.kind].warmWaitMs));
    }

    void requestTicket(const JobPtr& job)
    {
        job->choice = choosePlacement(view(job->daemon), job->query, random_);
        if (job->choice.engine == NO_NODE) {
            job->query.tried.clear();
            job->query.preferredEngine = NO_NODE;
            schedule(now_ + 50, [this, job] { requestTicket(job); });
            return;
        }
        job->ticket = nextTicket_++;
        pending_[job->ticket] = job;
        const int engine = indexOf_[job->choice.engine];
        const TimeMs hop = owners_[static_cast<std::size_t>(engine)] == job->daemon ? 0 : HOP_MS;
        const TimeMs wait = job->choice.isWarm ? maxWaitOf(*job) : job->denials >= 3 ? 2000 : 0;
        schedule(now_ + hop, [this, job, wait, engine] {
            controllerOf(engine).submit({ job->choice.engine, 1, job->ticket,
                                            static_cast<std::uint64_t>(job->turn.workspace), 1, 1, wait, false },
                now_);
        });
    }

    void onDecision(const AdmissionDecision& decision)
    {
        const JobPtr job = pending_.at(decision.ticket);
        pending_.erase(decision.ticket);
        const int engine = indexOf_[decision.engine];
        const TimeMs hop = owners_[static_cast<std::size_t>(engine)] == job->daemon ? 0 : HOP_MS;
        schedule(now_ + hop, [this, job, decision, engine] {
            if (decision.granted) {
                start(job, engine);
                return;
            }
            ++job->denials;
            job->query.tried.push_back(decision.engine);
            requestTicket(job);
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
        lastEngines_[job->turn.chat] = keys_[static_cast<std::size_t>(engineIndex)];
        changeLoad(engineIndex, +1);
        const TimeMs prefill = static_cast<TimeMs>((prompt - warm) * PREFILL_MS_PER_TOKEN);
        const TimeMs left = job->epoch == 0 ? job->turn.parts * PART_MS : std::max<TimeMs>(job->endsAt - now_, 0);
        job->endsAt = now_ + prefill + left;
        runningJobs_[engineIndex].push_back(job);
        schedule(job->endsAt, [this, job, epoch = job->epoch] {
            if (job->epoch == epoch)
                finish(job, true);
        });
    }

    void finish(const JobPtr& job, bool isComplete)
    {
        auto& engine = engines_[static_cast<std::size_t>(job->engine)];
        if (isComplete)
            engine.put(job->turn.chat, job->turn.historyTokens + job->turn.userTokens + answerTokens(job->turn.parts),
                capacity_);
        auto& list = runningJobs_[job->engine];
        list.erase(std::find(list.begin(), list.end(), job));
        changeLoad(job->engine, -1);
        const NodeKey key = keys_[static_cast<std::size_t>(job->engine)];
        if (policy_ == "chosen")
            controllerOf(job->engine).release(key, 1, job->ticket, now_);
        else if (policy_ != "oracle")
            view(job->daemon).setLoad(key, std::max(0, view(job->daemon).find(key)->load - 1), now_);
    }

    void changeLoad(int engine, int by)
    {
        auto& running = engines_[static_cast<std::size_t>(engine)].running;
        running += by;
        changes_.push_back({ now_, engine, running, by > 0 });
    }

    /// Broadcasts engine loads: exact ones from the owners for the policy `chosen`, reports of the engines otherwise.
    void broadcastLoads()
    {
        for (int d = 0; d < DAEMONS; ++d)
            broadcastOwnedLoads(d);
    }

    void broadcastOwnedLoads(int sender)
    {
        int sum = 0;
        for (int e = 0; e < ENGINES; ++e) {
            if (owners_[static_cast<std::size_t>(e)] != sender)
                continue;
            const int load = engines_[static_cast<std::size_t>(e)].running;
            sum += load;
            for (int d = 0; d < DAEMONS; ++d) {
                if (policy_ == "chosen" && d == sender)
                    continue;
                schedule(now_ + HOP_MS,
                    [this, d, e, load] { view(d).setLoad(keys_[static_cast<std::size_t>(e)], load, now_); });
            }
        }
        broadcastSums_[sender] = sum;
    }

    /// Broadcasts immediately from owners whose load has fallen by much, since the bound falls with the mean.
    void broadcastFalls()
    {
        for (int d = 0; d < DAEMONS; ++d) {
            int sum = 0;
            for (int e = 0; e < ENGINES; ++e)
                sum += owners_[static_cast<std::size_t>(e)] == d ? engines_[static_cast<std::size_t>(e)].running : 0;
            if (sum <= absl::GetFlag(FLAGS_urgent_share) * broadcastSums_[d] && sum < broadcastSums_[d])
                broadcastOwnedLoads(d);
        }
    }

    void tick()
    {
        for (const auto& controller : controllers_)
            controller->tick(now_);
        broadcastFalls();
        if (!absl::GetFlag(FLAGS_move))
            return;
        for (const auto& controller : controllers_) {
            for (const auto& [key, holder] : controller->overloaded())
                moveOne(indexOf_[key]);
        }
    }

    void moveOne(int from)
    {
        const int owner = owners_[static_cast<std::size_t>(from)];
        const int target = indexOf_[view(owner).leastLoaded(
            "m", { keys_[static_cast<std::size_t>(from)] }, LEAST_LOADED_SAMPLES, random_)];
        if (runningJobs_[from].empty()
            || engines_[static_cast<std::size_t>(target)].running + 1
                >= engines_[static_cast<std::size_t>(from)].running)
            return;
        const JobPtr job = runningJobs_[from].back();
        ++moves_;
        finish(job, false);
        ++job->epoch;
        job->choice.engine = keys_[static_cast<std::size_t>(target)];
        job->ticket = nextTicket_++;
        pending_[job->ticket] = job;
        controllerOf(target).submit({ job->choice.engine, 1, job->ticket, 1, 1, 1, 500, false }, now_);
    }

    std::string policy_;
    const std::vector<Turn>& turns_;
    std::mt19937_64 random_;
    std::vector<FakeEngine> engines_;
    long long capacity_;
    Ownership ownership_;
    std::vector<NodeKey> keys_;
    std::unordered_map<NodeKey, int> indexOf_;
    std::vector<int> owners_;
    std::vector<std::unique_ptr<LoadView>> views_;
    std::vector<std::unique_ptr<AdmissionController>> controllers_;
    std::map<TicketId, JobPtr> pending_;
    std::map<int, std::vector<JobPtr>> runningJobs_;
    std::map<int, NodeKey> lastEngines_;
    int broadcastSums_[DAEMONS] = {};
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
