#include "RoutedFixture.h"

using namespace testing;
using admission::RunStage;

// What a routed request reports to the quarantine when its answer is interrupted.

namespace {

constexpr loop::TimeMs LATE_MS = admission::BEGINNING_MS + 50;

std::string manyParts(int count)
{
    std::string prompt;
    for (int i = 0; i < count; ++i)
        prompt += std::to_string(i) + ":1,";
    return prompt + "last:1";
}

} // namespace

Test(interrupted_runs, name_the_content_and_each_shared_part_of_the_prompt)
{
    const std::pair<std::string, std::vector<std::string>> cases[] = {
        { "", {} },
        { "aa:10", {} },
        { "aa:10,bb:5", { "aa" } },
        { "aa:10,bb:5,cc:1", { "aa", "bb" } },
        { "aa:10,aa:10,bb:5", { "aa" } },
        { "aa:0,bb:5", { "aa" } },
        { "aa,bb:x,cc:1", { "aa", "bb" } },
        { ",aa:10,,bb:5,", { "aa" } },
        { " aa:10 , bb:5 ", { "aa" } },
        { "aa:10,:7,bb:5", { "aa" } },
    };
    for (const auto& [prompt, parts] : cases) {
        RoutedFixture f;
        f.addServer("a", [](const http::Exchange::Ptr& exchange) { exchange->abort(); });
        f.route.kind = routes::CallKind::NonIdempotent;
        f.configure();
        f.call({ { "Prompt-Prefix", prompt } });
        cr_assert_eq(f.interruptedRuns.size(), 1, "%s", prompt.c_str());
        const auto& fingerprints = f.interruptedRuns[0].fingerprints;
        cr_assert_eq(fingerprints.size(), 1 + parts.size(), "%s: %zu", prompt.c_str(), fingerprints.size());
        cr_assert_not(admission::isPart(fingerprints[0]));
        for (const auto& part : parts)
            cr_assert_eq(std::count(fingerprints.begin(), fingerprints.end(), admission::fingerprintOfPart(part)), 1);
    }
}

Test(interrupted_runs, name_all_parts_of_a_long_prompt)
{
    RoutedFixture f;
    f.addServer("a", [](const http::Exchange::Ptr& exchange) { exchange->abort(); });
    f.route.kind = routes::CallKind::NonIdempotent;
    f.configure();
    f.call({ { "Prompt-Prefix", manyParts(1'000) } });
    cr_assert_eq(f.interruptedRuns.at(0).fingerprints.size(), 1'001);
}

Test(interrupted_runs, state_how_far_the_answer_had_come)
{
    const std::pair<RunStage, RoutedFixture::Handler> cases[] = {
        { RunStage::Waiting, [](const http::Exchange::Ptr& exchange) { exchange->abort(); } },
        { RunStage::Begun,
            [](const http::Exchange::Ptr& exchange) {
                exchange->startStream(
                    200, { { "Request-Id", exchange->header("Request-Id") }, { "Server-Seal", "s" } });
                exchange->write("id: 1\ndata: a\n\n");
                exchange->truncateStream();
            } },
    };
    for (const auto& [stage, handler] : cases) {
        RoutedFixture f;
        f.addServer("a", handler);
        f.route.kind = routes::CallKind::Stream;
        f.configure();
        f.call();
        cr_assert(f.interruptedRuns.at(0).stage == stage);
        cr_assert_neq(f.interruptedRuns.at(0).crashId, 0);
    }
    RoutedFixture f;
    f.addServer("a", [&f](const http::Exchange::Ptr& exchange) {
        exchange->startStream(200, { { "Request-Id", exchange->header("Request-Id") }, { "Server-Seal", "s" } });
        exchange->write("id: 1\ndata: a\n\n");
        f.loop.after(LATE_MS, [exchange] { exchange->truncateStream(); });
    });
    f.route.kind = routes::CallKind::Stream;
    f.configure();
    f.call();
    cr_assert(f.interruptedRuns.at(0).stage == RunStage::Running);
}
