#include "goldcrestcleat/cli/LogCommands.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace goldcrestcleat::cli;

namespace {

RequestTimeline timelineOf(const std::string& log, const std::string& request)
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

Test(log_commands, a_refusal_is_explained_with_its_code_and_the_preceding_state_changes)
{
    const auto timeline = timelineOf(LOG, "r1");
    cr_assert_eq(timeline.events.size(), 1);
    cr_assert(timeline.cause.find("2005 NoUpstream") != std::string::npos, "%s", timeline.cause.c_str());
    cr_assert(timeline.cause.find("no server ran it") != std::string::npos);
    cr_assert_eq(timeline.precedingStateChanges.size(), 1, "only changes of the same VM shortly before the refusal");
    cr_assert(timeline.precedingStateChanges[0]["event"] == "store-lost");
}

Test(log_commands, events_are_ordered_by_time)
{
    const auto timeline = timelineOf(LOG, "r2");
    cr_assert_eq(timeline.events.size(), 2);
    cr_assert(timeline.events[0]["event"] == "broken");
    cr_assert(
        timeline.cause.find("after event 7 (connection lost)") != std::string::npos, "%s", timeline.cause.c_str());
}

Test(log_commands, every_outcome_has_a_cause)
{
    cr_assert(timelineOf(LOG, "r3").cause.find("the caller closed") != std::string::npos);
    cr_assert(timelineOf(LOG, "r4").cause.find("served after 40 ms in 2 attempt(s)") != std::string::npos);
    cr_assert(timelineOf(LOG, "r5").cause.find("ends with 'retry'") != std::string::npos);
    cr_assert(timelineOf(LOG, "unknown").events.empty());
}

/// Found by fuzz_test: the command threw on a log line that another program had written.
Test(log_commands, members_of_an_unexpected_type_count_as_absent)
{
    const auto timeline = timelineOf(R"({"event":2005,"request":"r1","time":7,"vm":null}
{"event":"refused","code":"many","request":"r1","time":"2026-01-01T00:00:02.000000Z","vm":"vm1"})",
        "r1");
    cr_assert_eq(timeline.events.size(), 2);
    cr_assert(timeline.cause.find("refused") != std::string::npos, "%s", timeline.cause.c_str());
}
