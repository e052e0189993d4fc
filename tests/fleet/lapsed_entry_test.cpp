#include "harness/FrontRig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;

/// Found by a day of our own: an entry that lapsed and was back before the daemon heard of it was taken for gone.
Test(lapsed_entry, a_server_whose_entry_lapsed_and_came_back_in_one_answer_stays_in_use)
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
    sleepMs(4'000); // longer than a vanished server is kept
    cr_assert_eq(rig.call(0, "GET", "/read/a").status, 200);
}
