#include "goldcrestcleat/forwarding/AnswerBuffers.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <optional>
#include <vector>

using namespace goldcrestcleat;
using forwarding::AnswerBuffers;
using forwarding::MemoryVerdict;

// The decisions about the memory of answers, on a simulated clock and without sockets. Guards against holding answers
// without end, and against ending sound answers that are only many.

namespace {

constexpr std::size_t MIB = 1024 * 1024;
constexpr std::size_t PART_BYTES = 64 * 1024; // that a connection reads at once
constexpr std::size_t MAX_HELD_BYTES = AnswerBuffers::HARD_LIMIT_BYTES + AnswerBuffers::MAX_ANSWER_BYTES + PART_BYTES;
constexpr loop::TimeMs STEP_MS = 10;

/// An answer whose server sends a part in each step unless it is paused.
struct Answer {
    std::unique_ptr<AnswerBuffers::Share> share;
    std::size_t bytes = 0;
    bool isReading = true;
    std::optional<MemoryVerdict> verdict;
};

struct Fixture {
    std::size_t add()
    {
        const std::size_t index = answers.size();
        answers.push_back(std::make_unique<Answer>());
        Answer& answer = *answers.back();
        answer.share = buffers->add({ [&](bool isReading) { answer.isReading = isReading; },
            [&](MemoryVerdict verdict) {
                answer.verdict = verdict;
                answer.share.reset();
            } });
        return index;
    }

    /// Delivers a part of each open answer that is read, and removes those that are complete.
    void step(std::size_t partBytes, std::size_t wholeBytes)
    {
        for (const auto& answer : answers) {
            if (!answer->share || !answer->isReading)
                continue;
            answer->bytes += partBytes;
            if (answer->bytes >= wholeBytes)
                answer->share.reset();
            else
                answer->share->resize(answer->bytes);
            mostBytes = std::max(mostBytes, buffers->answerBytes());
        }
        now += STEP_MS;
        loop.runOnce();
    }

    /// Delivers parts of answers that stall at a size, so that they never end.
    void stepStalling(std::size_t partBytes, std::size_t stalledBytes)
    {
        for (const auto& answer : answers) {
            if (!answer->share || !answer->isReading || answer->bytes >= stalledBytes)
                continue;
            answer->share->resize(answer->bytes += partBytes);
            mostBytes = std::max(mostBytes, buffers->answerBytes());
        }
        now += STEP_MS;
        loop.runOnce();
    }

    std::size_t openCount() const
    {
        return static_cast<std::size_t>(
            std::count_if(answers.begin(), answers.end(), [](const auto& answer) { return answer->share != nullptr; }));
    }

    loop::TimeMs now = 1;
    loop::EventLoop loop { [this] { return now; } };
    std::shared_ptr<AnswerBuffers> buffers = std::make_shared<AnswerBuffers>(loop);
    std::vector<std::unique_ptr<Answer>> answers;
    std::size_t mostBytes = 0;
};

} // namespace

Test(answer_buffers, many_sound_answers_are_all_read_to_their_end)
{
    Fixture f;
    for (int i = 0; i < 200; ++i)
        f.add();
    for (int i = 0; i < 10'000 && f.openCount() > 0; ++i)
        f.step(PART_BYTES, MIB);
    cr_assert_eq(f.openCount(), 0, "%zu answers are not complete", f.openCount());
    for (const auto& answer : f.answers)
        cr_assert(!answer->verdict, "a sound answer was ended");
    cr_assert_leq(f.mostBytes, MAX_HELD_BYTES);
}

Test(answer_buffers, answers_that_never_end_are_ended_and_small_ones_are_always_read)
{
    Fixture f;
    for (int i = 0; i < 200; ++i)
        f.add();
    const std::size_t small = f.add();
    for (int i = 0; i < 2'000; ++i) {
        f.stepStalling(PART_BYTES, AnswerBuffers::MAX_ANSWER_BYTES - PART_BYTES);
        f.answers[small]->bytes = 0;
        cr_assert(f.answers[small]->isReading);
    }
    const auto ended = std::count_if(
        f.answers.begin(), f.answers.end(), [](const auto& answer) { return answer->verdict.has_value(); });
    cr_assert_gt(ended, 20, "%zd answers were ended", static_cast<std::ptrdiff_t>(ended));
    cr_assert_leq(f.mostBytes, MAX_HELD_BYTES);
}

Test(answer_buffers, a_large_answer_that_stalls_gives_way_to_a_sound_one)
{
    Fixture f;
    std::vector<std::size_t> stalled;
    for (int i = 0; i < 6; ++i) {
        stalled.push_back(f.add());
        f.answers[stalled.back()]->share->resize(6 * MIB);
    }
    const std::size_t sound = f.add();
    f.answers[sound]->share->resize(2 * AnswerBuffers::SMALL_ANSWER_BYTES);
    cr_assert(!f.answers[sound]->isReading);
    const loop::TimeMs startedAt = f.now;
    while (!f.answers[sound]->isReading && f.now - startedAt < 10 * AnswerBuffers::MAX_LONE_READ_MS)
        f.step(0, MIB);
    cr_assert(f.answers[sound]->isReading);
    cr_assert_leq(f.now - startedAt, 2 * AnswerBuffers::MAX_LONE_READ_MS);
    cr_assert(!f.answers[sound]->verdict);
    for (const std::size_t index : stalled)
        cr_assert(!f.answers[index]->verdict || *f.answers[index]->verdict == MemoryVerdict::NeverEnds);
}

Test(answer_buffers, output_of_slow_callers_pauses_large_answers_and_ends_none)
{
    Fixture f;
    f.loop.addQueuedOutput(static_cast<std::ptrdiff_t>(AnswerBuffers::HARD_LIMIT_BYTES - 4 * MIB));
    for (int i = 0; i < 10; ++i)
        f.add();
    for (int i = 0; i < 500; ++i)
        f.step(MIB / 8, MIB);
    cr_assert_eq(f.openCount(), 10);
    for (const auto& answer : f.answers)
        cr_assert(!answer->isReading && !answer->verdict);
    f.loop.addQueuedOutput(-static_cast<std::ptrdiff_t>(AnswerBuffers::HARD_LIMIT_BYTES - 4 * MIB));
    for (int i = 0; i < 20; ++i)
        f.step(MIB / 8, MIB);
    cr_assert_eq(f.openCount(), 0, "answers must go on once the callers have read");
}

Test(answer_buffers, an_answer_that_is_removed_lets_another_one_be_read)
{
    Fixture f;
    for (int i = 0; i < 5; ++i)
        f.answers[f.add()]->share->resize(7 * MIB);
    const std::size_t paused = f.add();
    f.answers[paused]->share->resize(MIB);
    cr_assert(!f.answers[paused]->isReading);
    for (int i = 0; i < 5; ++i)
        f.answers[static_cast<std::size_t>(i)]->share.reset();
    cr_assert(f.answers[paused]->isReading);
    cr_assert_eq(f.buffers->answerBytes(), MIB);
}
