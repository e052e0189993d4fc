#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <future>

using namespace goldcrestcleat::harness;
using nlohmann::json;

namespace {

/// Faults injected before a confirmation, and the expected response and number of runs.
struct Case {
    const char* name;
    json platform;
    json services;
    int status; ///< expected for the first call; 0 accepts any
    const char* executed; ///< expected for the first call; empty for none
    int runs;
    bool repeatSucceeds; ///< whether a repeat after the fault succeeds
};

const json NO_PLATFORM_FAULTS = { { "down", 0 }, { "silent", 0 }, { "delayMs", 0 }, { "dropReplyNext", 0 },
    { "dropRequestNext", 0 }, { "downAfterCommit", 0 }, { "dropPrefix", "" } };
const json NO_SERVICE_FAULTS = { { "delayMs", 0 }, { "dropReplyNext", 0 }, { "crossNext", 0 }, { "freezeNext", 0 } };

} // namespace

Test(at_most_once, a_confirmation_runs_at_most_once_under_each_fault)
{
    const std::vector<Case> cases = {
        { "no fault", json::object(), json::object(), 200, "", 1, true },
        { "store down before the claim", { { "down", 1 } }, json::object(), 503, "no", 0, true },
        { "store unresponsive before the claim", { { "silent", 1 } }, json::object(), 503, "no", 0, true },
        { "claim request lost", { { "dropPrefix", "claim/" }, { "dropRequestNext", 1 } }, json::object(), 200, "", 1,
            true },
        { "reply to the written claim lost", { { "dropPrefix", "claim/" }, { "dropReplyNext", 1 } }, json::object(),
            200, "", 1, true },
        { "store down immediately after the claim", { { "downAfterCommit", 1 } }, json::object(), 200, "", 1, true },
        { "reply of the service lost", json::object(), { { "dropReplyNext", 1 } }, 409, "unknown", 1, false },
        { "reply of the service with another request id", json::object(), { { "crossNext", 1 } }, 409, "unknown", 1,
            false },
        { "service unresponsive", json::object(), { { "freezeNext", 1 } }, 409, "unknown", 1, false },
        { "service slow", json::object(), { { "delayMs", 800 } }, 200, "", 1, true },
    };
    Rig rig({});
    rig.start();
    for (const auto& c : cases) {
        const std::string key = c.name;
        rig.setPlatformFaults(c.platform);
        for (int i = 0; i < 2; ++i)
            rig.setServiceFaults(i, c.services);
        const auto first = rig.callService(0, "POST", "/confirm", key, "{}");
        if (c.status != 0)
            cr_assert_eq(first.status, c.status, "%s: %d %s", c.name, first.status, first.body.c_str());
        cr_assert(first.executed() == c.executed, "%s: %s", c.name, first.body.c_str());
        cr_assert_eq(rig.countRuns(key), c.runs, "%s: %d runs", c.name, rig.countRuns(key));
        if (first.executed() == "no")
            cr_assert_eq(rig.countRuns(key), 0, "%s: reported as not executed", c.name);
        rig.setPlatformFaults(NO_PLATFORM_FAULTS);
        for (int i = 0; i < 2; ++i)
            rig.setServiceFaults(i, NO_SERVICE_FAULTS);
        const auto repeat = rig.callService(3, "POST", "/confirm", key, "{}");
        cr_assert_eq(
            repeat.status == 200, c.repeatSucceeds, "%s: repeat got %d %s", c.name, repeat.status, repeat.body.c_str());
        cr_assert_eq(rig.countRuns(key), repeat.status == 200 ? 1 : c.runs, "%s: %d runs after the repeat", c.name,
            rig.countRuns(key));
        if (!c.repeatSucceeds)
            cr_assert(repeat.executed() == "unknown");
    }
}

Test(at_most_once, concurrent_calls_with_one_key_at_all_daemons_run_once)
{
    Rig rig({});
    rig.start();
    for (int round = 0; round < 10; ++round) {
        const std::string key = "same" + std::to_string(round);
        std::vector<std::future<Answer>> calls;
        for (int daemon = 0; daemon < 5; ++daemon)
            calls.push_back(std::async(std::launch::async,
                [&rig, key, daemon] { return rig.callService(daemon, "POST", "/confirm", key, "{}"); }));
        std::string body;
        for (auto& call : calls) {
            const auto answer = call.get();
            cr_assert_eq(answer.status, 200, "%s", answer.body.c_str());
            cr_assert(body.empty() || body == answer.body, "callers received different answers");
            body = answer.body;
        }
        cr_assert_eq(rig.countRuns(key), 1);
    }
}

