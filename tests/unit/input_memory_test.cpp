#include "goldcrestcleat/http/InputMemory.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using http::HeldInput;
using http::InputMemory;

namespace {

constexpr loop::TimeMs NOW = 10'000;

HeldInput unfinished(std::size_t bytes, loop::TimeMs stalledMs) { return { bytes, NOW - stalledMs, true, false }; }

/// Holders that free their memory when they are given up.
struct Fixture {
    InputMemory memory;
    std::vector<HeldInput> held;
    std::vector<InputMemory::HolderId> ids;
    std::vector<std::size_t> givenUp;

    void add(const HeldInput& input)
    {
        const std::size_t index = held.size();
        held.push_back(input);
        memory.change(static_cast<std::ptrdiff_t>(input.bytes));
        ids.push_back(memory.add({ [this, index] { return held[index]; },
            [this, index] {
                givenUp.push_back(index);
                memory.change(-static_cast<std::ptrdiff_t>(held[index].bytes));
                held[index].bytes = 0;
                held[index].isUnfinished = false;
                memory.remove(ids[index]);
            } }));
    }
};

} // namespace

/// Answers a crowd whose requests stop short of their end.
Test(input_memory, the_request_that_holds_the_most_for_the_longest_is_given_up_first)
{
    Fixture f;
    f.memory.setLimit(250);
    f.add(unfinished(100, 400));
    f.add(unfinished(100, 900));
    f.add(unfinished(300, 300));
    f.add(unfinished(50, 400));
    f.memory.freeStalled(NOW);
    cr_assert((f.givenUp == std::vector<std::size_t> { 1, 2 }));
    cr_assert_eq(f.memory.bytes(), 150);
}

Test(input_memory, requests_that_still_arrive_and_complete_ones_are_not_given_up)
{
    Fixture f;
    f.memory.setLimit(10);
    f.add(unfinished(100, http::STALLED_MS - 1));
    f.add({ 100, NOW - 5'000, false, false });
    f.memory.freeStalled(NOW);
    cr_assert(f.givenUp.empty());
    cr_assert(f.memory.mustRefuse(true), "a request that grows further must be refused");
}

/// Guards against a search of all connections for each part that arrives while memory is short.
Test(input_memory, a_search_that_found_nothing_is_not_repeated_at_once)
{
    InputMemory memory;
    int searches = 0;
    memory.setLimit(10);
    memory.change(100);
    memory.add({ [&] {
                    ++searches;
                    return unfinished(100, 0);
                },
        [] {} });
    for (int i = 0; i < 1'000; ++i)
        memory.freeStalled(NOW);
    cr_assert_eq(searches, 1);
    memory.freeStalled(NOW + InputMemory::SEARCH_PERIOD_MS);
    cr_assert_eq(searches, 2);
}

Test(input_memory, small_requests_are_refused_later_than_large_ones)
{
    InputMemory memory;
    memory.setLimit(100);
    memory.change(120);
    cr_assert(memory.mustRefuse(false));
    cr_assert(!memory.mustRefuse(true));
    memory.change(40);
    cr_assert(memory.mustRefuse(true));
}

/// Answers a crowd that holds all connections, with requests that stop short of their end or without any.
Test(input_memory, the_connection_that_is_stalled_the_longest_makes_room_for_a_new_one)
{
    const HeldInput idle { 0, NOW - 9'000, false, false };
    const HeldInput unused { 0, NOW - 2'000, false, true };
    const HeldInput justConnected { 0, NOW - http::UNUSED_MS + 1, false, true };
    cr_assert_eq(*http::findLongestStalled({ idle, unfinished(1, 300), unused, unfinished(9'000, 1'000) }, NOW), 2);
    cr_assert_eq(*http::findLongestStalled({ justConnected, unfinished(1, 300) }, NOW), 1);
    cr_assert(!http::findLongestStalled({ idle, justConnected, unfinished(1, 100) }, NOW));
}
