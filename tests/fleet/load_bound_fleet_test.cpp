#include "bench/Measures.h"
#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <atomic>
#include <chrono>
#include <thread>

using namespace goldcrestcleat::harness;
using bench::TimeMs;
using nlohmann::json;

namespace {

constexpr int ENGINES = 10;
constexpr int CALLERS = 40;
constexpr TimeMs MAX_BREACH_MS = 2'000; // specified limit of the time above the bound after a fault
constexpr int FAULT_FREE_MS = 3'000;

TimeMs steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Callers that send successive turns of their chats to alternating daemons.
class CallerGroup {
public:
    explicit CallerGroup(Rig& rig)
    {
        for (int i = 0; i < CALLERS; ++i) {
            threads_.emplace_back([this, &rig, i] {
                for (int round = 0; !isStopping_; ++round) {
                    Chat chat = rig.chat("crowd" + std::to_string(i) + "-" + std::to_string(round));
                    for (int turn = 0; turn < 4 && !isStopping_; ++turn) {
                        const auto answer
                            = chat.send(rig.callerAddress((i + round + turn) % 5), "turn " + std::to_string(turn), 20);
                        completed_ += answer.isComplete;
                    }
                }
            });
        }
    }

    ~CallerGroup()
    {
        isStopping_ = true;
        for (auto& thread : threads_)
            thread.join();
    }

    int completed() const { return completed_; }

private:
    std::atomic<bool> isStopping_ { false };
    std::atomic<int> completed_ { 0 };
    std::vector<std::thread> threads_;
};

bench::Skew measureSkew(const Rig& rig, TimeMs from, TimeMs to)
{
    std::vector<bench::LoadChange> changes;
    for (int e = 0; e < ENGINES; ++e) {
        for (const auto& line : rig.truth(Rig::engineId(e)))
            changes.push_back({ line["t"], e, line["running"], line["event"] == "start" });
    }
    return bench::computeSkew(changes, ENGINES, from, to, [](int, TimeMs) { return true; });
}

struct Fault {
    const char* name;
    std::function<void(Rig&)> inject;
    std::function<void(Rig&)> undo;
    int durationMs;
};

} // namespace

Test(load_bound, holds_without_faults_and_recovers_soon_after_each_fault)
{
    const std::vector<Fault> faults = {
        { "a daemon is killed", [](Rig& rig) { rig.daemon(1).kill(); }, [](Rig& rig) { rig.startDaemon(1); }, 2'000 },
        { "a daemon is frozen for 10 s", [](Rig& rig) { rig.daemon(2).suspend(); },
            [](Rig& rig) { rig.daemon(2).resume(); }, 10'000 },
        { "a daemon is disconnected from its peers", [](Rig& rig) { rig.setPeerRelayMode(3, RelayMode::Blackhole); },
            [](Rig& rig) { rig.setPeerRelayMode(3, RelayMode::Open); }, 4'000 },
        { "load reports are two seconds old",
            [](Rig& rig) {
                for (int e = 0; e < ENGINES; ++e)
                    rig.setEngineFaults(e, { { "reportLagMs", 2000 } });
            },
            [](Rig&) {}, 3'000 },
    };
    RigOptions options;
    options.engines = ENGINES;
    options.relays = true;
    options.engineFaults = { { "tokenMs", 10 } };
    Rig rig(options);
    rig.start();
    CallerGroup callers(rig);
    sleepMs(500);
    for (const auto& fault : faults) {
        const TimeMs faultFreeFrom = steadyMs();
        sleepMs(FAULT_FREE_MS);
        const auto faultFree = measureSkew(rig, faultFreeFrom, steadyMs());
        cr_assert_gt(faultFree.meanLoad, 1.0, "the load is too low for a meaningful test");
        cr_assert_eq(faultFree.placementBreaches, 0, "before the fault '%s': %d placements above the bound", fault.name,
            faultFree.placementBreaches);
        const TimeMs startedAt = steadyMs();
        fault.inject(rig);
        sleepMs(fault.durationMs);
        fault.undo(rig);
        cr_assert(rig.waitForFleet(4), "the fleet did not recover from the fault '%s'", fault.name);
        const auto during = measureSkew(rig, startedAt, steadyMs());
        cr_assert_leq(during.longestBreachMs, MAX_BREACH_MS, "%s: above the bound for %lld ms", fault.name,
            static_cast<long long>(during.longestBreachMs));
        std::printf("%s: %d of %d samples above the bound, %d placements above the bound, longest %lld ms\n",
            fault.name, during.breaches, during.samples, during.placementBreaches,
            static_cast<long long>(during.longestBreachMs));
        sleepMs(static_cast<int>(MAX_BREACH_MS));
    }
    cr_assert_gt(callers.completed(), 100);
}