Test(at_most_once, a_key_reused_with_another_body_is_rejected)
{
    Rig rig({});
    rig.start();
    cr_assert_eq(rig.callService(0, "POST", "/confirm", "k", "{\"visit\":1}").status, 200);
    const auto other = rig.callService(1, "POST", "/confirm", "k", "{\"visit\":2}");
    cr_assert_eq(other.errorCode(), 1014);
    cr_assert(other.executed() == "no");
    cr_assert_eq(rig.countRuns("k"), 1);
}

Test(at_most_once, a_workspace_cannot_read_the_answer_of_another_by_its_key)
{
    Rig rig({});
    rig.start();
    cr_assert_eq(rig.callService(0, "POST", "/confirm", "guessed", "{}").status, 200);
    const auto other = call(rig.callerAddress(1), "POST", "/v1/services/rota/confirm", "{}",
        { { "X-Workspace", "ws2" }, { "Authorization", "Bearer key-of-ws2" }, { "Idempotency-Key", "guessed" } });
    cr_assert_eq(other.status, 200);
    cr_assert_eq(other.headers.count("X-Idempotent-Replay"), 0);
    cr_assert_eq(rig.countRuns("guessed"), 2, "keys are scoped to a workspace");
}

Test(at_most_once, a_daemon_killed_during_a_call_causes_no_second_run)
{
    Rig rig({});
    rig.start();
    for (int i = 0; i < 2; ++i)
        rig.setServiceFaults(i, { { "delayMs", 500 } });
    auto first = std::async(std::launch::async, [&] { return rig.callService(0, "POST", "/confirm", "killed", "{}"); });
    cr_assert(waitUntil([&] { return rig.countRuns("killed") == 1; }));
    rig.daemon(0).kill();
    cr_assert(first.get().isBroken);
    const auto repeat = rig.callService(1, "POST", "/confirm", "killed", "{}");
    cr_assert_neq(repeat.status, 200);
    cr_assert(repeat.executed() == "unknown", "%s", repeat.body.c_str());
    cr_assert_eq(rig.countRuns("killed"), 1);
}

Test(at_most_once, a_claim_of_a_frozen_daemon_gets_no_second_holder)
{
    Rig rig({});
    rig.start();
    rig.setPlatformFaults({ { "delayMs", 200 } });
    auto first = std::async(std::launch::async, [&] { return rig.callService(0, "POST", "/confirm", "frozen", "{}"); });
    cr_assert(waitUntil([&] {
        for (const auto& line : rig.truth("platform")) {
            if (line["key"].get<std::string>().rfind("claim/", 0) == 0)
                return true;
        }
        return false;
    }));
    rig.daemon(0).suspend(); // the claim is written and the reply is in flight
    rig.setPlatformFaults(NO_PLATFORM_FAULTS);
    const auto repeat = rig.callService(1, "POST", "/confirm", "frozen", "{}");
    cr_assert(repeat.executed() == "unknown", "%s", repeat.body.c_str());
    rig.daemon(0).resume();
    const auto late = first.get();
    cr_assert(late.status == 200 || late.executed() != "no" || rig.countRuns("frozen") == 0);
    cr_assert_leq(rig.countRuns("frozen"), 1);
}

Test(at_most_once, a_call_whose_deadline_passes_before_it_is_sent_has_not_run)
{
    RigOptions options;
    options.settings
        = { { "profiles", json::array({ { { "name", "default" }, { "deadlineMs", 200 }, { "warmWaitMs", 50 } } }) } };
    Rig rig(options);
    rig.start();
    rig.setPlatformFaults({ { "delayMs", 400 } }); // longer than the deadline, which passes before the claim is written
    const auto first = rig.callService(0, "POST", "/confirm", "late", "{}");
    cr_assert_eq(first.errorCode(), 2002, "%d %s", first.status, first.body.c_str());
    cr_assert(first.executed() == "no");
    cr_assert_eq(rig.countRuns("late"), 0);
    rig.setPlatformFaults(NO_PLATFORM_FAULTS);
    cr_assert(waitUntil([&] { return rig.callService(2, "POST", "/confirm", "late", "{}").status == 200; }),
        "the claim was not released");
    cr_assert_eq(rig.countRuns("late"), 1);
}

Test(at_most_once, a_binary_answer_is_returned_and_its_repeat_does_not_run)
{
    Rig rig({});
    rig.start();
    for (int i = 0; i < 2; ++i)
        rig.setServiceFaults(i, { { "binaryNext", 1 } });
    const auto first = rig.callService(0, "POST", "/confirm", "binary", "{}");
    cr_assert_eq(first.status, 200);
    cr_assert(first.body == "\xff\xfe binary");
    const auto repeat = rig.callService(1, "POST", "/confirm", "binary", "{}");
    cr_assert_eq(repeat.status, 200);
    cr_assert_eq(repeat.headers.count("X-Idempotent-Replay"), 1);
    cr_assert_eq(rig.countRuns("binary"), 1);
    cr_assert(rig.daemon(0).isRunning());
}
