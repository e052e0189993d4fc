#include "goldcrestcleat/upstreams/ServerRegistryUpdater.h"

#include "goldcrestcleat/errors/ResultCode.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using namespace goldcrestcleat::upstreams;

namespace {

struct Fixture {
    loop::EventLoop loop;
    observe::Log log { "vm1", "error" };
    ServerRegistry book;
    std::vector<routing::NodeKey> ended;
    bool mayHaveExpired = false;
    ServerRegistryUpdater feed { loop, log, book,
        { [](const std::string& id, const std::string& text) {
             if (text == "torn")
                 throw errors::Error(errors::ResultCode::ServerEntryInvalid, id);
             ServerEntry entry;
             entry.id = id;
             entry.service = "s";
             entry.address = text;
             return entry;
         },
            [this] {
                return RemovalPolicy { mayHaveExpired, 2'000 };
            },
            [this](routing::NodeKey server) { ended.push_back(server); } } };

    std::size_t usable() const { return book.usable("s", loop.now()).size(); }
};

} // namespace

Test(server_feed, rows_become_servers_and_removed_rows_end_them)
{
    Fixture f;
    f.feed.onRows(
        { { "a", "10.0.0.1:1", 1, false }, { "b", "10.0.0.2:1", 2, false }, { "c", "10.0.0.3:1", 3, false } }, 3);
    cr_assert_eq(f.usable(), 3);
    f.feed.onRows({ { "a", "", 4, true } }, 4);
    cr_assert_eq(f.usable(), 2);
    f.mayHaveExpired = true;
    f.feed.onRows({ { "b", "", 5, true } }, 5);
    cr_assert_eq(f.usable(), 2, "it may still be there");
    cr_assert(f.ended.empty());
}

Test(server_feed, a_torn_row_names_no_server_and_leaves_the_others)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false }, { "b", "10.0.0.2:1", 2, false } }, 2);
    f.feed.onRows({ { "a", "torn", 3, false }, { "c", "10.0.0.3:1", 4, false } }, 4);
    cr_assert_eq(f.usable(), 2);
    cr_assert_null(f.book.find(routing::nodeKey("a")));
}

Test(server_feed, a_new_start_of_a_known_server_is_reported)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false } }, 1);
    f.feed.onRows({ { "a", "10.0.0.9:1", 2, false } }, 2);
    cr_assert((f.ended == std::vector<routing::NodeKey> { routing::nodeKey("a") }));
}
