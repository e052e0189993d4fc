#include "goldcrestcleat/upstreams/ServerRegistryUpdater.h"

#include "goldcrestcleat/errors/ResultCode.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using namespace goldcrestcleat::upstreams;

namespace {

struct Fixture {
    loop::EventLoop loop;
    observe::Log log { "vm1", "error" };
    ServerRegistry registry;
    std::vector<routing::NodeKey> ended;
    bool mayHaveExpired = false;
    ServerRegistryUpdater feed { loop, log, registry,
        { [](const std::string& id, const std::string& text) {
             if (text == "invalid")
                 throw errors::Error(errors::ResultCode::ServerEntryInvalid, id);
             ServerEntry entry;
             entry.id = id;
             entry.service = "s";
             entry.address = text;
             return entry;
         },
            [this] { return mayHaveExpired; }, [] { return 0; },
            [this](routing::NodeKey server) { ended.push_back(server); } } };

    std::size_t usableCount() const { return registry.usable("s", loop.now()).size(); }
};

} // namespace

Test(server_feed, rows_add_servers_and_removed_rows_remove_them)
{
    Fixture f;
    f.feed.onRows(
        { { "a", "10.0.0.1:1", 1, false }, { "b", "10.0.0.2:1", 2, false }, { "c", "10.0.0.3:1", 3, false } }, 3);
    cr_assert_eq(f.usableCount(), 3);
    f.feed.onRows({ { "a", "", 4, true } }, 4);
    cr_assert_eq(f.usableCount(), 2);
    f.mayHaveExpired = true;
    f.feed.onRows({ { "b", "", 5, true } }, 5);
    cr_assert_eq(f.usableCount(), 2, "its entry may only have expired");
    cr_assert(f.ended.empty());
}

Test(server_feed, an_entry_that_may_have_expired_is_given_up_once_it_can_no_longer_return, .timeout = 20)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false }, { "b", "10.0.0.2:1", 2, false } }, 2);
    f.mayHaveExpired = true;
    f.feed.onRows({ { "a", "", 3, true }, { "b", "", 3, true } }, 3);
    f.loop.after(500, [&] {
        cr_assert_eq(f.usableCount(), 2);
        f.feed.onRows({ { "b", "10.0.0.2:1", 4, false } }, 4);
        f.mayHaveExpired = false;
    });
    while (f.usableCount() == 2)
        f.loop.runOnce();
    cr_assert_eq(f.registry.usable("s", f.loop.now()).front()->entry.id, "b");
}

Test(server_feed, an_invalid_row_removes_its_server_only)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false }, { "b", "10.0.0.2:1", 2, false } }, 2);
    f.feed.onRows({ { "a", "invalid", 3, false }, { "c", "10.0.0.3:1", 4, false } }, 4);
    cr_assert_eq(f.usableCount(), 2);
    cr_assert_null(f.registry.find(routing::nodeKey("a")));
}

Test(server_feed, a_restart_of_a_known_server_is_reported)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false } }, 1);
    f.feed.onRows({ { "a", "10.0.0.9:1", 2, false } }, 2);
    cr_assert((f.ended == std::vector<routing::NodeKey> { routing::nodeKey("a") }));
}
