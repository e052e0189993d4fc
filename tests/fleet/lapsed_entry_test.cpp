#include "harness/FrontRig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;

/// Guards against removing a server whose entry expired and was registered again before the daemon was notified of
/// either.
Test(lapsed_entry, a_server_whose_entry_expired_and_returned_in_one_response_stays_in_use)
{
    FrontRigOptions options;
    options.daemons = 1;
    options.apps = 1;
    FrontRig rig(options);
    rig.start();
    rig.storeRelay(0).setMode(RelayMode::Blackhole);
    rig.storeRelay(0).blackholeConnections();
    rig.unregisterServer(FrontRig::appName(0));
    rig.registerServer(FrontRig::appName(0));
    cr_assert(waitUntil([&] { return !rig.logLines(0, "store-lost").empty(); }));
    rig.storeRelay(0).setMode(RelayMode::Open);
    cr_assert(waitUntil([&] { return !rig.logLines(0, "store-regained").empty(); }));
    sleepMs(4'000); // longer than a server without an entry is kept
    cr_assert_eq(rig.call(0, "GET", "/read/a").status, 200);
}
