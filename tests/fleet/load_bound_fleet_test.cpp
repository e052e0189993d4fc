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
constexpr TimeMs BACK_WITHIN_MS = 2'000; // the stated time under the bound after a fault
constexpr int CALM_MS = 3'000;

TimeMs steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

/// Callers that keep returning to their chats, each at a daemon that works.
class Crowd {
public:
    explicit Crowd(Rig& rig)
    {
        for (int i = 0; i < CALLERS; ++i) {
            threads_.emplace_back([this, &rig, i] {
                for (int round = 0; !stop_; ++round) {
                    Chat chat = rig.chat("crowd" + std::to_string(i) + "-" + std::to_string(round));
                    for (int turn = 0; turn < 4 && !stop_; ++turn) {
                        const auto answer
                            = chat.send(rig.callerAddress((i + round + turn) % 5), "turn " + std::to_string(turn), 20);
                        whole_ += answer.isComplete;
                    }
                }
            });
        }
    }

    ~Crowd()
    {
        stop_ = true;
        for (auto& thread : threads_)
            thread.join();
    }

    int whole() const { return whole_; }

private:
    std::atomic<bool> stop_ { false };
    std::atomic<int> whole_ { 0 };
    std::vector<std::thread> threads_;
};

bench::Skew skewOf(const Rig& rig, TimeMs from, TimeMs to)
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
    std::function<void(Rig&)> begin;
    std::function<void(Rig&)> end;
    int lengthMs;
};

} // namespace

Test(load_bound, holds_in_calm_and_returns_soon_after_each_fault)
{
    const std::vector<Fault> faults = {
        { "a daemon is killed", [](Rig& rig) { rig.daemon(1).kill(); }, [](Rig& rig) { rig.startDaemon(1); }, 2'000 },
        { "a daemon is frozen for 10 s", [](Rig& rig) { rig.daemon(2).suspend(); },
            [](Rig& rig) { rig.daemon(2).resume(); }, 10'000 },
        { "a daemon is cut from its peers", [](Rig& rig) { rig.setPeerRelayMode(3, RelayMode::Blackhole); },
            [](Rig& rig) { rig.setPeerRelayMode(3, RelayMode::Open); }, 4'000 },
        { "reports are two seconds late",
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
    Crowd crowd(rig);
    sleepMs(500);
    for (const auto& fault : faults) {
        const TimeMs calmFrom = steadyMs();
        sleepMs(CALM_MS);
        const auto calm = skewOf(rig, calmFrom, steadyMs());
        cr_assert_gt(calm.meanLoad, 1.0, "too little load to prove anything");
        cr_assert_eq(
            calm.placementBreaches, 0, "before: %s: %d placements above the bound", fault.name, calm.placementBreaches);
        const TimeMs begunAt = steadyMs();
        fault.begin(rig);
        sleepMs(fault.lengthMs);
        fault.end(rig);
        cr_assert(rig.waitForFleet(4), "after: %s", fault.name);
        const auto during = skewOf(rig, begunAt, steadyMs());
        cr_assert_leq(during.longestBreachMs, BACK_WITHIN_MS, "%s: over the bound for %lld ms", fault.name,
            static_cast<long long>(during.longestBreachMs));
        std::printf("%s: %d of %d samples over, %d by placing, longest %lld ms\n", fault.name, during.breaches,
            during.samples, during.placementBreaches, static_cast<long long>(during.longestBreachMs));
        sleepMs(static_cast<int>(BACK_WITHIN_MS));
    }
    cr_assert_gt(crowd.whole(), 100);
}
