#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat::upstreams;
using goldcrestcleat::routing::nodeKey;

namespace {

ServerEntry entry(const std::string& id, const std::string& service = "s")
{
    ServerEntry e;
    e.id = id;
    e.service = service;
    e.address = "10.0.0.1:80";
    e.slots = 4;
    return e;
}

std::vector<std::string> usableIds(const ServerRegistry& registry, long long now, const std::string& service = "s")
{
    std::vector<std::string> ids;
    for (const auto* server : registry.usable(service, now))
        ids.push_back(server->entry.id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

Test(server_registry, leaving_and_removed_servers_get_no_requests)
{
    ServerRegistry registry;
    registry.put(entry("a"), 0);
    registry.put(entry("b"), 0);
    registry.put(entry("other", "t"), 0);
    ServerEntry leaving = entry("a");
    leaving.isLeaving = true;
    registry.put(leaving, 10);
    cr_assert((usableIds(registry, 10) == Ids { "b" }));
    registry.markRemoved({ "b" }, false, 20);
    cr_assert(usableIds(registry, 20).empty());
    cr_assert((usableIds(registry, 20, "t") == Ids { "other" }));
}

/// Guards against treating a removal as an expiry because no other server is left: the servers that an operator had
/// taken away stayed in use for 2.5 s and more.
Test(server_registry, removed_servers_get_no_requests_however_few_are_left)
{
    const std::vector<std::vector<std::string>> removals = { { "a" }, { "a", "b" }, { "a", "b", "c", "d" } };
    for (const auto& removed : removals) {
        ServerRegistry registry;
        for (const char* id : { "a", "b", "c", "d" })
            registry.put(entry(id), 0);
        registry.markRemoved(removed, false, 100);
        cr_assert_eq(usableIds(registry, 100).size(), 4 - removed.size());
        cr_assert_eq(usableIds(registry, 9'000).size(), 4 - removed.size());
    }
    ServerRegistry registry;
    registry.put(entry("a"), 0);
    registry.markRemoved({ "a" }, false, 100);
    registry.put(entry("new"), 100); // at the address of the removed server
    cr_assert((usableIds(registry, 100) == Ids { "new" }));
}

Test(server_registry, an_entry_that_may_have_expired_is_used_like_the_others_until_it_is_given_up)
{
    ServerRegistry registry;
    for (const char* id : { "a", "b", "c" })
        registry.put(entry(id), 0);
    registry.markRemoved({ "a", "b" }, true, 100);
    cr_assert_eq(usableIds(registry, 2'400).size(), 3);
    registry.put(entry("a"), 2'400);
    cr_assert((registry.giveUpExpired() == Ids { "b" }));
    cr_assert((usableIds(registry, 2'500) == Ids { "a", "c" }));
    registry.markRemoved({ "b" }, true, 2'600);
    cr_assert((usableIds(registry, 2'600) == Ids { "a", "c" }), "a later outage does not bring it back");
    registry.put(entry("b"), 3'000);
    cr_assert_eq(usableIds(registry, 3'000).size(), 3, "it is registered again");
}

Test(server_registry, the_entry_of_a_leaving_server_counts_as_removed_and_not_as_expired)
{
    ServerRegistry registry;
    ServerEntry leaving = entry("a");
    leaving.isLeaving = true;
    registry.put(leaving, 0);
    registry.markRemoved({ "a" }, true, 100);
    cr_assert(usableIds(registry, 100).empty());
}

Test(server_registry, an_unreachable_server_gets_no_requests_until_a_connection_opens_unless_there_is_no_other)
{
    ServerRegistry registry;
    registry.put(entry("a"), 0);
    registry.put(entry("b"), 0);
    registry.recordOutcome(nodeKey("a"), Outcome::Unreachable, 0);
    cr_assert((usableIds(registry, 100) == Ids { "b" }));
    cr_assert((usableIds(registry, 60'000) == Ids { "b" }), "no request may be used to probe the server");
    registry.recordOutcome(nodeKey("b"), Outcome::Unreachable, 700);
    cr_assert((usableIds(registry, 700) == Ids { "a", "b" }), "unreachable servers are used when there are no others");
    registry.onConnected(nodeKey("a"), 0);
    cr_assert((usableIds(registry, 800) == Ids { "a" }));
}

Test(server_registry, an_unreachable_server_is_checked_at_increasing_intervals)
{
    ServerRegistry registry;
    registry.put(entry("a"), 0);
    std::vector<long long> intervals;
    for (int i = 0; i < 6; ++i) {
        registry.recordOutcome(nodeKey("a"), Outcome::Unreachable, 1'000);
        intervals.push_back(registry.find(nodeKey("a"))->nextCheckAt - 1'000);
    }
    cr_assert((intervals == std::vector<long long> { 250, 500, 1'000, 2'000, 2'000, 2'000 }));
}

Test(server_registry, a_server_that_is_listed_again_no_longer_counts_as_unreachable)
{
    ServerRegistry registry;
    for (const char* id : { "a", "b", "c" })
        registry.put(entry(id), 0);
    registry.recordOutcome(nodeKey("a"), Outcome::Unreachable, 0);
    registry.markRemoved({ "a" }, true, 100);
    registry.put(entry("a"), 300);
    cr_assert_eq(usableIds(registry, 300).size(), 3);
}

Test(server_registry, a_restart_under_the_same_id_discards_the_history)
{
    ServerRegistry registry;
    registry.put(entry("a"), 0);
    registry.put(entry("b"), 0);
    for (int i = 0; i < 5; ++i)
        registry.recordOutcome(nodeKey("a"), Outcome::Unreachable, 0);
    ServerEntry restarted = entry("a");
    restarted.startedAtMs = 1'700'000'000'000;
    registry.put(restarted, 10);
    cr_assert((usableIds(registry, 10) == Ids { "a", "b" }));
}

Test(server_registry, a_server_that_fails_more_often_than_its_service_is_avoided)
{
    ServerRegistry registry;
    for (const char* id : { "a", "b", "c" })
        registry.put(entry(id), 0);
    for (int i = 0; i < 12; ++i) {
        registry.recordOutcome(nodeKey("a"), i % 2 ? Outcome::Broken : Outcome::Answered, i);
        registry.recordOutcome(nodeKey("b"), Outcome::Answered, i);
        registry.recordOutcome(nodeKey("c"), Outcome::Answered, i);
    }
    cr_assert((usableIds(registry, 12) == Ids { "b", "c" }));
    cr_assert((usableIds(registry, 5'000) == Ids { "a", "b", "c" }), "the server must be tried again");
}

Test(server_registry, failures_common_to_all_servers_exclude_none)
{
    ServerRegistry registry;
    for (const char* id : { "a", "b", "c" })
        registry.put(entry(id), 0);
    for (int i = 0; i < 30; ++i) {
        for (const char* id : { "a", "b", "c" })
            registry.recordOutcome(nodeKey(id), i % 3 ? Outcome::Answered : Outcome::ServerError, i);
    }
    cr_assert((usableIds(registry, 30) == Ids { "a", "b", "c" }));
}

Test(server_registry, loads_of_peers_count_until_the_peer_disconnects)
{
    ServerRegistry registry;
    registry.put(entry("a"), 0);
    registry.addRequest(nodeKey("a"));
    registry.setPeerLoads(nodeKey("vm2"), { { nodeKey("a"), 3 } });
    registry.setPeerLoads(nodeKey("vm3"), { { nodeKey("a"), 2 } });
    cr_assert_eq(registry.find(nodeKey("a"))->load(), 6);
    registry.setPeerLoads(nodeKey("vm2"), { { nodeKey("a"), 1 } });
    cr_assert_eq(registry.find(nodeKey("a"))->load(), 4);
    registry.removePeer(nodeKey("vm3"));
    registry.removeRequest(nodeKey("a"));
    cr_assert_eq(registry.find(nodeKey("a"))->load(), 1);
}

Test(server_registry, loads_reported_before_the_server_is_known_count)
{
    ServerRegistry registry;
    registry.setPeerLoads(nodeKey("vm2"), { { nodeKey("a"), 3 } });
    registry.setPeerLoads(nodeKey("vm3"), { { nodeKey("a"), 2 } });
    registry.put(entry("a"), 0);
    cr_assert_eq(registry.find(nodeKey("a"))->load(), 5);
    registry.removePeer(nodeKey("vm2"));
    cr_assert_eq(registry.find(nodeKey("a"))->load(), 2);
}

Test(server_registry, a_report_of_a_peer_replaces_its_previous_one)
{
    ServerRegistry registry;
    for (const char* id : { "a", "b" })
        registry.put(entry(id), 0);
    const auto a = nodeKey("a");
    const auto b = nodeKey("b");
    registry.setPeerLoads(1, { { a, 3 }, { b, 1 } });
    registry.setPeerLoads(2, { { a, 4 } });
    cr_assert_eq(registry.find(a)->peerOpen, 7);
    registry.setPeerLoads(1, { { b, 2 } });
    cr_assert_eq(registry.find(a)->peerOpen, 4, "requests that a peer no longer reports count as closed");
    cr_assert_eq(registry.find(b)->peerOpen, 2);
    registry.removePeer(2);
    cr_assert_eq(registry.find(a)->peerOpen, 0);
}
