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

std::vector<std::string> usableIds(const ServerRegistry& book, long long now, const std::string& service = "s")
{
    std::vector<std::string> ids;
    for (const auto* server : book.usable(service, now))
        ids.push_back(server->entry.id);
    std::sort(ids.begin(), ids.end());
    return ids;
}

using Ids = std::vector<std::string>;

} // namespace

Test(server_book, leaving_and_removed_servers_get_no_work)
{
    ServerRegistry book;
    book.put(entry("a"), 0);
    book.put(entry("b"), 0);
    book.put(entry("other", "t"), 0);
    ServerEntry leaving = entry("a");
    leaving.isLeaving = true;
    book.put(leaving, 10);
    cr_assert((usableIds(book, 10) == Ids { "b" }));
    book.markRemoved({ "b" }, { false, 2'000 }, 20);
    cr_assert(usableIds(book, 20).empty());
    cr_assert((usableIds(book, 20, "t") == Ids { "other" }));
}

Test(server_book, an_entry_that_may_have_lapsed_is_used_for_less_than_the_bound_on_servers_that_left)
{
    ServerRegistry book;
    for (const char* id : { "a", "b", "c", "d", "e" })
        book.put(entry(id), 0);
    book.markRemoved({ "a" }, { true, 2'000 }, 100);
    cr_assert_eq(usableIds(book, 1'299).size(), 5);
    cr_assert((usableIds(book, 1'300) == Ids { "b", "c", "d", "e" }), "a request placed last must arrive in time");
    book.put(entry("a"), 1'700);
    cr_assert_eq(usableIds(book, 9'000).size(), 5);
}

Test(server_book, a_single_entry_that_vanishes_while_the_store_is_there_has_left)
{
    ServerRegistry book;
    for (const char* id : { "a", "b", "c" })
        book.put(entry(id), 0);
    book.markRemoved({ "a" }, { false, 2'000 }, 100);
    cr_assert((usableIds(book, 100) == Ids { "b", "c" }));
}

Test(server_book, a_service_that_vanishes_as_a_whole_has_lapsed_and_is_the_last_resort_until_it_should_be_back)
{
    ServerRegistry book;
    bool isAway = false;
    book.isStoreUnavailable = [&] { return isAway; };
    for (const char* id : { "a", "b", "c" })
        book.put(entry(id), 0);
    book.markRemoved({ "a", "b", "c" }, { false, 2'000 }, 100);
    cr_assert_eq(usableIds(book, 1'299).size(), 3, "the outage was not noticed");
    book.put(entry("b"), 1'700);
    cr_assert((usableIds(book, 1'700) == Ids { "b" }), "listed servers go first");
    book.markRemoved({ "b" }, { true, 2'000 }, 1'800);
    cr_assert_eq(usableIds(book, 2'000).size(), 1);
    isAway = true;
    cr_assert_eq(usableIds(book, 4'500).size(), 3, "no entry can come back while the store is away");
    isAway = false;
    cr_assert_eq(usableIds(book, 6'900).size(), 3);
    cr_assert(usableIds(book, 7'000).empty(), "still missing after the store's return: gone");
}

Test(server_book, a_server_that_had_announced_its_end_has_not_lapsed)
{
    ServerRegistry book;
    ServerEntry leaving = entry("a");
    leaving.isLeaving = true;
    book.put(leaving, 0);
    book.markRemoved({ "a" }, { true, 2'000 }, 100);
    cr_assert(usableIds(book, 100).empty());
}

Test(server_book, an_unreachable_server_gets_no_work_until_a_connection_opens_unless_there_is_no_other)
{
    ServerRegistry book;
    book.put(entry("a"), 0);
    book.put(entry("b"), 0);
    book.record(nodeKey("a"), Outcome::Unreachable, 0);
    cr_assert((usableIds(book, 100) == Ids { "b" }));
    cr_assert((usableIds(book, 60'000) == Ids { "b" }), "no request has to find out");
    book.record(nodeKey("b"), Outcome::Unreachable, 700);
    cr_assert((usableIds(book, 700) == Ids { "a", "b" }), "avoided servers are better than none");
    book.onConnected(nodeKey("a"));
    cr_assert((usableIds(book, 800) == Ids { "a" }));
}

Test(server_book, an_unreachable_server_is_looked_for_at_longer_and_longer_intervals)
{
    ServerRegistry book;
    book.put(entry("a"), 0);
    std::vector<long long> waits;
    for (int i = 0; i < 6; ++i) {
        book.record(nodeKey("a"), Outcome::Unreachable, 1'000);
        waits.push_back(book.find(nodeKey("a"))->nextCheckAt - 1'000);
    }
    cr_assert((waits == std::vector<long long> { 250, 500, 1'000, 2'000, 2'000, 2'000 }));
}

Test(server_book, a_server_that_is_listed_again_is_no_longer_taken_for_unreachable)
{
    ServerRegistry book;
    for (const char* id : { "a", "b", "c" })
        book.put(entry(id), 0);
    book.record(nodeKey("a"), Outcome::Unreachable, 0);
    book.markRemoved({ "a" }, { true, 2'000 }, 100);
    book.put(entry("a"), 300);
    cr_assert_eq(usableIds(book, 300).size(), 3);
}

Test(server_book, a_new_start_under_the_same_id_begins_without_a_history)
{
    ServerRegistry book;
    book.put(entry("a"), 0);
    book.put(entry("b"), 0);
    for (int i = 0; i < 5; ++i)
        book.record(nodeKey("a"), Outcome::Unreachable, 0);
    ServerEntry reborn = entry("a");
    reborn.startedAtMs = 1'700'000'000'000;
    book.put(reborn, 10);
    cr_assert((usableIds(book, 10) == Ids { "a", "b" }));
}

Test(server_book, a_server_that_fails_more_than_its_service_is_avoided)
{
    ServerRegistry book;
    for (const char* id : { "a", "b", "c" })
        book.put(entry(id), 0);
    for (int i = 0; i < 12; ++i) {
        book.record(nodeKey("a"), i % 2 ? Outcome::Broken : Outcome::Answered, i);
        book.record(nodeKey("b"), Outcome::Answered, i);
        book.record(nodeKey("c"), Outcome::Answered, i);
    }
    cr_assert((usableIds(book, 12) == Ids { "b", "c" }));
    cr_assert((usableIds(book, 5'000) == Ids { "a", "b", "c" }), "it gets another chance");
}

Test(server_book, failures_that_all_servers_share_single_out_none)
{
    ServerRegistry book;
    for (const char* id : { "a", "b", "c" })
        book.put(entry(id), 0);
    for (int i = 0; i < 30; ++i) {
        for (const char* id : { "a", "b", "c" })
            book.record(nodeKey(id), i % 3 ? Outcome::Answered : Outcome::ServerError, i);
    }
    cr_assert((usableIds(book, 30) == Ids { "a", "b", "c" }));
}

Test(server_book, loads_of_peers_count_and_end_with_their_link)
{
    ServerRegistry book;
    book.put(entry("a"), 0);
    book.addRequest(nodeKey("a"));
    book.setPeerLoads(nodeKey("vm2"), { { nodeKey("a"), 3 } });
    book.setPeerLoads(nodeKey("vm3"), { { nodeKey("a"), 2 } });
    cr_assert_eq(book.find(nodeKey("a"))->load(), 6);
    book.setPeerLoads(nodeKey("vm2"), { { nodeKey("a"), 1 } });
    cr_assert_eq(book.find(nodeKey("a"))->load(), 4);
    book.forgetPeer(nodeKey("vm3"));
    book.removeRequest(nodeKey("a"));
    cr_assert_eq(book.find(nodeKey("a"))->load(), 1);
}

Test(server_book, loads_that_were_reported_before_the_server_was_known_count)
{
    ServerRegistry book;
    book.setPeerLoads(nodeKey("vm2"), { { nodeKey("a"), 3 } });
    book.setPeerLoads(nodeKey("vm3"), { { nodeKey("a"), 2 } });
    book.put(entry("a"), 0);
    cr_assert_eq(book.find(nodeKey("a"))->load(), 5);
    book.forgetPeer(nodeKey("vm2"));
    cr_assert_eq(book.find(nodeKey("a"))->load(), 2);
}

Test(server_book, a_peers_loads_replace_those_that_it_told_before)
{
    ServerRegistry book;
    for (const char* id : { "a", "b" })
        book.put(entry(id), 0);
    const auto a = nodeKey("a");
    const auto b = nodeKey("b");
    book.setPeerLoads(1, { { a, 3 }, { b, 1 } });
    book.setPeerLoads(2, { { a, 4 } });
    cr_assert_eq(book.find(a)->peerOpen, 7);
    book.setPeerLoads(1, { { b, 2 } });
    cr_assert_eq(book.find(a)->peerOpen, 4, "what a peer does not name it has closed");
    cr_assert_eq(book.find(b)->peerOpen, 2);
    book.forgetPeer(2);
    cr_assert_eq(book.find(a)->peerOpen, 0);
}
