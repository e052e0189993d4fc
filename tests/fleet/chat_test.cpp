#include "harness/Rig.h"

#include <criterion/criterion.h>

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <future>

using namespace goldcrestcleat::harness;
using nlohmann::json;

namespace {

/// Streams one chat and checks that its answer is complete and correct.
void expectCompleteAnswer(Rig& rig, const std::string& id, std::size_t parts)
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

Test(chat, a_returning_chat_is_routed_to_the_engine_with_its_context)
{
    Rig rig({});
    rig.start();
    for (int i = 0; i < 10; ++i) {
        Chat chat = rig.chat("cat" + std::to_string(i));
        cr_assert(chat.send(rig.callerAddress(i % 5), "a long history").isComplete);
        const std::string engine = chat.servedBy();
        chat.clearAffinityToken();
        cr_assert(chat.send(rig.callerAddress((i + 2) % 5), "another question").isComplete);
        cr_assert(chat.servedBy() == engine, "routed to another engine without an affinity token");
    }
}

Test(chat, upstream_faults_are_hidden_from_the_caller)
{
    struct Case {
        const char* name;
        json faults;
    };
    const std::vector<Case> cases = {
        { "slow", { { "delayMs", 300 } } },
        { "another request id", { { "crossNext", 1 } } },
        { "truncated", { { "truncateAfter", 3 }, { "truncateStreams", 1 } } },
        { "stalled before the first token", { { "freezeNext", 1 } } },
        { "stalled in mid-stream", { { "freezeAfter", 3 }, { "freezeStreams", 1 } } },
    };
    RigOptions options;
    options.settings = { { "profiles",
        json::array({ { { "name", "default" }, { "firstTokenMs", 600 }, { "stallMs", 400 }, { "retries", 4 } } }) } };
    Rig rig(options);
    rig.start();
    for (const auto& c : cases) {
        for (int i = 0; i < 4; ++i)
            rig.setEngineFaults(i, c.faults);
        expectCompleteAnswer(rig, c.name, 10);
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

Test(chat, a_stream_continues_when_its_engine_is_killed)
{
    RigOptions options;
    options.engineFaults = { { "tokenMs", 20 } };
    Rig rig(options);
    rig.start();
    Chat chat = rig.chat("long");
    const std::string expected = chat.expectedAnswer("a long story", 60);
    auto answer = std::async(std::launch::async, [&] { return chat.send(rig.callerAddress(0), "a long story", 60); });
    int serving = -1;
    cr_assert(waitUntil([&] {
        for (int i = 0; i < 4; ++i) {
            if (!rig.truth(Rig::engineId(i)).empty())
                serving = i;
        }
        return serving >= 0;
    }));
    sleepMs(300);
    rig.engine(serving).kill();
    const auto answered = answer.get();
    cr_assert(answered.isComplete && answered.text == expected, "code %d after %zu parts", answered.errorCode,
        answered.parts);
    cr_assert(chat.servedBy() == Rig::engineId(serving), "the response head does not name the engine that was killed");
}

Test(chat, answers_without_streaming_are_complete)
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

Test(chat, a_slow_caller_does_not_stall_others)
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
    expectCompleteAnswer(rig, "neighbour", 20);
    // Buffers are bounded: the daemon stops reading long before the 200 000 parts of the answer.
    const auto streamedParts = [&] { return rig.metric(0, "goldcrestcleat_streamed_parts_total"); };
    double before = 0;
    const bool hasStopped = waitUntil(
        [&] {
            before = streamedParts();
            sleepMs(300);
            return before > 0 && streamedParts() == before;
        },
        60'000);
    cr_assert(hasStopped, "the daemon keeps reading the stream of a caller that does not");
    cr_assert_lt(before, 100'000);
}
