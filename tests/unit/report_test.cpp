#include "goldcrestcleat/cli/LogCommands.h"
#include "goldcrestcleat/cli/Report.h"
#include "goldcrestcleat/observe/PerSecondSummary.h"

#include <criterion/criterion.h>

#include <sstream>

using namespace goldcrestcleat;
using errors::ResultCode;

namespace {

bool has(const std::string& page, const std::string& text) { return page.find(text) != std::string::npos; }

std::string pageOf(const std::string& log)
{
    std::istringstream in(log);
    return cli::reportPage(cli::readLogLines(in));
}

} // namespace

Test(second_summary, it_counts_results_and_waits_and_starts_anew)
{
    observe::PerSecondSummary summary;
    cr_assert(summary.isEmpty());
    for (int ms = 1; ms <= 100; ++ms)
        summary.add("stream", ResultCode::Ok, ms);
    summary.add("idempotent", ResultCode::NoUpstream, 0);
    const auto taken = summary.take();
    cr_assert_eq(taken["codes"]["0"], 100);
    cr_assert_eq(taken["codes"]["2005"], 1);
    cr_assert_eq(taken["kinds"]["stream"]["p50"], 50);
    cr_assert_eq(taken["kinds"]["stream"]["p95"], 95);
    cr_assert_eq(taken["kinds"]["idempotent"]["n"], 1);
    cr_assert_not(taken["kinds"]["idempotent"].contains("p50"), "nobody answered");
    cr_assert(summary.isEmpty());
}

Test(report, seconds_of_all_vms_are_added_up)
{
    const auto page = pageOf(
        R"({"event":"second","vm":"vm1","time":"2026-01-01T00:00:01.000000Z","codes":{"0":40,"2005":3},"config":4,"peers":1,"loads":{"e1":2}}
{"event":"second","vm":"vm2","time":"2026-01-01T00:00:01.500000Z","codes":{"0":60},"config":3,"peers":1,"loads":{"e1":2}}
{"event":"store-lost","vm":"vm2","time":"2026-01-01T00:00:02.000000Z","reason":"<silent>"})");
    cr_assert(has(page, "<td>served</td><td>100</td>"));
    cr_assert(has(page, "<td>2005 NoUpstream</td><td>3</td>"));
    cr_assert(has(page, "store-lost"));
    cr_assert(has(page, "&lt;silent&gt;") || has(page, "&lt;silent>"), "text of logs is not taken for markup");
    cr_assert_not(has(page, "http://") || has(page, "https://"), "the page stands alone");
}

Test(report, a_log_without_seconds_makes_an_empty_page)
{
    const auto page = pageOf("nothing to read\n{}\n{\"event\":\"second\"}");
    cr_assert(has(page, "</html>"));
}
