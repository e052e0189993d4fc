#include "harness/FrontRig.h"
#include "harness/Program.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using namespace goldcrestcleat::harness;
using nlohmann::json;

// Requests that share one part of their prompts crash every server that begins to answer them.

namespace {

constexpr int ALLOWED_CRASHES = 5;
constexpr int ALLOWED_SENDS_AFTER_THEM = 3;

/// Returns a prompt with a part of its own at the end.
std::string promptWith(const std::string& sharedPart, int serial)
{
    return "aa:100," + sharedPart + ":50,0" + std::to_string(serial) + ":10";
}

/// Returns a path under which a server streams three events. No two requests have the same content.
std::string nextPath()
{
    static int serial = 0;
    return "/chat/" + std::to_string(++serial) + "/3";
}

void restartEndedEngines(FrontRig& rig, int engines)
{
    for (int i = 0; i < engines; ++i) {
        if (!rig.server(FrontRig::engineName(i)).isRunning())
            rig.startServer(FrontRig::engineName(i), "llm");
    }
}

/// Sends requests with the crashing part until a daemon has banned it.
void provokeBan(FrontRig& rig, const FrontRigOptions& options)
{
    for (int i = 0; i < 24 && rig.logLines(0, "quarantined").empty(); ++i) {
        rig.stream(i % options.daemons, nextPath(), { { "Prompt-Prefix", promptWith("dead", i) } });
        cr_assert(waitUntil([&] {
            restartEndedEngines(rig, options.engines);
            return rig.stream(0, nextPath(), { { "Prompt-Prefix", promptWith("bb", i) } }).isComplete;
        }));
    }
    cr_assert_not(rig.logLines(0, "quarantined").empty());
}

int countRunsWith(const FrontRig& rig, const std::string& part)
{
    int runs = 0;
    for (const auto& run : rig.serverEvents("run"))
        runs += run["prompt"].get<std::string>().find(part + ":") != std::string::npos ? 1 : 0;
    return runs;
}

} // namespace

/// Guards against counting crashes only by complete contents, which differ from request to request.
Test(crashing_part, a_prompt_part_that_crashes_servers_is_refused_at_all_daemons, .timeout = 120)
{
    FrontRigOptions options;
    FrontRig rig(options);
    rig.start();
    for (int i = 0; i < 24; ++i) {
        rig.stream(i % options.daemons, nextPath(), { { "Prompt-Prefix", promptWith("dead", i) } });
        cr_assert(waitUntil([&] {
            restartEndedEngines(rig, options.engines);
            return rig.stream(i % options.daemons, nextPath(), { { "Prompt-Prefix", promptWith("bb", i) } }).isComplete;
        }),
            "a sound request of the same caller and first part is not served after request %d", i);
    }
    const int runs = countRunsWith(rig, "dead");
    cr_assert_leq(runs, ALLOWED_CRASHES + ALLOWED_SENDS_AFTER_THEM, "%d runs", runs);
}

Test(crashing_part, a_ban_outlasts_the_restart_of_all_daemons_and_is_listed_explained_and_lifted, .timeout = 120)
{
    FrontRigOptions options;
    FrontRig rig(options);
    rig.start();
    provokeBan(rig, options);
    const std::string settings = "--config=" + rig.settingsPath(0);
    json bans;
    cr_assert(waitUntil([&] {
        bans = json::parse(runProgram(rig.folder(), { "quarantine", "list", settings }).output, nullptr, false);
        return bans.is_object() && !bans["bans"].empty();
    }));
    const int runsBefore = countRunsWith(rig, "dead");
    for (int i = 0; i < options.daemons; ++i)
        rig.daemon(i).kill();
    for (int i = 0; i < options.daemons; ++i)
        rig.startDaemon(i);
    for (int i = 0; i < options.daemons; ++i) {
        cr_assert(waitUntil([&] {
            return rig.stream(i, nextPath(), { { "Prompt-Prefix", promptWith("bb", i) } }).isComplete;
        }));
        const Headers headers
            = { { "Prompt-Prefix", promptWith("dead", i) }, { "Request-Id", "refused" + std::to_string(i) } };
        const auto answer = rig.call(i, "GET", nextPath(), headers);
        cr_assert_eq(answer.status, 503);
        cr_assert_geq(std::stod(answer.headers.at("Retry-After")), 10.0, "callers are told to come back at once");
    }
    cr_assert_eq(countRunsWith(rig, "dead"), runsBefore);
    const auto explained = runProgram(rig.folder(), { "explain", "--request=refused0", rig.folder() + "/vm1.log" });
    cr_assert(explained.output.find("Quarantined") != std::string::npos
            && explained.output.find("crashes of servers") != std::string::npos,
        "%s", explained.output.c_str());
    for (const auto& ban : bans["bans"]) {
        const auto lifted = runProgram(rig.folder(),
            { "quarantine", "lift", ban["fingerprint"].get<std::string>(), settings, "--operator_name=amy" });
        cr_assert_eq(lifted.exitCode, 0, "%s", lifted.errors.c_str());
    }
    cr_assert_eq(runProgram(rig.folder(), { "quarantine", "lift", "0000000000000001", settings }).exitCode, 4);
    cr_assert(waitUntil(
                  [&] {
                      rig.stream(0, nextPath(), { { "Prompt-Prefix", promptWith("dead", 0) } });
                      return countRunsWith(rig, "dead") > runsBefore;
                  },
                  20'000),
        "the lift did not take effect");
}
