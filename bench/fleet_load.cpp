#include "bench/Measures.h"
#include "bench/Trace.h"
#include "bench/TracePlayer.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <thread>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the trace");
ABSL_FLAG(int, seconds, 40, "length of the trace");
ABSL_FLAG(double, rate, 30, "new chats per second");
ABSL_FLAG(std::vector<std::string>, policies,
    std::vector<std::string>({ "random", "least-loaded", "hashing", "bounded-hashing", "fleet" }),
    "routing policies to compare; all except fleet call the engines directly");
ABSL_FLAG(std::string, churn, "none", "faults to inject: none, engines, daemons, reports or all");
ABSL_FLAG(double, reuse_weight, 0.5, "weight of warm context against even load in the routing of the fleet");
ABSL_FLAG(double, admit, 1.10, "admit factor of the fleet");
ABSL_FLAG(double, cache_share, 0.33, "share of all contexts that fits into the caches of the engines");
ABSL_FLAG(int, report_lag_ms, 300, "delay of the load reports of the engines");

/// Load test of real processes: 5 daemons, 20 stand-in engines and one caller, measured from the truth logs of the
/// engines.

namespace {

using namespace bench;
using namespace goldcrestcleat;
using nlohmann::json;

constexpr int ENGINES = TracePlayer::ENGINES;
constexpr int DAEMONS = TracePlayer::DAEMONS;
constexpr TimeMs PART_MS = 20;

TimeMs steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// A period in which an engine was not running.
struct Outage {
    int engine;
    TimeMs from;
    TimeMs to;
};

/// Kills, suspends and restarts processes while the trace is running.
class Churn {
public:
    Churn(harness::Rig& rig, loop::EventLoop& eventLoop, TimeMs lengthMs, const std::string& kind, json engineFaults)
        : rig_(rig)
        , loop_(eventLoop)
        , engineFaults_(std::move(engineFaults))
    {
        const bool all = kind == "all";
        const auto at = [&](double share, std::function<void()> task) {
            loop_.after(static_cast<TimeMs>(share * static_cast<double>(lengthMs)), std::move(task));
        };
        if (all || kind == "engines") {
            at(0.15, [this] { stopEngine(3); });
            at(0.25, [this] { restartEngine(3); });
            at(0.45, [this] { stopEngine(7); });
            at(0.50, [this] { restartEngine(7); });
            at(0.55, [this] { stopEngine(7); }); // flaps
            at(0.65, [this] { restartEngine(7); });
        }
        if (all || kind == "daemons") {
            at(0.30, [this] { rig_.daemon(1).kill(); });
            at(0.38, [this] { rig_.startDaemon(1); });
            at(0.75, [this] { rig_.daemon(3).suspend(); });
            at(0.85, [this] { rig_.daemon(3).resume(); });
        }
    }

    const std::vector<Outage>& outages() const { return outages_; }

private:
    void stopEngine(int engine)
    {
        rig_.engine(engine).kill();
        outages_.push_back({ engine, loop_.now(), loop_.now() + 3'600'000 });
    }

    void restartEngine(int engine)
    {
        rig_.startEngine(engine, engineFaults_);
        for (auto& outage : outages_) {
            if (outage.engine == engine && outage.to > loop_.now())
                outage.to = steadyMs();
        }
    }

