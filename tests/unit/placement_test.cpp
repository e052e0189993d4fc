#include "goldcrestcleat/fleet/Ownership.h"
#include "goldcrestcleat/routing/AffinityTokenSigner.h"
#include "goldcrestcleat/routing/ChatAffinityCache.h"
#include "goldcrestcleat/routing/Placement.h"

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <set>

using namespace goldcrestcleat;
using namespace goldcrestcleat::routing;

namespace {

LoadView viewOf(const std::vector<NodeKey>& keys)
{
    LoadView view(500);
    for (const NodeKey key : keys)
        view.putEngine({ key, "m", 100, true });
    return view;
}

std::vector<NodeKey> keysUpTo(int count)
{
    std::vector<NodeKey> keys;
    for (int i = 1; i <= count; ++i)
        keys.push_back(nodeKey("engine" + std::to_string(i)));
    return keys;
}

/// Reference implementation that examines every engine.
NodeKey leastLoadedByLinearSearch(const LoadView& view, const std::vector<NodeKey>& excluded)
{
    NodeKey best = NO_NODE;
    int bestLoad = 0;
    for (const auto& entry : view.entries()) {
        if (!entry.eligible || std::count(excluded.begin(), excluded.end(), entry.key))
            continue;
        if (best == NO_NODE || entry.load < bestLoad) {
            best = entry.key;
            bestLoad = entry.load;
        }
    }
    return best;
}

} // namespace

Test(placement, the_hashed_engine_does_not_depend_on_the_order_of_insertion)
{
    cr_assert(rc::check([](ChatKey chat) {
        auto keys = keysUpTo(20);
        const auto one = viewOf(keys).hashedEngine("m", chat);
        std::reverse(keys.begin(), keys.end());
        RC_ASSERT(viewOf(keys).hashedEngine("m", chat) == one);
    }));
}

Test(placement, removing_an_engine_moves_only_its_chats)
{
    cr_assert(rc::check([] {
        auto keys = keysUpTo(20);
        const auto before = viewOf(keys);
        const auto removed = keys[*rc::gen::inRange<std::size_t>(0, keys.size())];
        auto after = viewOf(keys);
        after.putEngine({ removed, "m", 100, false });
        for (int i = 0; i < 200; ++i) {
            const auto chat = *rc::gen::arbitrary<ChatKey>();
            const auto old = before.hashedEngine("m", chat);
            if (old != removed)
                RC_ASSERT(after.hashedEngine("m", chat) == old);
            else
                RC_ASSERT(after.hashedEngine("m", chat) != removed);
        }
    }));
}

Test(placement, the_least_loaded_engine_equals_a_linear_search_on_small_fleets)
{
    cr_assert(rc::check([] {
        const auto keys = keysUpTo(*rc::gen::inRange(1, 32));
        auto view = viewOf(keys);
        std::vector<NodeKey> excluded;
        for (const auto key : keys) {
            view.setLoad(key, *rc::gen::inRange(0, 30), 0);
            if (*rc::gen::inRange(0, 4) == 0)
                excluded.push_back(key);
        }
        std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
        const auto chosen = view.leastLoaded("m", excluded, LEAST_LOADED_SAMPLES, random);
        const auto expected = leastLoadedByLinearSearch(view, excluded);
        RC_ASSERT((chosen == NO_NODE) == (expected == NO_NODE));
        if (expected != NO_NODE)
            RC_ASSERT(view.find(chosen)->load == view.find(expected)->load);
    }));
}

Test(placement, the_mean_equals_a_full_sum_after_any_changes)
{
    cr_assert(rc::check([] {
        const auto keys = keysUpTo(12);
        auto view = viewOf(keys);
        for (int step = 0; step < 60; ++step) {
            const auto key = keys[*rc::gen::inRange<std::size_t>(0, keys.size())];
            if (*rc::gen::inRange(0, 5) == 0)
                view.putEngine({ key, "m", 100, *rc::gen::arbitrary<bool>() });
            else
                view.setLoad(key, *rc::gen::inRange(0, 50), step);
        }
        double sum = 0;
        int count = 0;
        for (const auto& entry : view.entries()) {
            sum += entry.eligible ? entry.load : 0;
            count += entry.eligible;
        }
        RC_ASSERT(std::abs(view.mean("m") - (count ? sum / count : 0.0)) < 1e-9);
    }));
}

