#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <atomic>
#include <thread>

using namespace goldcrestcleat::harness;
using nlohmann::json;

namespace {

constexpr int OUTAGE_MS = 60'000;
constexpr int RECOVERY_MS = 5'000; // specified time until normal service

int countPeersUp(Rig& rig, int daemon)
{
    const json status = rig.admin(daemon, "GET", "/admin/status").json();
    int up = 0;
    for (const auto& row : status["daemons"])
        up += !row.value("self", false) && row["up"].get<bool>();
    return up;
}

bool allUpstreamsTakeWork(Rig& rig, int daemon)
{
    const json status = rig.admin(daemon, "GET", "/admin/status").json();
    for (const auto& upstream : status["upstreams"]) {
        if (!upstream["takesWork"].get<bool>())
            return false;
    }
    return true;
}

} // namespace

Test(silence, a_platform_outage_of_a_minute_affects_only_confirmations_and_needs_no_intervention)
{
    Rig rig({});
    rig.start();
    cr_assert_eq(rig.callService(0, "POST", "/confirm", "before", "{}").status, 200);
    rig.setPlatformFaults({ { "down", 1 } });
    for (int elapsedMs = 0, i = 0; elapsedMs < OUTAGE_MS; elapsedMs += 500, ++i) {
        Chat chat = rig.chat("outage" + std::to_string(i));
        const std::string expected = chat.expectedAnswer("hello", 3);
        const auto answer = chat.send(rig.callerAddress(i % 5), "hello", 3);
        cr_assert(
            answer.isComplete && answer.text == expected, "chat %d: %d code %d", i, answer.status, answer.errorCode);
        const std::string key = "outage" + std::to_string(i);
        const auto rejected = rig.callService(i % 5, "POST", "/confirm", key, "{}");
        cr_assert_eq(rejected.errorCode(), 4001, "%s", rejected.body.c_str());
        cr_assert(rejected.executed() == "no");
        cr_assert_eq(rig.callService(i % 5, "GET", "/rota", "").status, 200);
        sleepMs(450);
    }
    rig.setPlatformFaults({ { "down", 0 } });
    cr_assert(
        waitUntil([&] { return rig.callService(2, "POST", "/confirm", "outage0", "{}").status == 200; }, RECOVERY_MS));
    const auto runs = rig.runsByKey();
    cr_assert_eq(runs.size(), 2, "a call during the outage ran");
    cr_assert_eq(rig.callService(4, "POST", "/confirm", "before", "{}").headers.count("X-Idempotent-Replay"), 1);
}

Test(silence, peers_reconnect_after_their_connections_became_unresponsive)
{
    RigOptions options;
    options.relays = true;
    Rig rig(options);
    rig.start();
    for (int i = 0; i < 5; ++i) {
        for (int j = i + 1; j < 5; ++j)
            rig.peerRelay(i, j).blackholeConnections();
        rig.platformRelay(i).blackholeConnections();
    }
    sleepMs(2'500); // longer than the time after which a peer counts as unresponsive
    cr_assert(rig.waitForFleet(4, RECOVERY_MS));
    cr_assert_eq(rig.callService(0, "POST", "/confirm", "again", "{}").status, 200,
        "the platform was not reached over a new connection");
}

Test(silence, engines_stay_in_use_after_their_connections_became_unresponsive)
{
    RigOptions options;
    options.relays = true;
    options.engineFaults = { { "tokenMs", 20 } };
    options.settings = { { "profiles",
        json::array({ { { "name", "default" }, { "firstTokenMs", 800 }, { "stallMs", 400 }, { "retries", 4 } } }) } };
    Rig rig(options);
    rig.start();
    std::atomic<int> failures { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([&, i] {
            Chat chat = rig.chat("silent" + std::to_string(i));
            const std::string expected = chat.expectedAnswer("hello", 50);
            const auto answer = chat.send(rig.callerAddress(i % 5), "hello", 50);
            failures += !(answer.isComplete && answer.text == expected);
        });
    }
    sleepMs(400);
    for (int i = 0; i < 4; ++i)
        rig.engineRelay(i).blackholeConnections();
    for (auto& caller : callers)
        caller.join();
    cr_assert_eq(failures, 0, "%d answers were incomplete or wrong", failures.load());
    for (int daemon = 0; daemon < 5; ++daemon)
        cr_assert(allUpstreamsTakeWork(rig, daemon), "daemon %d does not use a healthy upstream", daemon);
}

Test(silence, a_daemon_disconnected_from_its_peers_keeps_serving_and_rejoins)
{
    RigOptions options;
    options.relays = true;
    Rig rig(options);
    rig.start();
    rig.setPeerRelayMode(2, RelayMode::Blackhole);
    cr_assert(waitUntil([&] { return countPeersUp(rig, 2) == 0; }));
    for (int i = 0; i < 5; ++i) {
        Chat chat = rig.chat("cut" + std::to_string(i));
        cr_assert(chat.send(rig.callerAddress(i), "hello", 3).isComplete, "daemon %d", i);
        cr_assert_eq(rig.callService(i, "POST", "/confirm", "cut" + std::to_string(i), "{}").status, 200);
    }
    rig.setPeerRelayMode(2, RelayMode::Open);
    cr_assert(rig.waitForFleet(4, RECOVERY_MS));
}
