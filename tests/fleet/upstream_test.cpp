#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <future>

using namespace goldcrestcleat::harness;
using nlohmann::json;

namespace {

constexpr int LEAVE_TIMEOUT_MS = 3'000; // specified time until a leaving upstream gets no new requests

/// Waits `allowedMs`, then sends chats for `durationMs` and returns the number of requests that the engine started.
int countStartsAfter(Rig& rig, int engine, int allowedMs, int durationMs, const std::vector<int>& daemons)
{
    sleepMs(allowedMs);
    const auto before = rig.truth(Rig::engineId(engine)).size();
    for (int sent = 0, elapsedMs = 0; elapsedMs < durationMs; ++sent, elapsedMs += 20) {
        Chat chat = rig.chat("after" + std::to_string(sent));
        const auto answer
            = chat.send(rig.callerAddress(daemons[static_cast<std::size_t>(sent) % daemons.size()]), "hello", 1);
        cr_assert(answer.isComplete, "status %d code %d", answer.status, answer.errorCode);
    }
    const auto lines = rig.truth(Rig::engineId(engine));
    int starts = 0;
    for (std::size_t i = before; i < lines.size(); ++i)
        starts += lines[i]["event"] == "start";
    return starts;
}

Answer changeUpstream(
    Rig& rig, int daemon, const std::string& id, const std::string& action, const std::string& changeId)
{
    return rig.admin(
        daemon, "POST", "/admin/upstreams", { { "id", id }, { "action", action }, { "changeId", changeId } });
}

bool acceptsRequests(Rig& rig, int daemon, const std::string& id)
{
    const json status = rig.admin(daemon, "GET", "/admin/status").json();
    for (const auto& upstream : status["upstreams"]) {
        if (upstream["id"] == id)
            return upstream["takesWork"];
    }
    return false;
}

} // namespace

Test(leaving, a_retired_engine_gets_no_new_requests_until_it_is_restored)
{
    Rig rig({});
    rig.start();
    cr_assert_eq(changeUpstream(rig, 2, "engine1", "retire", "c1").status, 200);
    cr_assert_eq(countStartsAfter(rig, 0, LEAVE_TIMEOUT_MS, 1000, { 0, 1, 2, 3, 4 }), 0);
    cr_assert_eq(changeUpstream(rig, 3, "engine1", "restore", "c2").status, 200);
    cr_assert(waitUntil([&] { return acceptsRequests(rig, 0, "engine1") && acceptsRequests(rig, 4, "engine1"); }));
    cr_assert_eq(changeUpstream(rig, 0, "engine99", "retire", "c3").errorCode(), 5004);
}

Test(leaving, an_engine_that_reports_leaving_gets_no_new_requests)
{
    Rig rig({});
    rig.start();
    rig.setEngineFaults(1, { { "leaving", 1 } });
    cr_assert_eq(countStartsAfter(rig, 1, LEAVE_TIMEOUT_MS, 1000, { 0, 1, 2, 3, 4 }), 0);
}

Test(leaving, a_leaving_service_gets_no_new_requests)
{
    struct Trigger {
        const char* name;
        std::function<void(Rig&)> leave;
    };
    const std::vector<Trigger> triggers = {
        { "retired by an operator",
            [](Rig& rig) { cr_assert_eq(changeUpstream(rig, 1, "service1", "retire", "s1").status, 200); } },
        { "reported by the service itself",
            [](Rig& rig) {
                rig.setServiceFaults(0, { { "leaving", 1 } });
            } },
    };
    for (const auto& trigger : triggers) {
        Rig rig({});
        rig.start();
        trigger.leave(rig);
        sleepMs(LEAVE_TIMEOUT_MS);
        const auto before = rig.truth(Rig::serviceId(0)).size();
        for (int i = 0; i < 30; ++i)
            cr_assert_eq(rig.callService(i % 5, "GET", "/rota", "").status, 200, "%s", trigger.name);
        cr_assert_eq(rig.truth(Rig::serviceId(0)).size(), before, "%s: it received calls", trigger.name);
    }
}

Test(leaving, an_outdated_list_does_not_restore_a_leaving_engine)
{
    Rig rig({});
    rig.start();
    rig.setPlatformFaults(
        { { "vm", { { "id", "engine1" }, { "kind", "engine" }, { "state", "leaving" }, { "incarnation", 1 } } } });
    cr_assert_eq(countStartsAfter(rig, 0, LEAVE_TIMEOUT_MS, 600, { 0, 1, 2, 3, 4 }), 0);
    rig.setPlatformFaults(
        { { "vm", { { "id", "engine1" }, { "kind", "engine" }, { "state", "live" }, { "incarnation", 1 } } } });
    cr_assert_eq(countStartsAfter(rig, 0, LEAVE_TIMEOUT_MS, 600, { 0, 1, 2, 3, 4 }), 0,
        "an entry of the same incarnation restored the engine");
    rig.setPlatformFaults(
        { { "vm", { { "id", "engine1" }, { "kind", "engine" }, { "state", "live" }, { "incarnation", 2 } } } });
    cr_assert(waitUntil([&] { return acceptsRequests(rig, 0, "engine1"); }));
}

