#include "RoutedFixture.h"

#include "goldcrestcleat/upstreams/EvacuationUpdater.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using namespace testing;
using routing::nodeKey;
using upstreams::ServerRegistry;

namespace {

constexpr loop::TimeMs COLD_MS = 3'000;

upstreams::ServerEntry entryIn(const std::string& id, const std::string& dataCentre)
{
    upstreams::ServerEntry entry;
    entry.id = id;
    entry.service = SERVICE;
    entry.address = "10.0.0.1:80";
    entry.dataCentre = dataCentre;
    return entry;
}

std::vector<std::string> usableIds(const ServerRegistry& servers, loop::TimeMs now)
{
    std::vector<std::string> ids;
    for (const auto* server : servers.usable(SERVICE, now))
        ids.push_back(server->entry.id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

using Ids = std::vector<std::string>;

/// A fixture with a server in each of two data centres.
struct TwoDataCentres : RoutedFixture {
    TwoDataCentres()
    {
        addServer("a", [](const http::Exchange::Ptr& exchange) { succeed(exchange); });
        addServer("b", [](const http::Exchange::Ptr& exchange) { succeed(exchange); });
        move("a", "north");
        move("b", "south");
    }

    void move(const std::string& id, const std::string& dataCentre)
    {
        auto entry = entryOf(id);
        entry.dataCentre = dataCentre;
        servers.put(entry, loop.now());
    }
};

} // namespace

Test(evacuation, servers_of_an_evacuated_data_centre_get_no_requests_even_if_there_are_no_others)
{
    ServerRegistry servers;
    servers.put(entryIn("a", "north"), 0);
    servers.put(entryIn("b", "south"), 0);
    cr_assert(servers.beginEvacuation("north"));
    cr_assert(!servers.beginEvacuation("north"), "a second row for the same data centre changes nothing");
    cr_assert((usableIds(servers, 0) == Ids { "b" }));
    servers.put(entryIn("c", "north"), 10);
    cr_assert((usableIds(servers, 10) == Ids { "b" }), "a server that starts there is not used either");
    servers.beginEvacuation("south");
    cr_assert(usableIds(servers, 20).empty());
    servers.endEvacuation("north", 30);
    cr_assert((usableIds(servers, 30) == Ids { "a", "c" }));
    cr_assert(!servers.endEvacuation("north", 30));
}

Test(evacuation, a_server_whose_entry_names_another_data_centre_is_judged_by_the_new_one)
{
    ServerRegistry servers;
    servers.put(entryIn("a", "north"), 0);
    servers.beginEvacuation("north");
    servers.put(entryIn("a", "south"), 10);
    cr_assert((usableIds(servers, 10) == Ids { "a" }));
}

Test(evacuation, servers_count_as_cold_after_the_end_of_an_evacuation_and_after_they_were_unreachable)
{
    ServerRegistry servers;
    servers.put(entryIn("a", "north"), 0);
    servers.put(entryIn("b", "south"), 0);
    const auto isCold
        = [&](const char* id, loop::TimeMs now) { return servers.find(nodeKey(id))->isCold(now, COLD_MS); };
    servers.beginEvacuation("north");
    servers.endEvacuation("north", 1'000);
    cr_assert(isCold("a", 1'000 + COLD_MS - 1));
    cr_assert(!isCold("a", 1'000 + COLD_MS));
    cr_assert(!isCold("b", 1'000));
    servers.recordOutcome(nodeKey("b"), upstreams::Outcome::Unreachable, 2'000);
    servers.onConnected(nodeKey("b"), 5'000);
    cr_assert(isCold("b", 5'000 + COLD_MS - 1), "it may have been restarted before its entry shows it");
    cr_assert(!isCold("b", 5'000 + COLD_MS));
}

Test(evacuation, a_server_is_cold_for_as_long_as_its_entry_states)
{
    ServerRegistry servers;
    auto entry = entryIn("a", "north");
    entry.coldLeftMs = 2'500;
    servers.put(entry, 1'000);
    cr_assert(servers.find(nodeKey("a"))->isCold(3'499, COLD_MS));
    cr_assert(!servers.find(nodeKey("a"))->isCold(3'500, COLD_MS));
    entry.coldLeftMs = 0;
    servers.put(entry, 2'000);
    cr_assert(!servers.find(nodeKey("a"))->isCold(2'000, COLD_MS), "a later entry states that it is no longer cold");
}

Test(evacuation, rows_begin_and_end_evacuations_in_any_number_of_copies)
{
    loop::EventLoop loop;
    observe::Log log("vm1", "error");
    ServerRegistry servers;
    upstreams::EvacuationUpdater updater(loop, log, servers, "evacuate/");
    updater.onRows(
        { { "config", "{}", 3, false }, { "evacuate/", "{}", 4, false }, { "evacuate/north", "{}", 5, false } });
    cr_assert((servers.evacuatedDataCentres() == std::set<std::string> { "north" }));
    updater.onRows({ { "evacuate/north", "{}", 6, false }, { "evacuate/south", "not JSON", 7, false } });
    cr_assert((servers.evacuatedDataCentres() == std::set<std::string> { "north", "south" }));
    updater.onRows({ { "evacuate/north", "", 8, true } });
    cr_assert((servers.evacuatedDataCentres() == std::set<std::string> { "south" }));
}

Test(evacuation, new_requests_and_repeats_avoid_an_evacuated_data_centre, .timeout = 20)
{
    TwoDataCentres f;
    f.servers.beginEvacuation("north");
    for (int i = 0; i < 10; ++i)
        cr_assert_eq(f.call().status, 200);
    cr_assert_eq(f.arrivals["a"], 0);
    f.servers.endEvacuation("north", f.loop.now());
    f.servers.beginEvacuation("south");
    cr_assert_eq(f.call().status, 200);
    cr_assert_eq(f.arrivals["a"], 1);
}

Test(evacuation, a_service_without_a_server_elsewhere_refuses_at_once, .timeout = 20)
{
    TwoDataCentres f;
    f.servers.beginEvacuation("north");
    f.servers.beginEvacuation("south");
    const auto answer = f.call();
    cr_assert_eq(answer.status, 503);
    cr_assert(!answer.retryAfter.empty());
    cr_assert_eq(f.arrivals["a"] + f.arrivals["b"], 0);
}

Test(evacuation, a_cold_server_gets_no_more_requests_than_its_service_tolerates, .timeout = 20)
{
    TwoDataCentres f;
    f.service.coldMs = 60'000;
    f.service.coldRequestsPerS = 2;
    f.configure();
    f.coldStarts.setDaemons(nodeKey("vm1"), { nodeKey("vm1") });
    auto entry = f.entryOf("a");
    entry.coldLeftMs = 60'000;
    f.servers.put(entry, f.loop.now());
    f.servers.beginEvacuation("south");
    int served = 0;
    for (int i = 0; i < 8; ++i)
        served += f.call().status == 200 ? 1 : 0;
    cr_assert_leq(f.arrivals["a"], 4, "two in each window of 1.5 s; the calls take far less than three");
    cr_assert_eq(served, f.arrivals["a"]);
    f.servers.endEvacuation("south", f.loop.now());
}

Test(evacuation, requests_run_only_in_the_regions_that_their_route_and_workspace_permit, .timeout = 20)
{
    TwoDataCentres f;
    f.settings.regions = { { "north", "up" }, { "south", "down" } };
    f.route.regions = { "up" };
    f.configure();
    for (int i = 0; i < 5; ++i)
        cr_assert_eq(f.call().status, 200);
    cr_assert_eq(f.arrivals["b"], 0);
    f.route.regions = { "elsewhere" };
    f.configure();
    cr_assert_eq(f.call().status, 503);
}

/// Guards against ending an evacuation because an older copy of the store lacks the request for it.
Test(evacuation, a_request_that_a_restored_store_lacks_holds_until_it_can_no_longer_be_written_again, .timeout = 30)
{
    loop::TimeMs now = 1'000'000;
    loop::EventLoop loop { [&] { return now; } };
    loop.every(10, [] {});
    const auto runFor = [&](loop::TimeMs ms) {
        for (const loop::TimeMs until = now + ms; now < until; now += 10)
            loop.runOnce();
    };
    const observe::Log log("vm1", "error");
    ServerRegistry servers;
    upstreams::EvacuationUpdater updater(loop, log, servers, "evacuate/");
    updater.onRows({ { "evacuate/north", "", 5, false }, { "evacuate/south", "", 6, false } });
    updater.onRows({ { "evacuate/north", "", 3, true, true }, { "evacuate/south", "", 3, true, true } });
    cr_assert_eq(servers.evacuatedDataCentres().size(), 2);
    updater.onRows({ { "evacuate/north", "", 4, false } });
    runFor(10'000);
    cr_assert((servers.evacuatedDataCentres() == std::set<std::string> { "north" }));
    updater.onRows({ { "evacuate/north", "", 9, true } });
    cr_assert(servers.evacuatedDataCentres().empty(), "a removed request ends the evacuation at once");
}