Test(placement, an_affinity_token_precedes_memory_and_hashing_and_is_not_binding)
{
    const auto keys = keysUpTo(4);
    auto view = viewOf(keys);
    std::mt19937_64 random(1);
    PlacementQuery query;
    query.chat = 42;
    query.model = "m";
    query.preferredEngine = keys[1];
    query.rememberedEngine = keys[2];
    cr_assert_eq(choosePlacement(view, query, random).engine, keys[1]);
    view.putEngine({ keys[1], "m", 100, false });
    cr_assert_eq(choosePlacement(view, query, random).engine, keys[2],
        "an affinity token that names a leaving engine is ignored");
    query.rememberedEngine = nodeKey("unknown");
    const auto choice = choosePlacement(view, query, random);
    cr_assert_eq(choice.engine, view.hashedEngine("m", 42));
    cr_assert_not(choice.isWarm);
}

Test(placement, chats_spread_evenly_over_engines)
{
    const auto keys = keysUpTo(20);
    const auto view = viewOf(keys);
    std::map<NodeKey, int> count;
    constexpr int CHATS = 40'000;
    for (ChatKey chat = 1; chat <= CHATS; ++chat)
        ++count[view.hashedEngine("m", chat)];
    for (const auto key : keys) {
        cr_assert_gt(count[key], CHATS / 20.0 * 0.6);
        cr_assert_lt(count[key], CHATS / 20.0 * 1.4);
    }
}

Test(affinity_token, is_valid_only_for_its_chat_and_secret)
{
    const AffinityTokenSigner signer("secret-one");
    const auto token = signer.sign(7, 1234);
    cr_assert_eq(signer.verify(7, token), 1234);
    cr_assert_eq(signer.verify(8, token), NO_NODE);
    cr_assert_eq(AffinityTokenSigner("secret-two").verify(7, token), NO_NODE);
    std::string forged = token;
    forged[0] = forged[0] == 'a' ? 'b' : 'a';
    cr_assert_eq(signer.verify(7, forged), NO_NODE);
    cr_assert_eq(signer.verify(7, ""), NO_NODE);
    cr_assert_eq(signer.verify(7, std::string(10'000, 'f')), NO_NODE);
}

Test(chat_memory, keeps_the_newest_chats_within_its_memory_limit)
{
    ChatAffinityCache memory(64 * 1024);
    cr_assert_leq(memory.capacity() * 16, 64 * 1024);
    for (ChatKey chat = 1; chat <= 100'000; ++chat)
        memory.put(chat, 9);
    cr_assert_leq(memory.size(), memory.capacity());
    cr_assert_eq(memory.find(100'000), 9);
    memory.put(100'000, 10);
    cr_assert_eq(memory.find(100'000), 10);
    cr_assert_eq(memory.find(1), NO_NODE);
}

Test(ownership, removing_a_daemon_moves_only_its_upstreams_to_their_second_choice)
{
    const auto upstreams = keysUpTo(200);
    const std::vector<NodeKey> daemons = { 1, 2, 3, 4, 5 };
    fleet::Ownership before;
    before.setDaemons(daemons);
    for (const auto removed : daemons) {
        fleet::Ownership after;
        auto remaining = daemons;
        remaining.erase(std::find(remaining.begin(), remaining.end(), removed));
        after.setDaemons(remaining);
        for (const auto upstream : upstreams) {
            const auto owner = before.ownerOf(upstream);
            cr_assert_eq(after.ownerOf(upstream), owner == removed ? before.backupOwnerOf(upstream) : owner);
        }
    }
}
