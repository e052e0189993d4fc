#include "ForkedServer.h"
#include "RoutedFixture.h"
#include "TcpPeer.h"

#include <regex>

using namespace testing;

// Answers without a length whose connection ends before the server has sent everything. Guards against passing them on
// as complete (ORDER, MIXED).

namespace {

const std::string HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServer-Seal: s\r\n";
constexpr loop::TimeMs STREAM_MS = 30; // after the answer has begun, before the server ends

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n"; }

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id);
    return text;
}

std::string fieldOf(const std::string& request, const std::string& name)
{
    std::smatch match;
    return std::regex_search(request, match, std::regex(name + ": (\\w+)")) ? match[1].str() : "";
}

/// Returns the beginning of an answer without a length to the request.
std::string beginAnswer(const std::string& request, const std::string& body)
{
    return std::regex_replace(HEAD, std::regex("\\$ID"), fieldOf(request, "Request-Id")) + "\r\n" + body;
}

/// Adds a server that sends all events up to `last` that the caller does not have yet, and the end of the stream.
void addSoundServer(RoutedFixture& f, const std::string& id, int last)
{
    f.addServer(id, [last](const http::Exchange::Ptr& exchange) {
        const std::string position = exchange->header("Last-Event-Id");
        exchange->startStream(200, { { "Request-Id", exchange->header("Request-Id") }, { "Server-Seal", "s" } });
        exchange->write(events(position.empty() ? 1 : std::stoi(position) + 1, last));
        exchange->finishStream();
    });
}

void useStreams(RoutedFixture& f, bool isResumable)
{
    f.route.kind = routes::CallKind::Stream;
    f.route.isResumable = isResumable;
    f.route.goalMs = f.route.maxPauseMs = 3'000; // so that no server is taken to be silent
    f.deadlineMs = 5'000;
    f.configure();
}

/// Lets the peer answer the request that it gets next without a length, and then stop to respond.
void answerAndGoDark(RoutedFixture& f, TcpPeer& peer, bool isAccepted = false)
{
    f.loop.after(1, [&f, &peer, isAccepted] {
        if (!isAccepted || !peer.hasInput()) {
            answerAndGoDark(f, peer, isAccepted || peer.tryAccept());
            return;
        }
        peer.send(beginAnswer(peer.receive(), events(1, 2)));
        f.loop.after(STREAM_MS, [&f, &peer] {
            addSoundServer(f, "other", 5);
            peer.goDark();
        });
    });
}

/// Runs an action some time after the server has answered, so that the answer has arrived.
void afterAnswer(RoutedFixture& f, const ForkedServer& server, const std::function<void()>& act)
{
    f.loop.after(1, [&f, &server, act] {
        if (server.hasAnswered())
            f.loop.after(STREAM_MS, act);
        else
            afterAnswer(f, server, act);
    });
}

} // namespace

Test(early_end, a_stream_is_not_complete_when_the_machine_of_its_server_no_longer_responds, .timeout = 60)
{
    for (const bool isResumable : { false, true }) {
        RoutedFixture f;
        useStreams(f, isResumable);
        TcpPeer dark;
        f.addServerAt("dark", dark.address());
        answerAndGoDark(f, dark);
        const auto answer = f.call();
        cr_assert_eq(answer.isComplete, isResumable, "%s", answer.body.c_str());
        cr_assert(answer.body == events(1, isResumable ? 5 : 2), "%s", answer.body.c_str());
    }
}

Test(early_end, a_stream_is_not_complete_when_the_process_of_its_server_is_killed, .timeout = 60)
{
    for (const bool isResumable : { false, true }) {
        RoutedFixture f;
        useStreams(f, isResumable);
        ForkedServer killed([](const std::string& request) { return beginAnswer(request, events(1, 2)); });
        f.addServerAt("killed", killed.address());
        afterAnswer(f, killed, [&] {
            addSoundServer(f, "other", 5);
            killed.kill();
        });
        const auto answer = f.call();
        cr_assert_eq(answer.isComplete, isResumable, "%s", answer.body.c_str());
        cr_assert(answer.body == events(1, isResumable ? 5 : 2), "%s", answer.body.c_str());
    }
}

Test(early_end, a_stream_is_not_complete_when_its_server_was_stopped_and_is_killed_later, .timeout = 60)
{
    RoutedFixture f;
    useStreams(f, false);
    ForkedServer killed([](const std::string& request) { return beginAnswer(request, events(1, 2)); });
    f.addServerAt("killed", killed.address());
    afterAnswer(f, killed, [&] {
        killed.signal(SIGSTOP);
        f.loop.after(10 * STREAM_MS, [&] { killed.kill(); });
    });
    const auto answer = f.call();
    cr_assert(answer.status == 200 && !answer.isComplete, "status %d", answer.status);
    cr_assert(answer.body == events(1, 2), "%s", answer.body.c_str());
}

Test(early_end, an_answer_is_no_success_when_the_process_of_its_server_is_killed, .timeout = 60)
{
    for (const bool mayRepeat : { false, true }) {
        RoutedFixture f;
        f.route.kind = mayRepeat ? routes::CallKind::Idempotent : routes::CallKind::NonIdempotent;
        f.configure();
        ForkedServer killed([](const std::string& request) { return beginAnswer(request, "answer "); });
        f.addServerAt("killed", killed.address());
        afterAnswer(f, killed, [&] {
            f.addServer("other", [](const http::Exchange::Ptr& exchange) { RoutedFixture::succeed(exchange); });
            killed.kill();
        });
        const auto answer = f.call();
        cr_assert_eq(answer.status, mayRepeat ? 200 : 502, "status %d", answer.status);
        cr_assert_eq(f.arrivals["other"], mayRepeat ? 1 : 0);
        cr_assert(!mayRepeat || answer.body == "answer to r1", "%s", answer.body.c_str());
    }
}
