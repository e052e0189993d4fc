#include "harness/FrontRig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;
using nlohmann::json;

// The store comes back from a copy that is some versions old, as the platform's pages allow: what was written since is
// lost, versions are given out again, and the operator and the servers write theirs again.

namespace {

constexpr int DAEMONS = 5;
constexpr int CHANGE_BOUND_MS = 2'000; // from the acknowledgement of a change until all daemons act by it
constexpr int LOST_VERSIONS = 20;
constexpr int WATCH_MS = 1'000; // after which the leaders know the newest version of the store
constexpr int CALLS_AFTER_LEAVING = 10;

FrontRigOptions options()
{
    FrontRigOptions options;
    options.daemons = DAEMONS;
    return options;
}

/// Adds a route to the configuration, which becomes the newest one.
std::string addRoute(FrontRig& rig, const std::string& name)
{
    json route = rig.configuration["routes"][0];
    route["prefix"] = "/" + name + "/";
    route["name"] = name;
    rig.configuration["routes"].push_back(route);
    rig.publish();
    return "/" + name + "/x";
}

/// Overwrites one row until the store has given out a number of versions.
void writeVersions(const FrontRig& rig, int count)
{
    json rows = json::array();
    for (int i = 0; i < count; ++i)
        rows.push_back({ { "table", "other" }, { "key", "k" }, { "text", std::to_string(i) } });
    rig.controlStore({ { "put", rows } });
}

/// The servers write their entries, as they do after the store has come back.
void writeEntries(const FrontRig& rig)
{
    for (const auto& name : { FrontRig::engineName(0), FrontRig::engineName(1), FrontRig::engineName(2),
             FrontRig::appName(0), FrontRig::appName(1) })
        rig.registerServer(name);
}

/// Loses the newest versions, and writes the newest configuration and the entries of the servers again.
void restoreCopy(const FrontRig& rig, int lostVersions)
{
    rig.controlStore({ { "restore", lostVersions } });
    rig.controlStore(
        { { "put", { { { "table", "op" }, { "key", "config" }, { "text", rig.configuration.dump() } } } } });
    writeEntries(rig);
}

void assertServedInTime(const FrontRig& rig, const std::string& path)
{
    for (int daemon = 0; daemon < DAEMONS; ++daemon)
        cr_assert(waitUntil([&] { return rig.call(daemon, "GET", path).status == 200; }, CHANGE_BOUND_MS),
            "daemon %d does not serve %s", daemon, path.c_str());
}

/// A server states in its entry that it leaves; after the bound no daemon sends a request to it.
void assertLeavesInTime(const FrontRig& rig, const std::string& name)
{
    rig.registerServer(name, { { "state", "draining" } });
    sleepMs(CHANGE_BOUND_MS);
    for (int daemon = 0; daemon < DAEMONS; ++daemon) {
        for (int i = 0; i < CALLS_AFTER_LEAVING; ++i) {
            std::string id;
            cr_assert_eq(rig.call(daemon, "POST", "/book/a", {}, "", &id).status, 200);
            for (const auto& run : rig.serverEvents("run"))
                cr_assert(run["id"] != id || run["server"] != name, "daemon %d sent a request to it", daemon);
        }
    }
}

} // namespace

TestSuite(restored_store, .timeout = 120);

/// Guards against mirrors that ignore all rows of a store that came back from an older copy, since its versions went
/// back: configurations stayed old, and servers that were leaving stayed in use (CONFIG, DRAIN).
Test(restored_store, changes_are_in_force_while_their_versions_are_below_the_lost_ones)
{
    FrontRig rig(options());
    rig.start();
    writeVersions(rig, 2 * LOST_VERSIONS);
    writeEntries(rig);
    assertServedInTime(rig, addRoute(rig, "before"));
    restoreCopy(rig, LOST_VERSIONS);
    assertServedInTime(rig, addRoute(rig, "after"));
    assertLeavesInTime(rig, FrontRig::appName(0));
}

/// Guards against taking reused versions for those that were read before: what was written under them was never read.
Test(restored_store, changes_under_reused_versions_are_in_force_when_newer_versions_follow_at_once)
{
    FrontRig rig(options());
    rig.start();
    writeVersions(rig, 2 * LOST_VERSIONS);
    assertServedInTime(rig, addRoute(rig, "before"));
    json route = rig.configuration["routes"][0];
    route["prefix"] = "/after/";
    rig.configuration["routes"].push_back(route);
    rig.configuration["version"] = rig.configuration["version"].get<int>() + 1;
    json rows = { { { "table", "op" }, { "key", "config" }, { "text", rig.configuration.dump() } } };
    for (int i = 0; i < 2 * LOST_VERSIONS; ++i)
        rows.push_back({ { "table", "other" }, { "key", "k" }, { "text", std::to_string(i) } });
    rig.controlStore({ { "restore", LOST_VERSIONS }, { "put", rows } });
    assertServedInTime(rig, "/after/x");
    assertLeavesInTime(rig, FrontRig::appName(0));
}

Test(restored_store, a_configuration_in_force_stays_in_force_until_it_is_written_again)
{
    FrontRig rig(options());
    rig.start();
    assertServedInTime(rig, addRoute(rig, "newest"));
    rig.controlStore({ { "restore", 1 } });
    for (int i = 0; i < 10; ++i) {
        for (int daemon = 0; daemon < DAEMONS; ++daemon)
            cr_assert_eq(rig.call(daemon, "GET", "/newest/x").status, 200, "daemon %d went back", daemon);
        sleepMs(100);
    }
}

Test(restored_store, a_second_copy_within_seconds_delays_no_change)
{
    FrontRig rig(options());
    rig.start();
    writeVersions(rig, 100);
    writeEntries(rig);
    assertServedInTime(rig, addRoute(rig, "before"));
    restoreCopy(rig, LOST_VERSIONS);
    sleepMs(300);
    restoreCopy(rig, 2);
    assertServedInTime(rig, addRoute(rig, "after"));
    assertLeavesInTime(rig, FrontRig::appName(0));
}

/// Guards against reading the whole table again without a pause while its versions are older than the lost ones:
/// 3,000 calls in 4 s.
Test(restored_store, a_return_from_an_older_copy_takes_few_calls)
{
    constexpr int MAX_CALLS = 200; // in 4 s, of five daemons
    FrontRig rig(options());
    rig.start();
    writeVersions(rig, 100);
    sleepMs(WATCH_MS);
    restoreCopy(rig, LOST_VERSIONS);
    const int before = rig.storeCalls();
    sleepMs(4'000);
    const int calls = rig.storeCalls() - before;
    std::printf("%d calls in 4 s after a return from an older copy, %d daemons\n", calls, DAEMONS);
    cr_assert_leq(calls, MAX_CALLS, "%d calls", calls);
}
