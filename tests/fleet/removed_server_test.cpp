#include "harness/FrontRig.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::harness;
using nlohmann::json;

namespace {

constexpr int CALLS_AFTER_REMOVAL = 20;
constexpr int EXPIRY_MS = 3'600; // three renewals that do not reach the store

/// Waits until a daemon knows that a server was removed, and returns the line that it logged.
json awaitRemoval(const FrontRig& rig, int daemon)
{
    cr_assert(waitUntil([&] { return !rig.logLines(daemon, "server-removed").empty(); }),
        "daemon %d did not learn of the removal", daemon);
    return rig.logLines(daemon, "server-removed").front();
}

void assertRefused(const FrontRig& rig, int daemon)
{
    for (int i = 0; i < CALLS_AFTER_REMOVAL; ++i) {
        std::string id;
        const auto answer = rig.call(daemon, "POST", "/book/a", {}, "", &id);
        cr_assert_eq(answer.status, 503, "daemon %d: %d", daemon, answer.status);
        cr_assert_eq(rig.countRuns(id), 0, "daemon %d sent a request to the server", daemon);
    }
}

} // namespace

/// Guards against requests to a server that was taken away while some daemons lack the store: the others took its
/// removal for an expiry and used it until it exited.
Test(removed_server, the_only_server_of_a_service_is_removed_while_two_daemons_lack_the_store, .timeout = 120)
{
    FrontRigOptions options;
    options.apps = 1;
    FrontRig rig(options);
    rig.start();
    cr_assert_eq(rig.call(2, "POST", "/book/a").status, 200);
    for (int i = 0; i < 2; ++i) { // one of them watches the store, as two of the three daemons do
        rig.storeRelay(i).setMode(RelayMode::Blackhole);
        rig.storeRelay(i).blackholeConnections();
    }
    cr_assert(
        waitUntil([&] { return !rig.logLines(0, "store-lost").empty() || !rig.logLines(1, "store-lost").empty(); }));
    rig.unregisterServer(FrontRig::appName(0));
    cr_assert_eq(awaitRemoval(rig, 2)["mayHaveLapsed"], false);
    assertRefused(rig, 2);
    cr_assert_eq(awaitRemoval(rig, 0)["mayHaveLapsed"], false, "daemons without the store learn it from a peer");
    assertRefused(rig, 0);
}

/// Guards against taking a removal for an expiry because it leaves a service without servers.
Test(removed_server, all_servers_of_a_service_are_removed_in_one_change, .timeout = 120)
{
    FrontRig rig((FrontRigOptions()));
    rig.start();
    cr_assert_eq(rig.call(0, "POST", "/book/a").status, 200);
    rig.controlStore({ { "remove",
        { { { "table", "servers" }, { "key", FrontRig::appName(0) } },
            { { "table", "servers" }, { "key", FrontRig::appName(1) } } } } });
    for (int daemon = 0; daemon < 3; ++daemon) {
        cr_assert_eq(awaitRemoval(rig, daemon)["mayHaveLapsed"], false);
        assertRefused(rig, daemon);
    }
}

/// Guards against giving up servers whose entries expired while the store was unavailable to all daemons.
Test(removed_server, servers_whose_entries_expired_in_an_outage_stay_in_use_until_the_entries_return, .timeout = 120)
{
    FrontRigOptions options;
    options.apps = 1;
    FrontRig rig(options);
    rig.start();
    for (int i = 0; i < options.daemons; ++i) {
        rig.storeRelay(i).setMode(RelayMode::Blackhole);
        rig.storeRelay(i).blackholeConnections();
    }
    for (int i = 0; i < options.daemons; ++i)
        cr_assert(waitUntil([&] { return !rig.logLines(i, "store-lost").empty(); }));
    sleepMs(EXPIRY_MS);
    rig.unregisterServer(FrontRig::appName(0));
    for (int i = 0; i < options.daemons; ++i)
        rig.storeRelay(i).setMode(RelayMode::Open);
    for (int i = 0; i < options.daemons; ++i) {
        cr_assert_eq(awaitRemoval(rig, i)["mayHaveLapsed"], true);
        cr_assert_eq(rig.call(i, "POST", "/book/a").status, 200);
    }
    rig.registerServer(FrontRig::appName(0));
    sleepMs(4'000); // longer than an expired entry is awaited
    for (int i = 0; i < options.daemons; ++i)
        cr_assert_eq(rig.call(i, "POST", "/book/a").status, 200);
}