Test(leaving, a_daemon_without_platform_and_peers_detects_leaving_by_probing_the_engine)
{
    RigOptions options;
    options.daemons = 3;
    Rig rig(options);
    rig.start();
    rig.setPlatformFaults({ { "down", 1 } });
    rig.daemon(1).suspend();
    rig.daemon(2).suspend();
    cr_assert(waitUntil([&] {
        const json status = rig.admin(0, "GET", "/admin/status").json();
        return !status["daemons"][1]["up"].get<bool>() && !status["daemons"][2]["up"].get<bool>();
    }));
    rig.setEngineFaults(2, { { "leaving", 1 } });
    cr_assert_eq(countStartsAfter(rig, 2, LEAVE_TIMEOUT_MS, 600, { 0 }), 0);
    rig.daemon(1).resume();
    rig.daemon(2).resume();
}

Test(leaving, a_new_engine_in_the_list_gets_requests)
{
    RigOptions options;
    options.engines = 2;
    options.settings = { { "routing", { { "reuseWeight", 0 } } } };
    Rig rig(options);
    rig.start();
    RigOptions other;
    other.daemons = 0;
    other.engines = 1;
    other.services = 0;
    Rig newcomer(other);
    newcomer.start();
    rig.setPlatformFaults({ { "vm",
        { { "id", "engine77" }, { "kind", "engine" }, { "state", "live" }, { "incarnation", 1 },
            { "address", newcomer.engineAddress(0) }, { "model", "assistant" }, { "dataCentre", "dc1" } } } });
    cr_assert(waitUntil([&] { return acceptsRequests(rig, 0, "engine77"); }));
    cr_assert(waitUntil([&] {
        for (int i = 0; i < 8; ++i)
            rig.chat("n" + std::to_string(rand())).send(rig.callerAddress(i % 5), "hello", 1);
        return !newcomer.truth("engine1").empty();
    }));
}

Test(quarantine, a_request_is_quarantined_fleet_wide_after_two_engine_crashes)
{
    RigOptions options;
    options.engines = 6;
    options.engineFaults = { { "crashOn", "poison pill" }, { "tokenMs", 10 } };
    options.settings = { { "profiles", json::array({ { { "name", "patient" }, { "retries", 6 } } }) } };
    Rig rig(options);
    rig.start();
    // Other callers stream while the request that crashes engines arrives.
    std::vector<std::future<std::string>> otherCallers;
    for (int i = 0; i < 12; ++i) {
        otherCallers.push_back(std::async(std::launch::async, [&rig, i]() -> std::string {
            Chat chat = rig.chat("neighbour" + std::to_string(i));
            const std::string expected = chat.expectedAnswer("harmless", 100);
            const auto answer = chat.send(rig.callerAddress(i % 5), "harmless", 100, { { "X-Profile", "patient" } });
            if (answer.isComplete && answer.text == expected)
                return "";
            const json explanation
                = rig.admin(i % 5, "GET", "/admin/explain?chat=neighbour" + std::to_string(i)).json();
            return std::to_string(answer.status) + " code " + std::to_string(answer.errorCode) + " "
                + explanation.dump();
        }));
    }
    sleepMs(300);
    Chat crashing = rig.chat("bad");
    const auto first = crashing.send(rig.callerAddress(0), "a poison pill", 4);
    cr_assert_eq(first.errorCode, 2004, "status %d code %d", first.status, first.errorCode);
    cr_assert(first.executed == "unknown");
    for (int daemon = 0; daemon < 5; ++daemon) {
        const auto again = crashing.send(rig.callerAddress(daemon), "a poison pill", 4);
        cr_assert_eq(again.errorCode, 2004);
        cr_assert(again.executed == "no");
    }
    int crashes = 0;
    for (int i = 0; i < 6; ++i) {
        for (const auto& line : rig.truth(Rig::engineId(i)))
            crashes += line["event"] == "crash";
    }
    cr_assert_eq(crashes, 2);
    for (auto& otherCaller : otherCallers) {
        const std::string fault = otherCaller.get();
        cr_assert(fault.empty(), "another caller got no complete answer: %s", fault.c_str());
    }
}

Test(silent, an_unresponsive_connection_does_not_mark_a_healthy_upstream_as_down)
{
    RigOptions options;
    options.engines = 2;
    options.settings
        = { { "profiles", json::array({ { { "name", "default" }, { "firstTokenMs", 500 }, { "stallMs", 300 } } }) } };
    Rig rig(options);
    rig.start();
    for (int i = 0; i < 2; ++i)
        rig.setEngineFaults(i, { { "freezeNext", 1 } });
    for (int i = 0; i < 4; ++i) {
        Chat chat = rig.chat("s" + std::to_string(i));
        const std::string expected = chat.expectedAnswer("hello", 6);
        const auto answer = chat.send(rig.callerAddress(i), "hello", 6);
        cr_assert(answer.isComplete && answer.text == expected, "code %d", answer.errorCode);
    }
    for (int daemon = 0; daemon < 5; ++daemon) {
        cr_assert(acceptsRequests(rig, daemon, "engine1"));
        cr_assert(acceptsRequests(rig, daemon, "engine2"));
    }
}
