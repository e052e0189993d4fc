#include "harness/FrontRig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using namespace goldcrestcleat::harness;

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
