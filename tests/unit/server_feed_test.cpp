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
    bool mayBeRewritten = false;
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
            [this] { return mayHaveExpired; }, [this] { return mayBeRewritten; }, [] { return 0; },
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

/// Guards against using a removed server again because an older copy of the store still lists it.
Test(server_feed, a_removed_server_that_a_restored_store_lists_is_held_until_it_writes_its_entry_again)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false }, { "b", "10.0.0.2:1", 2, false } }, 2);
    f.feed.onRows({ { "a", "", 3, true } }, 3);
    f.feed.onRows({ { "b", "", 4, true } }, 4); // forgets `a`
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false, true }, { "b", "10.0.0.2:1", 2, false, true } }, 2);
    cr_assert_eq(f.usableCount(), 0);
    f.feed.onRows({ { "a", "10.0.0.1:1", 3, false } }, 3);
    cr_assert_eq(f.usableCount(), 1);
}

Test(server_feed, a_server_whose_entry_a_restored_store_lacks_stays_in_use_until_it_can_no_longer_be_written_again,
    .timeout = 20)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false }, { "b", "10.0.0.2:1", 2, false } }, 2);
    f.mayBeRewritten = true;
    f.feed.onRows({ { "a", "", 1, true, true }, { "b", "", 2, true } }, 2);
    cr_assert_eq(f.usableCount(), 1, "the other one was removed");
    f.loop.after(500, [&] {
        cr_assert_eq(f.usableCount(), 1);
        f.mayBeRewritten = false;
    });
    f.loop.after(1'000, [&] { f.loop.stop(); });
    f.loop.run();
    cr_assert_eq(f.usableCount(), 0);
}

/// Guards against holding a server for good that runs and whose entry does not change.
Test(server_feed, a_held_server_is_released_after_its_entry_has_lasted, .timeout = 20)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false } }, 1);
    f.feed.onRows({ { "a", "", 2, true } }, 2);
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false, true } }, 1);
    cr_assert_eq(f.usableCount(), 0);
    while (f.usableCount() == 0)
        f.loop.runOnce();
}

/// Guards against holding a server that runs because its entry was missing at some time before.
Test(server_feed, a_server_that_was_removed_and_is_back_is_not_held)
{
    Fixture f;
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false } }, 1);
    f.feed.onRows({ { "a", "", 2, true } }, 2);
    f.feed.onRows({ { "a", "10.0.0.1:1", 3, false } }, 3);
    f.feed.onRows({ { "a", "10.0.0.1:1", 1, false, true } }, 1);
    cr_assert_eq(f.usableCount(), 1);
}
