#include "RoutedFixture.h"
#include "TcpPeer.h"

using namespace testing;

// The events of a stream that goes on elsewhere, or that the caller itself resumes. Guards against events that are
// missing or come twice, and against an end before the last event (ORDER).

namespace {

constexpr loop::TimeMs BROKEN_AFTER_MS = 10;

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n"; }

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id);
    return text;
}

/// Adds a server that sends the same events, and the end of the stream, in response to each request.
void addServer(RoutedFixture& f, const std::string& id, const std::string& bytes)
{
    f.addServer(id, [bytes](const http::Exchange::Ptr& exchange) {
        exchange->startStream(200, { { "Request-Id", exchange->header("Request-Id") }, { "Server-Seal", "s" } });
        exchange->write(bytes);
        exchange->finishStream();
    });
}

/// Adds a server that breaks its stream off, and meanwhile another one.
void addBrokenServer(RoutedFixture& f, const std::string& bytes, const std::function<void()>& addNext)
{
    f.addServer("broken", [&f, bytes, addNext](const http::Exchange::Ptr& exchange) {
        exchange->startStream(200, { { "Request-Id", exchange->header("Request-Id") }, { "Server-Seal", "s" } });
        exchange->write(bytes);
        addNext();
        f.loop.after(BROKEN_AFTER_MS, [exchange] { exchange->truncateStream(); });
    });
}

void useResumableStreams(RoutedFixture& f)
{
    f.route.kind = routes::CallKind::Stream;
    f.route.isResumable = true;
    f.configure();
}

struct Case {
    const char* name;
    std::string bytes; ///< of the server that goes on
    std::string body; ///< that the caller gets
    bool isComplete;
};

} // namespace

Test(stream_order, a_stream_that_goes_on_elsewhere_has_each_event_once, .timeout = 60)
{
    const std::vector<Case> cases = {
        { "at the position", events(4, 6), events(1, 6), true },
        { "from the beginning", events(1, 6), events(1, 6), true },
        { "from an event that was sent", events(3, 6), events(1, 6), true },
        { "with nothing left to send", "", events(1, 3), true },
        { "after a gap", events(5, 6), events(1, 3), false },
        { "with a gap later", event(4) + event(6), events(1, 4), false },
        { "with an event twice", event(4) + event(4) + event(5), events(1, 5), true },
        { "with numbers that restart", event(4) + events(1, 2), events(1, 4), false },
        { "with half of an event at its end", event(4) + "id: 5\ndata: pa", events(1, 4), false },
        { "without numbers", "data: part\n\n", events(1, 3), false },
        { "with an end before the position", events(1, 2), events(1, 3), false },
    };
    for (const auto& c : cases) {
        RoutedFixture f;
        useResumableStreams(f);
        addBrokenServer(f, events(1, 3), [&] { addServer(f, "next", c.bytes); });
        const auto answer = f.call();
        cr_assert(answer.body == c.body, "%s: %s", c.name, answer.body.c_str());
        cr_assert_eq(answer.isComplete, c.isComplete, "%s", c.name);
    }
}

/// A server that does not resume at the requested position repeated events to the caller, or left some out.
Test(stream_order, a_stream_that_its_caller_resumes_goes_on_after_the_last_event, .timeout = 60)
{
    const std::vector<Case> cases = {
        { "at the position", events(4, 6), events(4, 6), true },
        { "from the beginning", events(1, 6), events(4, 6), true },
        { "with nothing left to send", "", "", true },
        { "after a gap", events(5, 6), "", false },
        { "with an end before the position", events(1, 2), "", false },
    };
    for (const auto& c : cases) {
        RoutedFixture f;
        useResumableStreams(f);
        addServer(f, "only", c.bytes);
        const auto answer = f.call({ { "Last-Event-Id", "3" } });
        cr_assert(!c.isComplete || answer.body == c.body, "%s: %s", c.name, answer.body.c_str());
        cr_assert_eq(answer.status == 200 && answer.isComplete, c.isComplete, "%s: %d", c.name, answer.status);
    }
}

/// A server that has nothing left to send answers without an event, and if without a length then with an empty body.
Test(stream_order, a_resumed_stream_without_a_length_ends_where_its_server_has_nothing_left, .timeout = 20)
{
    for (const bool hasEnded : { false, true }) {
        RoutedFixture f;
        useResumableStreams(f);
        TcpPeer peer;
        f.addServerAt("only", peer.address());
        bool isOpen = false;
        bool hasAnswered = false;
        f.loop.every(1, [&] {
            if (hasAnswered)
                return;
            isOpen = isOpen || peer.tryAccept();
            if (!isOpen || !peer.hasInput())
                return;
            peer.receive();
            peer.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n");
            if (hasEnded)
                peer.stopListening();
            peer.close();
            hasAnswered = true;
        });
        const auto answer = f.call({ { "Last-Event-Id", "3" } });
        cr_assert_eq(answer.status == 200 && answer.isComplete, !hasEnded, "status %d", answer.status);
        cr_assert(hasEnded || answer.body.empty());
    }
}
