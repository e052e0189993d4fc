#include "goldcrestcleat/admission/SharedRetryBudget.h"
#include "goldcrestcleat/forwarding/EventReader.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using admission::SharedRetryBudget;
using forwarding::EventReader;
using forwarding::StreamEvent;

Test(event_reader, events_do_not_depend_on_how_the_input_is_split)
{
    const std::string bytes = "id: 7\ndata: one\n\nweight-versions: 3\nid:8\ndata: id: 99\n\n: comment\n\nid: x\n\n";
    for (std::size_t size = 1; size <= bytes.size(); ++size) {
        EventReader reader;
        std::string joined;
        std::vector<std::optional<std::uint64_t>> ids;
        for (std::size_t at = 0; at < bytes.size(); at += size) {
            cr_assert(reader.feed(bytes.substr(at, size), [&](const StreamEvent& event) {
                joined += event.bytes;
                ids.push_back(event.id);
                return true;
            }));
        }
        cr_assert(joined == bytes);
        cr_assert((ids == std::vector<std::optional<std::uint64_t>> { 7, 8, std::nullopt, std::nullopt }));
        cr_assert_not(reader.hasPartialEvent());
    }
}

Test(event_reader, an_incomplete_event_is_not_delivered)
{
    EventReader reader;
    int events = 0;
    reader.feed("id: 1\ndata: a\n\nid: 2\nda", [&](const StreamEvent&) { return ++events > 0; });
    cr_assert_eq(events, 1);
    cr_assert(reader.hasPartialEvent());
}

Test(event_reader, an_event_over_the_size_limit_is_rejected)
{
    EventReader reader;
    const std::string oversizedEvent(EventReader::MAX_EVENT_BYTES + 1, 'x');
    cr_assert_not(reader.feed(oversizedEvent, [](const StreamEvent&) { return true; }));
}

Test(shared_retry_budget, a_daemon_stays_within_its_share_of_the_budget)
{
    SharedRetryBudget budget;
    budget.setParameters({ 0.2, 50, 10'000, 5 });
    int taken = 0;
    while (budget.tryTake("s", 0))
        ++taken;
    cr_assert_eq(taken, 8, "four fifths of a fifth of 50");
    for (int i = 0; i < 100; ++i)
        budget.onRequest("s", 100);
    while (budget.tryTake("s", 100))
        ++taken;
    cr_assert_eq(taken, 24, "and four fifths of a fifth of the 100 requests");
    cr_assert(budget.tryTake("other", 100), "services do not share a budget");
}

Test(shared_retry_budget, retries_are_available_again_when_their_window_ends)
{
    SharedRetryBudget budget;
    budget.setParameters({ 0.2, 50, 10'000, 5 });
    while (budget.tryTake("s", 0)) { }
    cr_assert_not(budget.tryTake("s", 9'999));
    cr_assert(budget.tryTake("s", 10'000));
}
