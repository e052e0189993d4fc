#include "goldcrestcleat/cli/LogCommands.h"
#include "goldcrestcleat/cli/Report.h"
#include "goldcrestcleat/observe/PerSecondSummary.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace goldcrestcleat;
using errors::ResultCode;

namespace {

bool contains(const std::string& page, const std::string& text) { return page.find(text) != std::string::npos; }

std::string pageOf(const std::string& log)
{
    std::istringstream in(log);
    return cli::reportPage(cli::readLogLines(in));
}

} // namespace

Test(second_summary, counts_results_and_durations_and_resets_when_taken)
{
    observe::PerSecondSummary summary;
    cr_assert(summary.isEmpty());
    for (int ms = 1; ms <= 100; ++ms)
        summary.add("stream", ResultCode::Ok, ms);
    summary.add("idempotent", ResultCode::NoUpstream, 0);
    const auto values = summary.take();
    cr_assert_eq(values["codes"]["0"], 100);
    cr_assert_eq(values["codes"]["2005"], 1);
    cr_assert_eq(values["kinds"]["stream"]["p50"], 50);
    cr_assert_eq(values["kinds"]["stream"]["p95"], 95);
    cr_assert_eq(values["kinds"]["idempotent"]["n"], 1);
    cr_assert_not(values["kinds"]["idempotent"].contains("p50"), "no percentiles without an answered request");
    cr_assert(summary.isEmpty());
}

Test(report, summaries_of_all_vms_are_added_up)
{
    const auto page = pageOf(
        R"({"event":"second","vm":"vm1","time":"2026-01-01T00:00:01.000000Z","codes":{"0":40,"2005":3},"config":4,"peers":1,"loads":{"e1":2}}
{"event":"second","vm":"vm2","time":"2026-01-01T00:00:01.500000Z","codes":{"0":60},"config":3,"peers":1,"loads":{"e1":2}}
{"event":"store-lost","vm":"vm2","time":"2026-01-01T00:00:02.000000Z","reason":"<no answer>"})");
    cr_assert(contains(page, "<td>served</td><td>100</td>"));
    cr_assert(contains(page, "<td>2005 NoUpstream</td><td>3</td>"));
    cr_assert(contains(page, "store-lost"));
    cr_assert(
        contains(page, "&lt;no answer&gt;") || contains(page, "&lt;no answer>"), "text from logs must be escaped");
    cr_assert_not(
        contains(page, "http://") || contains(page, "https://"), "the page must not refer to external resources");
}

Test(report, a_log_without_summaries_gives_an_empty_page)
{
    const auto page = pageOf("nothing to read\n{}\n{\"event\":\"second\"}");
    cr_assert(contains(page, "</html>"));
}
