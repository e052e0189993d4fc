#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <future>

using namespace goldcrestcleat::harness;
using nlohmann::json;

namespace {

/// Runs one streamed chat while a fault is on, and checks that its answer is whole and its own.
void expectWhole(Rig& rig, const std::string& id, std::size_t parts)
{
    Chat chat = rig.chat(id);
    const std::string expected = chat.expectedAnswer("tell me about " + id, parts);
    const auto answer = chat.send(rig.callerAddress(0), "tell me about " + id, parts);
    cr_assert(answer.isComplete, "%s: status %d, %zu parts, code %d", id.c_str(), answer.status, answer.parts,
        answer.errorCode);
    cr_assert(
        answer.text == expected, "%s: got '%s' instead of '%s'", id.c_str(), answer.text.c_str(), expected.c_str());
}

} // namespace

Test(chat, a_returning_chat_finds_its_context_warm)
{
    Rig rig({});
    rig.start();
    for (int i = 0; i < 10; ++i) {
        Chat chat = rig.chat("cat" + std::to_string(i));
        cr_assert(chat.send(rig.callerAddress(i % 5), "a long history").isComplete);
        const std::string engine = chat.servedBy();
        chat.clearAffinityToken();
        cr_assert(chat.send(rig.callerAddress((i + 2) % 5), "another question").isComplete);
        cr_assert(chat.servedBy() == engine, "without a hint, at another VM");
    }
}

Test(chat, upstream_faults_never_reach_the_caller)
{
    struct Case {
        const char* name;
        json faults;
    };
    const std::vector<Case> cases = {
        { "late", { { "delayMs", 300 } } },
        { "crossed", { { "crossNext", 1 } } },
        { "truncated", { { "truncateAfter", 3 }, { "truncateStreams", 1 } } },
        { "silent from the start", { { "freezeNext", 1 } } },
        { "silent in the middle", { { "freezeAfter", 3 }, { "freezeStreams", 1 } } },
    };
    RigOptions options;
    options.settings = { { "profiles",
        json::array({ { { "name", "default" }, { "firstTokenMs", 600 }, { "stallMs", 400 }, { "retries", 4 } } }) } };
    Rig rig(options);
    rig.start();
    for (const auto& c : cases) {
        for (int i = 0; i < 4; ++i)
            rig.setEngineFaults(i, c.faults);
        expectWhole(rig, c.name, 10);
        for (int i = 0; i < 4; ++i)
            rig.setEngineFaults(i,
                { { "delayMs", 0 }, { "crossNext", 0 }, { "truncateStreams", 0 }, { "freezeNext", 0 },
                    { "freezeStreams", 0 } });
    }
    for (int i = 0; i < 4; ++i) {
        for (const auto& line : rig.truth(Rig::engineId(i)))
            cr_assert(line["event"] != "crash");
    }
}

Test(chat, a_stream_goes_on_when_its_engine_is_killed)
{
    RigOptions options;
    options.engineFaults = { { "tokenMs", 20 } };
    Rig rig(options);
    rig.start();
    Chat chat = rig.chat("long");
    const std::string expected = chat.expectedAnswer("a long story", 60);
    auto answer = std::async(std::launch::async, [&] { return chat.send(rig.callerAddress(0), "a long story", 60); });
    int busy = -1;
    cr_assert(waitUntil([&] {
        for (int i = 0; i < 4; ++i) {
            if (!rig.truth(Rig::engineId(i)).empty())
                busy = i;
        }
        return busy >= 0;
    }));
    sleepMs(300);
    rig.engine(busy).kill();
    const auto got = answer.get();
    cr_assert(got.isComplete && got.text == expected, "code %d after %zu parts", got.errorCode, got.parts);
    cr_assert(chat.servedBy() == Rig::engineId(busy), "the head was sent before the engine was killed");
}

Test(chat, plain_answers_are_whole_too)
{
    Rig rig({});
    rig.start();
    rig.setEngineFaults(0, { { "crossNext", 1 } });
    const json body
        = { { "messages", json::array({ { { "role", "user" }, { "content", "plain" } } }) }, { "max_tokens", 5 } };
    for (int i = 0; i < 8; ++i) {
        const auto answer = call(rig.callerAddress(i % 5), "POST", "/v1/chat/completions", body.dump(),
            { { "X-Workspace", "ws1" }, { "Authorization", "Bearer key-of-ws1" }, { "X-Chat", std::to_string(i) } });
        cr_assert_eq(answer.status, 200);
        cr_assert(answer.json()["choices"][0]["finish_reason"] == "stop");
    }
}

Test(chat, a_slow_caller_stalls_nobody_else)
{
    RigOptions options;
    options.daemons = 1;
    options.engines = 1;
    options.engineFaults = { { "tokenMs", 1 }, { "tokensPerStep", 200 } };
    Rig rig(options);
    rig.start();
    const json body = { { "messages", json::array({ { { "role", "user" }, { "content", "endless" } } }) },
        { "max_tokens", 200'000 }, { "stream", true } };
    const std::string request = "POST /v1/chat/completions HTTP/1.1\r\nX-Workspace: ws1\r\nAuthorization: Bearer "
                                "key-of-ws1\r\nContent-Length: "
        + std::to_string(body.dump().size()) + "\r\n\r\n" + body.dump();
    Poco::Net::StreamSocket slow { Poco::Net::SocketAddress(rig.callerAddress(0)) };
    slow.sendBytes(request.data(), static_cast<int>(request.size()));
    sleepMs(1500);
    expectWhole(rig, "neighbour", 20);
    // Bounded buffers: the daemon stops taking parts long before the answer's 200 000.
    const auto taken = [&] { return rig.metric(0, "goldcrestcleat_streamed_parts_total"); };
    double before = 0;
    const bool hasStopped = waitUntil(
        [&] {
            before = taken();
            sleepMs(300);
            return before > 0 && taken() == before;
        },
        60'000);
    cr_assert(hasStopped, "the stalled stream goes on");
    cr_assert_lt(before, 100'000);
}
