#include "Workload.h"

#include <criterion/criterion.h>

#include <atomic>
#include <cstdlib>
#include <thread>

using namespace goldcrestcleat::harness;
using namespace testing;
using nlohmann::json;

namespace {

constexpr int STEPS = 60;
constexpr int STEP_MS = 100;
constexpr int RECOVERY_MS = 5'000; // specified time until normal service after the last fault
constexpr int APPLY_TIMEOUT_MS = 8'000; // specified time until a profile applies at all daemons
constexpr int DAEMONS = 5;
constexpr int ENGINES = 6;
constexpr int PUBLISH_TIMEOUT_MS = 300; // the daemon may be frozen
constexpr int CONFIRM_PAUSE_MS = 20; // limits the number of records, since rejections are returned immediately

/// Injects a random fault on each call of `step`; `undoAll` reverts them.
class FaultInjector {
public:
    FaultInjector(Rig& rig, std::uint64_t seed)
        : rig_(rig)
        , random_(seed)
    {
    }

    void step(int number)
    {
        const int daemon = randomBelow(DAEMONS);
        const int engine = randomBelow(ENGINES);
        switch (randomBelow(16)) {
        case 0:
            if (runningDaemons() > 2)
                kill(daemon);
            break;
        case 1:
            rig_.daemon(daemon).suspend();
            frozen_.insert(daemon);
            break;
        case 2:
            resumeAll();
            break;
        case 3:
            restartDaemons();
            break;
        case 4:
            rig_.engine(engine).kill();
            break;
        case 5:
        case 6:
            restartEngines();
            break;
        case 7:
            rig_.setPlatformFaults({ { "down", 1 } });
            break;
        case 8:
            rig_.setPlatformFaults({ { "down", 0 }, { "silent", 0 }, { "delayMs", randomBelow(100) } });
            break;
        case 9:
            rig_.setPlatformFaults({ { "dropReplyNext", 1 + randomBelow(3) } });
            break;
        case 10:
            rig_.setPeerRelayMode(daemon, randomBelow(2) ? RelayMode::Blackhole : RelayMode::Closed);
            break;
        case 11:
            reconnectPeers();
            break;
        case 12:
            rig_.engineRelay(engine).blackholeConnections();
            rig_.platformRelay(daemon).blackholeConnections();
            break;
        case 13:
            rig_.setServiceFaults(randomBelow(2), { { randomBelow(2) ? "dropReplyNext" : "crossNext", 1 } });
            break;
        case 14:
            rig_.setEngineFaults(
                engine, { { randomBelow(2) ? "crossNext" : "truncateStreams", 1 }, { "truncateAfter", 4 } });
            break;
        default:
            publish(daemon, number);
            break;
        }
    }

    /// Returns a description of each daemon that exited without having been killed.
    const std::vector<std::string>& crashes() const { return crashes_; }

    void undoAll()
    {
        resumeAll();
        reconnectPeers();
        rig_.setPlatformFaults({ { "down", 0 }, { "silent", 0 }, { "delayMs", 0 }, { "dropReplyNext", 0 } });
        for (int i = 0; i < 2; ++i)
            rig_.setServiceFaults(i, { { "dropReplyNext", 0 }, { "crossNext", 0 } });
        restartEngines();
        for (int i = 0; i < ENGINES; ++i)
            rig_.setEngineFaults(i, { { "crossNext", 0 }, { "truncateStreams", 0 } });
        restartDaemons();
    }

private:
    void kill(int daemon)
    {
        if (!rig_.daemon(daemon).isRunning())
            return;
        rig_.daemon(daemon).kill();
        killed_.insert(daemon);
        frozen_.erase(daemon);
    }

    void publish(int daemon, int number)
    {
        const json body = { { "profile", { { "name", "mix" }, { "deadlineMs", 1000 + number } } },
            { "changeId", "mix" + std::to_string(number) } };
        call(rig_.adminAddress(daemon), "POST", "/admin/profiles", body.dump(),
            { { "Authorization", "Bearer " + Rig::operatorToken() } }, PUBLISH_TIMEOUT_MS);
    }

    int randomBelow(int count) { return static_cast<int>(random_() % static_cast<std::uint64_t>(count)); }

    int runningDaemons()
    {
        int running = 0;
        for (int i = 0; i < DAEMONS; ++i)
            running += rig_.daemon(i).isRunning() && frozen_.count(i) == 0;
        return running;
    }

    void resumeAll()
    {
        for (const int daemon : frozen_)
            rig_.daemon(daemon).resume();
        frozen_.clear();
    }

    void restartDaemons()
    {
        for (int i = 0; i < DAEMONS; ++i) {
            if (rig_.daemon(i).isRunning())
                continue;
            if (killed_.erase(i) == 0)
                crashes_.push_back(Rig::vmId(i) + " exited unexpectedly with status "
                    + std::to_string(rig_.daemon(i).waitForExit(0)) + ": " + rig_.lastLogLine(i));
            rig_.startDaemon(i);
        }
    }

    void restartEngines()
    {
        for (int i = 0; i < ENGINES; ++i) {
            if (!rig_.engine(i).isRunning())
                rig_.startEngine(i, json::object());
        }
    }

