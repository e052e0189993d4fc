#include "harness/FrontRig.h"

#include <criterion/criterion.h>

#include <csignal>
#include <future>

using namespace goldcrestcleat::harness;

namespace {

constexpr int PAUSE_MS = 1'500; // longer than the silence after which a stream is offered to another engine
constexpr int EVENTS = 4;

} // namespace

/// Guards against cutting streams in a planned stop while their engine pauses and the others reject requests.
Test(pausing_stream, a_planned_stop_interrupts_no_stream_of_an_engine_that_pauses, .timeout = 120)
{
    FrontRigOptions options;
    options.daemons = 2;
    options.engines = 2;
    FrontRig rig(options);
    rig.start();
    for (int i = 0; i < options.engines; ++i)
        rig.setServerFaults(FrontRig::engineName(i), { { "gapMs", PAUSE_MS } });
    auto stream = std::async(std::launch::async, [&] { return rig.stream(0, "/chat/" + std::to_string(EVENTS)); });
    cr_assert(waitUntil([&] { return rig.serverEvents("run").size() == 1; }));
    for (int i = 0; i < options.engines; ++i) // no engine takes another request
        rig.setServerFaults(FrontRig::engineName(i), { { "gapMs", PAUSE_MS }, { "shedNext", 1'000 } });
    rig.daemon(0).signal(SIGTERM);
    const auto answer = stream.get();
    cr_assert(answer.isComplete);
    cr_assert_eq(answer.ids.size(), EVENTS);
    cr_assert_eq(rig.serverEvents("run").size(), 1);
    cr_assert_not(rig.logLines(0, "takeover-begun").empty(), "no other engine was asked");
    cr_assert_eq(rig.daemon(0).waitForExit(20'000), 0);
}
