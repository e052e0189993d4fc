#include "fleet/Workload.h"

#include <criterion/criterion.h>

using namespace testing;

namespace {

std::size_t keyViolations(const KeyRecord& record, int runs)
{
    return checkKeys({ record }, [runs](const std::string&) { return runs; }).size();
}

std::size_t chatViolations(const ChatRecord& record, bool begun)
{
    return checkChats({ record }, [begun](const std::string&) { return begun; }).size();
}

} // namespace

Test(checker, detects_each_violation_of_calls_that_must_not_be_repeated)
{
    const KeyRecord answered { "k", { 200 }, {}, { "a" } };
    cr_assert_eq(keyViolations(answered, 1), 0);
    cr_assert_eq(keyViolations(answered, 0), 1, "answered but never run");
    cr_assert_geq(keyViolations(answered, 2), 1, "run twice");
    cr_assert_eq(keyViolations({ "k", { 200, 200 }, {}, { "a", "b" } }, 1), 1, "two answers");
    cr_assert_eq(keyViolations({ "k", { 503 }, { "no" }, {} }, 1), 1, "reported as not run but run");
    cr_assert_eq(
        keyViolations({ "k", { 503, 409 }, { "no", "unknown" }, {} }, 1), 0, "the outcome of one attempt is unknown");
    cr_assert_eq(keyViolations({ "k", { 0 }, { "broken" }, {} }, 2), 1);
}

Test(checker, detects_each_violation_of_chats)
{
    cr_assert_eq(chatViolations({ "m", true, true, "", 1 }, true), 0);
    cr_assert_eq(chatViolations({ "m", true, false, "", 1 }, true), 1, "answer to another message");
    cr_assert_eq(chatViolations({ "m", false, false, "no", 1 }, true), 1, "reported as not run but run");
    cr_assert_eq(chatViolations({ "m", false, false, "no", 1 }, false), 0);
    cr_assert_eq(chatViolations({ "m", false, false, "unknown", 1 }, true), 0);
}

Test(checker, detects_a_decreasing_version)
{
    cr_assert_eq(checkVersions("p", { 0, 1, 1, 3 }).size(), 0);
    cr_assert_eq(checkVersions("p", { 0, 2, 1 }).size(), 1);
}