    void reconnectPeers()
    {
        for (int i = 0; i < DAEMONS; ++i)
            rig_.setPeerRelayMode(i, RelayMode::Open);
    }

    Rig& rig_;
    std::mt19937_64 random_;
    std::set<int> frozen_;
    std::set<int> killed_;
    std::vector<std::string> crashes_;
};

int profileVersion(Rig& rig, int daemon)
{
    const json answer = call(rig.adminAddress(daemon), "GET", "/admin/profiles", "",
        { { "Authorization", "Bearer " + Rig::operatorToken() } }, 300)
                            .json();
    if (!answer.is_object() || !answer.contains("profiles"))
        return -1;
    for (const auto& profile : answer["profiles"]) {
        if (profile["name"] == "mix")
            return profile["version"];
    }
    return 0;
}

/// Returns the last message of each conversation that an engine started to answer.
std::set<std::string> startedMessages(Rig& rig)
{
    std::set<std::string> started;
    for (int i = 0; i < ENGINES; ++i) {
        for (const auto& line : rig.truth(Rig::engineId(i))) {
            if (line["event"] == "start")
                started.insert(line["text"].get<std::string>());
        }
    }
    return started;
}

/// Runs the workload under the faults of one seed and returns all violations.
std::vector<std::string> runMix(std::uint64_t seed)
{
    RigOptions options;
    options.engines = ENGINES;
    options.relays = true;
    options.settings = { { "profiles",
        json::array({ { { "name", "default" }, { "firstTokenMs", 1000 }, { "stallMs", 500 }, { "deadlineMs", 5000 },
            { "retries", 4 } } }) } };
    Rig rig(options);
    rig.start();
    Workload workload(rig);
    FaultInjector faults(rig, seed);
    std::atomic<bool> stop { false };
    std::atomic<int> number { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 6; ++i) {
        callers.emplace_back([&, i] {
            while (!stop) {
                const int callNumber = number++;
                if (i % 2) {
                    workload.confirm(callNumber, callNumber % DAEMONS);
                    sleepMs(CONFIRM_PAUSE_MS);
                } else {
                    workload.sendChat(callNumber, callNumber % DAEMONS);
                }
            }
        });
    }
    for (int step = 0; step < STEPS; ++step) {
        faults.step(step);
        sleepMs(STEP_MS);
    }
    faults.undoAll();
    std::vector<std::string> violations;
    if (!rig.waitForFleet(DAEMONS - 1, RECOVERY_MS))
        violations.push_back("the fleet did not recover in time");
    faults.undoAll(); // restarts daemons that have exited since, and records them
    stop = true;
    for (auto& caller : callers)
        caller.join();
    const auto versionsAgree = [&] {
        const int first = profileVersion(rig, 0);
        for (int i = 1; i < DAEMONS; ++i) {
            if (profileVersion(rig, i) != first)
                return false;
        }
        return first >= 0;
    };
    if (!waitUntil(versionsAgree, APPLY_TIMEOUT_MS))
        violations.push_back("daemons have different versions of a profile");
    Workload after(rig);
    for (int i = 0; i < 10; ++i) {
        after.sendChat(1'000'000 + i, i % DAEMONS, true);
        after.confirm(1'000'000 + i, i % DAEMONS);
    }
    const auto runs = rig.runsByKey();
    const auto started = startedMessages(rig);
    const auto countRuns = [&](const std::string& key) { return runs.count(key) ? runs.at(key) : 0; };
    const auto wasStarted = [&](const std::string& text) { return started.count(text) > 0; };
    for (const Workload* phase : { &workload, &after }) {
        for (const auto& violation : checkKeys(phase->keys(), countRuns))
            violations.push_back(violation);
        for (const auto& violation : checkChats(phase->chats(), wasStarted))
            violations.push_back(violation);
    }
    for (const auto& chat : after.chats()) {
        if (!chat.isComplete)
            violations.push_back(chat.text + " was not served after the recovery: " + chat.failure);
    }
    for (const auto& key : after.keys()) {
        if (key.bodies.size() != 1)
            violations.push_back(key.key + " was not served after the recovery");
    }
    for (const auto& crash : faults.crashes())
        violations.push_back(crash);
    std::size_t completed = 0;
    for (const auto& chat : workload.chats())
        completed += chat.isComplete;
    std::printf("seed %llu: %zu keys, %zu chats of which %zu complete, %zu violations\n",
        static_cast<unsigned long long>(seed), workload.keys().size(), workload.chats().size(), completed,
        violations.size());
    std::fflush(stdout);
    return violations;
}

} // namespace

Test(mixed_faults, guarantees_hold_under_seeded_fault_mixes)
{
    // MIX_SEED and MIX_COUNT select other seeds, for example for a longer run.
    const char* firstText = std::getenv("MIX_SEED");
    const char* countText = std::getenv("MIX_COUNT");
    const std::uint64_t first = firstText ? std::strtoull(firstText, nullptr, 10) : 1;
    const std::uint64_t count = countText ? std::strtoull(countText, nullptr, 10) : 3;
    std::size_t total = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        for (const auto& violation : runMix(seed)) {
            std::printf("seed %llu: %s\n", static_cast<unsigned long long>(seed), violation.c_str());
            ++total;
        }
    }
    cr_assert_eq(total, 0, "%zu violations", total);
}
