#include "harness/FrontRig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;
using nlohmann::json;

// The operator and the servers write a row again if the store's reply was lost, so that one answer to a watch may hold
// the same change twice.

namespace {

constexpr int DAEMONS = 5;
constexpr int CHANGE_BOUND_MS = 2'000; // from the acknowledgement of a change until all daemons act by it
constexpr int CALLS_AFTER_LEAVING = 10;

} // namespace

/// Guards against leaders that never apply a change which is written twice within one answer of the store.
Test(repeated_writes, a_change_that_is_written_twice_is_in_force_at_all_daemons, .timeout = 120)
{
    FrontRigOptions options;
    options.daemons = DAEMONS;
    FrontRig rig(options);
    rig.start();
    json route = rig.configuration["routes"][0];
    route["prefix"] = "/new/";
    rig.configuration["routes"].push_back(route);
    rig.configuration["version"] = rig.configuration["version"].get<int>() + 1;
    const json configuration = { { "table", "op" }, { "key", "config" }, { "text", rig.configuration.dump() } };
    const std::string name = FrontRig::appName(0);
    const json entry = { { "service", "app" }, { "address", rig.serverAddress(name) }, { "zone", "dc1" },
        { "version", "v1" }, { "slots", 8 }, { "state", "draining" }, { "seq", 2 }, { "born", 1 } };
    const json leaving = { { "table", "servers" }, { "key", name }, { "text", entry.dump() } };
    rig.controlStore({ { "put", { configuration, leaving, configuration, leaving } } });
    for (int daemon = 0; daemon < DAEMONS; ++daemon)
        cr_expect(waitUntil([&] { return rig.call(daemon, "GET", "/new/x").status == 200; }, CHANGE_BOUND_MS),
            "daemon %d does not serve the new route", daemon);
    sleepMs(CHANGE_BOUND_MS);
    for (int daemon = 0; daemon < DAEMONS; ++daemon) {
        int reached = 0;
        for (int i = 0; i < CALLS_AFTER_LEAVING; ++i) {
            std::string id;
            rig.call(daemon, "POST", "/book/a", {}, "", &id);
            for (const auto& run : rig.serverEvents("run"))
                reached += run["id"] == id && run["server"] == name;
        }
        cr_expect_eq(reached, 0, "daemon %d sent %d requests to a server that leaves", daemon, reached);
    }
}
