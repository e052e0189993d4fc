#include "goldcrestcleat/fleet/ConfigCache.h"
#include "goldcrestcleat/fleet/PeerMessages.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

using namespace goldcrestcleat;
using namespace goldcrestcleat::fleet;

namespace {

std::vector<PeerMessage> oneOfEach()
{
    return {
        Hello { "vm1", "00ff" },
        Proof { "ab" },
        AcquireTicket { 1, 2, 3, 1.5, 2.5, 300, true, 0xffffffffffffffffULL },
        TicketReply { 9, true, 4, 77 },
        ReleaseTicket { 1, 2 },
        HeldTickets { 5, { 1, 2, 3 } },
        DaemonState { true, false, 123, { 5, 6 } },
        EngineLoads { { { 1, 2 }, { 3, 4 } } },
        MoveRequest { 8 },
        RememberChat { 1, 2 },
        SuspectReport { { { 1, 2, true }, { 3, 4, false } } },
        UpstreamStatus { { { 1, true, false, 7 } } },
        ServerLoads { { { 1, 2 }, { 3, 0 } }, false, true, { 7, 0 } },
        MirrorRequest { "servers", 12 },
        MirrorRows { "servers", 12, 1500, { false, 14, { { "a", "x", 13, false }, { "b", "", 14, true } } } },
        ClearedSuspects { { 1, 0xffffffffffffffffULL } },
        UnreachableServers { { 7, 0xffffffffU } },
        ConfigItems { { { "profile", "quick", 3, { { "priority", 1 } } } } },
    };
}

} // namespace

Test(peer_messages, every_message_survives_encoding)
{
    for (const auto& message : oneOfEach()) {
        const std::string bytes = encode(message);
        const PeerMessage back = decode(bytes);
        cr_assert_eq(back.index(), message.index());
        cr_assert(encode(back) == bytes, "%s changed on the way", kindName(message));
    }
}

Test(peer_messages, cut_or_changed_bytes_throw_a_numbered_error_or_decode)
{
    for (const auto& message : oneOfEach()) {
        const std::string whole = encode(message);
        for (std::size_t cut = 0; cut < whole.size(); ++cut) {
            try {
                decode(whole.substr(0, cut));
                cr_assert_fail("%s cut to %zu bytes was taken", kindName(message), cut);
            } catch (const errors::PeerError& e) {
                cr_assert_eq(static_cast<int>(e.code()), 7002);
            }
        }
    }
    cr_assert(rc::check([](const std::string& garbage) {
        try {
            decode(garbage);
        } catch (const errors::PeerError&) {
            // the only exception that may leave
        }
    }));
}

Test(peer_messages, the_control_messages_of_a_request_are_small)
{
    cr_assert_leq(encode(AcquireTicket { 70'000, 0xffffffff, 0xffff, 1, 8, 300, false, 0 }).size(), 26);
    cr_assert_leq(encode(TicketReply { 70'000, true, 12, 0 }).size(), 12);
    cr_assert_leq(encode(ReleaseTicket { 70'000, 0xffffffff }).size(), 12);
}

Test(config_book, versions_never_go_down)
{
    cr_assert(rc::check([] {
        ConfigCache book;
        std::uint64_t highest = 0;
        for (int i = 0; i < 20; ++i) {
            const auto version = *rc::gen::inRange<std::uint64_t>(1, 10);
            const bool taken = book.apply({ "profile", "p", version, static_cast<int>(version) });
            RC_ASSERT(taken == (version > highest));
            highest = std::max(highest, version);
            RC_ASSERT(book.find("profile", "p")->version == highest);
        }
    }));
}

Test(config_book, books_with_the_same_items_have_the_same_digest_in_any_order)
{
    ConfigCache one;
    ConfigCache two;
    one.apply({ "profile", "a", 1, 0 });
    one.apply({ "profile", "a", 2, 0 });
    one.apply({ "upstream", "b", 1, 0 });
    two.apply({ "upstream", "b", 1, 0 });
    cr_assert_neq(one.digest(), two.digest());
    two.apply({ "profile", "a", 2, 0 });
    cr_assert_eq(one.digest(), two.digest());
}