    harness::Rig& rig_;
    loop::EventLoop& loop_;
    json engineFaults_;
    std::vector<Outage> outages_;
};

struct TruthSummary {
    std::vector<LoadChange> changes;
    long long warm = 0;
    long long prefix = 0;
};

TruthSummary readTruth(const harness::Rig& rig, const std::vector<Outage>& outages)
{
    TruthSummary summary;
    for (int e = 0; e < ENGINES; ++e) {
        for (const auto& line : rig.truth(harness::Rig::engineId(e))) {
            if (line["event"] != "start" && line["event"] != "end")
                continue;
            const bool isStart = line["event"] == "start";
            summary.changes.push_back({ line["t"], e, line["running"], isStart });
            if (!isStart || line["turns"] == 1 || line["position"] != 0)
                continue;
            const long long prefix = line["prompt"].get<long long>() - line["last"].get<long long>();
            summary.prefix += prefix;
            summary.warm += std::min(line["warm"].get<long long>(), prefix);
        }
    }
    for (const Outage& outage : outages)
        summary.changes.push_back({ outage.from, outage.engine, 0, false });
    return summary;
}

/// Prints the control traffic of the fleet by kind, in bytes per second and daemon since the start of the daemons.
void printTraffic(const harness::Rig& rig, double seconds)
{
    std::printf("%-16s traffic", "");
    for (const char* kind :
        { "peer", "probe", "platform", "peer-sent-ask", "peer-sent-verdict", "peer-sent-release", "peer-sent-loads",
            "peer-sent-roster", "peer-sent-remember", "peer-sent-held", "peer-sent-move", "peer-sent-config" }) {
        double total = 0;
        for (int d = 0; d < DAEMONS; ++d)
            total += rig.metric(d, std::string("goldcrestcleat_control_bytes_total{kind=\"") + kind + "\"}");
        std::printf(" %s %.0f", kind, total / seconds / DAEMONS);
    }
    std::printf("\n");
}

double controlBytes(const harness::Rig& rig)
{
    double total = 0;
    for (int d = 0; d < DAEMONS; ++d) {
        for (const char* kind : { "peer", "probe", "platform" })
            total += rig.metric(d, std::string("goldcrestcleat_control_bytes_total{kind=\"") + kind + "\"}");
    }
    return total;
}

void runPolicy(const std::string& policy, const std::vector<Turn>& turns)
{
    harness::RigOptions options;
    options.daemons = DAEMONS;
    options.engines = ENGINES;
    options.services = 4;
    options.workspaces = 10;
    const auto capacity = static_cast<long long>(
        absl::GetFlag(FLAGS_cache_share) * static_cast<double>(contextTokens(turns)) / ENGINES);
    options.engineFaults = { { "tokenMs", PART_MS }, { "cacheTokens", capacity },
        { "reportLagMs", absl::GetFlag(FLAGS_report_lag_ms) } };
    json profiles = json::array();
    for (const auto& kind : kinds())
        profiles.push_back({ { "name", kind.name }, { "warmWaitMs", kind.warmWaitMs }, { "retries", 3 } });
    options.settings = { { "profiles", profiles },
        { "routing",
            { { "reuseWeight", absl::GetFlag(FLAGS_reuse_weight) }, { "admitFactor", absl::GetFlag(FLAGS_admit) } } },
        { "logLevel", "warn" } };
    harness::Rig rig(options);
    rig.start();
    TracePlayer player(rig, turns, policy, absl::GetFlag(FLAGS_seed));
    const TimeMs lengthMs = turns.back().at;
    Churn churn(rig, player.eventLoop(), lengthMs, policy == "fleet" ? absl::GetFlag(FLAGS_churn) : "none",
        options.engineFaults);
    const double bytesBefore = controlBytes(rig);
    const TimeMs before = steadyMs();
    const Outcome outcome = player.play();
    const double seconds = static_cast<double>(steadyMs() - before) / 1000;
    const double perDaemon = (controlBytes(rig) - bytesBefore) / seconds / DAEMONS;
    long long cpuMs = 0;
    for (int d = 0; d < DAEMONS; ++d)
        cpuMs += harness::cpuMsOf(rig.daemon(d).pid());
    const auto truth = readTruth(rig, churn.outages());
    const TimeMs from = player.startedAt() + lengthMs / 10;
    const auto isLive = [&](int engine, TimeMs at) {
        return std::none_of(churn.outages().begin(), churn.outages().end(),
            [&](const Outage& outage) { return outage.engine == engine && at >= outage.from && at < outage.to; });
    };
    const Skew skew = computeSkew(truth.changes, ENGINES, from, player.startedAt() + lengthMs, isLive);
    std::printf("%-16s reuse %.3f  breaches %d/%d placing %d longest %lld ms  skew p50 %.2f p99 %.2f max %.2f  mean "
                "load %.1f\n",
        policy.c_str(), truth.prefix ? static_cast<double>(truth.warm) / static_cast<double>(truth.prefix) : 0,
        skew.breaches, skew.samples, skew.placementBreaches, static_cast<long long>(skew.longestBreachMs), skew.p50,
        skew.p99, skew.highest, skew.meanLoad);
    std::printf("%-16s whole %d wrong %d failed %d refused-or-broken %d  first part p50 %.0f p99 %.0f ms  control %.0f "
                "B/s a daemon  cpu %lld ms\n",
        "", outcome.completed, outcome.wrong, outcome.failed, outcome.failedAttempts,
        percentile(outcome.firstPartMs, 0.5), percentile(outcome.firstPartMs, 0.99), policy == "fleet" ? perDaemon : 0,
        cpuMs);
    if (policy == "fleet")
        printTraffic(rig, seconds);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    TraceOptions options;
    options.seed = absl::GetFlag(FLAGS_seed);
    options.seconds = absl::GetFlag(FLAGS_seconds);
    options.chatsPerSecond = absl::GetFlag(FLAGS_rate);
    const auto turns = makeTrace(options);
    std::printf("seed %llu, %zu turns in %d s, churn %s\n", static_cast<unsigned long long>(options.seed), turns.size(),
        options.seconds, absl::GetFlag(FLAGS_churn).c_str());
    for (const auto& policy : absl::GetFlag(FLAGS_policies))
        runPolicy(policy, turns);
    return 0;
}
