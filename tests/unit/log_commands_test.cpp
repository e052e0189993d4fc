#include "goldcrestcleat/cli/LogCommands.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace goldcrestcleat::cli;

namespace {

RequestTimeline storyOf(const std::string& log, const std::string& request)
{
    std::istringstream in(log);
    return buildTimeline(readLogLines(in), request);
}

const char* const LOG
    = R"(  1.0 vm1 {"event":"store-lost","reason":"no answer","time":"2026-01-01T00:00:01.000000Z","vm":"vm1"}
not a line
{"event":"peer-down","time":"2026-01-01T00:00:01.500000Z","vm":"vm2"}
{"event":"started","time":"2025-12-31T23:00:00.000000Z","vm":"vm1"}
{"event":"refused","code":2005,"context":"app","maybeRan":0,"request":"r1","time":"2026-01-01T00:00:02.000000Z","vm":"vm1"}
{"event":"cut","lastEvent":7,"reason":"connection lost","request":"r2","time":"2026-01-01T00:00:03.000000Z","vm":"vm2"}
{"event":"broken","server":"e1","request":"r2","time":"2026-01-01T00:00:02.900000Z","vm":"vm2"}
{"event":"caller-gone","ms":12,"request":"r3","time":"2026-01-01T00:00:03.000000Z","vm":"vm2"}
{"event":"served","ms":40,"attempts":2,"request":"r4","time":"2026-01-01T00:00:03.000000Z","vm":"vm2"}
{"event":"retry","request":"r5","time":"2026-01-01T00:00:03.000000Z","vm":"vm2"})";

} // namespace

Test(log_commands, a_refusal_is_explained_with_its_number_and_what_happened_around_it)
{
    const auto story = storyOf(LOG, "r1");
    cr_assert_eq(story.events.size(), 1);
    cr_assert(story.cause.find("2005 NoUpstream") != std::string::npos, "%s", story.cause.c_str());
    cr_assert(story.cause.find("no server ran it") != std::string::npos);
    cr_assert_eq(story.precedingStateChanges.size(), 1, "only the same VM, only shortly before");
    cr_assert(story.precedingStateChanges[0]["event"] == "store-lost");
}

Test(log_commands, lines_are_told_in_the_order_of_time)
{
    const auto story = storyOf(LOG, "r2");
    cr_assert_eq(story.events.size(), 2);
    cr_assert(story.events[0]["event"] == "broken");
    cr_assert(story.cause.find("after event 7 (connection lost)") != std::string::npos, "%s", story.cause.c_str());
}

Test(log_commands, every_end_has_a_cause)
{
    cr_assert(storyOf(LOG, "r3").cause.find("the caller closed") != std::string::npos);
    cr_assert(storyOf(LOG, "r4").cause.find("served after 40 ms in 2 attempt(s)") != std::string::npos);
    cr_assert(storyOf(LOG, "r5").cause.find("ends with 'retry'") != std::string::npos);
    cr_assert(storyOf(LOG, "unknown").events.empty());
}

/// Found by fuzz_test: a line of another program made the command throw.
Test(log_commands, members_of_another_type_count_as_absent)
{
    const auto story = storyOf(R"({"event":2005,"request":"r1","time":7,"vm":null}
{"event":"refused","code":"many","request":"r1","time":"2026-01-01T00:00:02.000000Z","vm":"vm1"})",
        "r1");
    cr_assert_eq(story.events.size(), 2);
    cr_assert(story.cause.find("refused") != std::string::npos, "%s", story.cause.c_str());
}
