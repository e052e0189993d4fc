#include "harness/FrontRig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;
using nlohmann::json;

// The store drops its history, so that the tables have to be read as a whole, and for some seconds it answers such
// reads from a copy that is behind.

namespace {

constexpr int DAEMONS = 3;
constexpr int STALE_MS = 3'000; // how long the store answers from the copy
constexpr int CHANGE_BOUND_MS = 2'000; // from the end of the disruption until all daemons act by a change
constexpr int VERSIONS_BEHIND = 5;

/// Changes the configuration and the entry of a server while the history is dropped and reads lag behind.
void changeInGap(FrontRig& rig, bool hideStaleness)
{
    json route = rig.configuration["routes"][0];
    route["prefix"] = "/new/";
    rig.configuration["routes"].push_back(route);
    rig.configuration["version"] = rig.configuration["version"].get<int>() + 1;
    rig.registerServer(FrontRig::appName(1)); // so that the copy is behind by more than what is lost below
    json entry = { { "service", "app" }, { "address", rig.serverAddress(FrontRig::appName(0)) }, { "zone", "dc1" },
        { "version", "v1" }, { "slots", 8 }, { "state", "draining" }, { "seq", 2 }, { "born", 1 } };
    rig.controlStore(
        { { "put",
              { { { "table", "op" }, { "key", "config" }, { "text", rig.configuration.dump() } },
                  { { "table", "servers" }, { "key", FrontRig::appName(0) }, { "text", entry.dump() } } } },
            { "compact", true }, { "readsBehind", VERSIONS_BEHIND }, { "hideStaleness", hideStaleness ? 1 : 0 } });
}

void assertInForce(const FrontRig& rig)
{
    for (int daemon = 0; daemon < DAEMONS; ++daemon) {
        cr_assert(waitUntil([&] { return rig.call(daemon, "GET", "/new/x").status == 200; }, CHANGE_BOUND_MS),
            "daemon %d does not serve the new route", daemon);
        const auto leaves = [&] {
            for (const auto& line : rig.logLines(daemon, "server")) {
                if (line["server"] == FrontRig::appName(0) && line["leaving"] == true)
                    return true;
            }
            return false;
        };
        cr_assert(waitUntil(leaves, CHANGE_BOUND_MS), "daemon %d does not know that a server leaves", daemon);
    }
}

} // namespace

TestSuite(stale_reads, .timeout = 120);

/// Guards against reading the table again without a pause while the copy that answers is behind the history.
Test(stale_reads, a_copy_that_states_its_version_is_read_again_until_it_has_caught_up)
{
    constexpr int MAX_CALLS = 150; // in 3 s, of three daemons
    FrontRigOptions options;
    options.daemons = DAEMONS;
    FrontRig rig(options);
    rig.start();
    changeInGap(rig, false);
    const int before = rig.storeCalls();
    sleepMs(STALE_MS);
    const int calls = rig.storeCalls() - before;
    rig.controlStore({ { "readsBehind", 0 } });
    assertInForce(rig);
    cr_assert_leq(calls, MAX_CALLS, "%d calls", calls);
}

/// Guards against trusting one read after a gap: a copy that is behind but states the newest version hides the changes
/// that it lacks, and nothing asks for them again.
Test(stale_reads, a_copy_that_states_the_newest_version_is_read_again)
{
    FrontRigOptions options;
    options.daemons = DAEMONS;
    FrontRig rig(options);
    rig.start();
    changeInGap(rig, true);
    sleepMs(STALE_MS);
    rig.controlStore({ { "readsBehind", 0 } });
    sleepMs(STALE_MS); // the store counts as stable from then on
    assertInForce(rig);
}
