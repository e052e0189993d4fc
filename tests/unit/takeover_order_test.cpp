#include "RoutedFixture.h"

#include "goldcrestcleat/loop/Connection.h"

#include <Poco/Net/StreamSocket.h>

#include <regex>

using namespace testing;

// The order of events in streams that are taken over, on kept connections and in pipelines: each event once, numbers
// that never go back, nothing of another answer, and no end before the last event (ORDER, MIXED).

namespace {

constexpr loop::TimeMs SILENCE_MS = 250; // without progress, after which another server is tried
constexpr const char* LAST_CHUNK = "0\r\n\r\n";

enum class Framing { Length, Chunks, None };

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n"; }

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id);
    return text;
}

std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string framed(Framing framing, const std::string& text) { return framing == Framing::Chunks ? chunk(text) : text; }

std::string headFor(const std::string& requestId, Framing framing, std::size_t length = 0)
{
    std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: " + requestId + "\r\nServer-Seal: s\r\n";
    if (framing == Framing::Length)
        head += "Content-Length: " + std::to_string(length) + "\r\n";
    if (framing == Framing::Chunks)
        head += "Transfer-Encoding: chunked\r\n";
    return head + "\r\n";
}

/// One connection to a server of the test, and the request that has arrived on it last.
struct Link {
    loop::Connection::Ptr connection;
    Poco::Net::StreamSocket socket;
    std::string requestId;
    int position = 0; ///< after which a stream is to go on
    int requests = 0; ///< on this connection

    void send(const std::string& bytes) const { connection->send(bytes); }

    /// Ends the answer as its framing states it.
    void end(Framing framing) const
    {
        if (framing == Framing::Chunks)
            send(LAST_CHUNK);
        else if (framing == Framing::None)
            connection->close();
    }
};

using LinkPtr = std::shared_ptr<Link>;
using Script = std::function<void(const LinkPtr&)>;

/// Servers that together run a list of scripts, one for each request in the order of arrival; the last one is repeated.
class ScriptedServers {
public:
    ScriptedServers(RoutedFixture& f, int count, std::vector<Script> scripts)
        : fixture_(f)
        , scripts_(std::move(scripts))
    {
        for (int i = 0; i < count; ++i) {
            listeners_.push_back(std::make_unique<loop::Listener>(
                f.loop, "127.0.0.1:0", [this](const Poco::Net::StreamSocket& socket) { onAccept(socket); }));
            f.addServerAt("s" + std::to_string(i), listeners_.back()->address());
        }
    }

    ~ScriptedServers()
    {
        for (const auto& link : links_)
            link->connection->close(); // timers of the loop may still hold it
    }

    ScriptedServers(const ScriptedServers&) = delete;
    ScriptedServers& operator=(const ScriptedServers&) = delete;

    std::size_t requests() const { return requests_; }

private:
    void onAccept(const Poco::Net::StreamSocket& socket)
    {
        const auto link = std::make_shared<Link>();
        link->socket = socket;
        loop::Connection::Hooks hooks;
        hooks.onData = [this, weak = std::weak_ptr<Link>(link)](std::string_view bytes) {
            if (const auto self = weak.lock())
                onRequest(self, std::string(bytes));
        };
        link->connection = loop::Connection::adopt(fixture_.loop, socket, std::move(hooks));
        links_.push_back(link);
    }

    void onRequest(const LinkPtr& link, const std::string& bytes)
    {
        const auto field = [&bytes](const std::string& name) {
            std::smatch match;
            return std::regex_search(bytes, match, std::regex(name + ": (\\w+)")) ? match[1].str() : "";
        };
        link->requestId = field("Request-Id");
        const std::string position = field("Last-Event-Id");
        link->position = position.empty() ? 0 : std::stoi(position);
        ++link->requests;
        scripts_.at(std::min(requests_++, scripts_.size() - 1))(link);
    }

    RoutedFixture& fixture_;
    std::vector<Script> scripts_;
    std::vector<std::unique_ptr<loop::Listener>> listeners_;
    std::vector<LinkPtr> links_;
    std::size_t requests_ = 0;
};

/// Sends the events after the position up to `last`, and the end if `isWhole`.
Script sendUpTo(int last, Framing framing, bool isWhole)
{
    return [=](const LinkPtr& link) {
        link->send(headFor(link->requestId, framing) + framed(framing, events(link->position + 1, last)));
        if (isWhole)
            link->end(framing);
    };
}

/// Takes servers to be silent after SILENCE_MS.
void useResumableStreams(RoutedFixture& f, int attempts)
{
    f.route.kind = routes::CallKind::Stream;
    f.route.isResumable = true;
    f.route.attempts = attempts;
    f.route.goalMs = f.route.maxPauseMs = 50;
    f.configure();
}

/// Returns whether the text consists of whole events from 1 on, each once.
bool isInOrder(const std::string& body, int last)
{
    for (int id = 0; id <= last; ++id) {
        if (body == events(1, id))
            return true;
    }
    return false;
}

/// The bytes that a caller receives that sends requests one behind the other.
struct Pipeline {
    std::string bytes;
    bool wasClosed = false;

    bool contains(const std::string& text) const { return bytes.find(text) != std::string::npos; }
};

Pipeline callTwice(RoutedFixture& f, const std::string& lastBytes)
{
    Pipeline result;
    loop::Connection::Hooks hooks;
    hooks.onData = [&](std::string_view bytes) { result.bytes.append(bytes); };
    hooks.onClose = [&](loop::CloseReason) { result.wasClosed = true; };
    const auto connection = loop::Connection::connect(f.loop, f.callerAddress(), std::move(hooks));
    for (const char* id : { "r1", "r2" })
        connection->send(
            "GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: " + std::string(id) + "\r\nRequest-Deadline: 3000\r\n\r\n");
    f.runUntil([&] { return result.wasClosed || result.contains(lastBytes); });
    connection->close();
    return result;
}

} // namespace

/// Guards against events twice, missing or out of order when a stream changes its server twice and old servers resume.
Test(takeover_order, a_stream_that_is_taken_over_twice_has_each_event_once, .timeout = 60)
{
    for (const auto framing : { Framing::Chunks, Framing::None }) {
        for (const loop::TimeMs resumesAfterMs : { 0, 200, 245, 255, 300, 520 }) {
            RoutedFixture f;
            useResumableStreams(f, 3);
            // The first server pauses, then goes on whether or not another one has taken over.
            const Script first = [&](const LinkPtr& link) {
                sendUpTo(2, framing, false)(link);
                if (resumesAfterMs == 0)
                    return;
                f.loop.after(resumesAfterMs, [link, framing] {
                    link->send(framed(framing, events(3, 6)));
                    link->end(framing);
                });
            };
            ScriptedServers servers(f, 3, { first, sendUpTo(4, framing, false), sendUpTo(6, framing, true) });
            const auto answer = f.call();
            cr_assert(answer.isComplete && answer.body == events(1, 6), "resumed after %d ms: %s",
                static_cast<int>(resumesAfterMs), answer.body.c_str());
            cr_assert(resumesAfterMs > 0 || servers.requests() == 3, "%zu requests", servers.requests());
        }
    }
}

/// Guards against two ends or the rest of a stream twice when both servers of a takeover end in one iteration.
Test(takeover_order, two_servers_that_end_in_the_same_iteration_yield_one_end, .timeout = 60)
{
    for (const auto firstFraming : { Framing::Chunks, Framing::None }) {
        for (const auto secondFraming : { Framing::Chunks, Framing::None }) {
            for (const bool isFirstEarlier : { false, true }) {
                for (const bool isPassedOn : { false, true }) { // the second server sends an event before
                    RoutedFixture f;
                    useResumableStreams(f, 2);
                    LinkPtr first;
                    const Script pause = [&](const LinkPtr& link) {
                        first = link;
                        sendUpTo(2, firstFraming, false)(link);
                    };
                    const Script finishBoth = [&](const LinkPtr& link) {
                        link->send(headFor(link->requestId, secondFraming)
                            + (isPassedOn ? framed(secondFraming, event(3)) : ""));
                        f.loop.after(20, [&first, link, firstFraming, secondFraming, isFirstEarlier, isPassedOn] {
                            const auto finish = [](const LinkPtr& server, Framing framing, int from) {
                                server->send(framed(framing, events(from, 4)));
                                server->end(framing);
                            };
                            if (isFirstEarlier)
                                finish(first, firstFraming, 3);
                            finish(link, secondFraming, isPassedOn ? 4 : 3);
                            if (!isFirstEarlier)
                                finish(first, firstFraming, 3);
                        });
                    };
                    ScriptedServers servers(f, 2, { pause, finishBoth });
                    const auto answer = f.call();
                    cr_assert(answer.isComplete && answer.body == events(1, 4), "%s", answer.body.c_str());
                }
            }
        }
    }
}

/// Guards against taking what the second server leaves behind for the end, and against an end that is lost.
Test(takeover_order, the_end_of_the_second_server_counts_only_if_it_is_one, .timeout = 60)
{
    struct Case {
        const char* name;
        Framing framing;
        std::string text;
        bool isSilentFirst; ///< the first server pauses; otherwise it breaks off
        bool isComplete;
    };
    const std::vector<Case> cases = {
        { "half an event without a length", Framing::None, "id: 3\ndata: pa", false, false },
        { "half an event without a length, at a takeover", Framing::None, "id: 3\ndata: pa", true, false },
        { "empty, in chunks", Framing::Chunks, "", false, true },
        { "empty, in chunks, at a takeover", Framing::Chunks, "", true, true },
        { "empty, without a length", Framing::None, "", false, true },
        { "empty, without a length, at a takeover", Framing::None, "", true, false },
        { "empty, with a length, at a takeover", Framing::Length, "", true, true },
        { "one event and a half, at a takeover", Framing::None, event(3) + "id: 4\n", true, false },
    };
    for (const auto& c : cases) {
        RoutedFixture f;
        useResumableStreams(f, 2);
        f.deadlineMs = 1'500;
        const Script first = [&](const LinkPtr& link) {
            sendUpTo(2, Framing::Chunks, false)(link);
            if (!c.isSilentFirst)
                f.loop.after(20, [link] { link->connection->close(); });
        };
        const Script second = [&](const LinkPtr& link) {
            link->send(headFor(link->requestId, c.framing) + (c.text.empty() ? "" : framed(c.framing, c.text)));
            link->end(c.framing);
        };
        ScriptedServers servers(f, 2, { first, second });
        const auto answer = f.call();
        cr_assert_eq(servers.requests(), 2, "%s", c.name);
        cr_assert_eq(answer.isComplete, c.isComplete, "%s", c.name);
        cr_assert(answer.body == events(1, 2) || (!c.isComplete && answer.body == events(1, 3)), "%s: %s", c.name,
            answer.body.c_str());
    }
}

/// Guards against a stream that begins with what an earlier answer on its connection left behind.
Test(takeover_order, the_rest_of_an_earlier_answer_is_not_part_of_the_next_stream, .timeout = 60)
{
    struct Case {
        const char* name;
        std::string rest;
    };
    const std::vector<Case> cases = {
        { "an event", "id: 1\ndata: rest\n\n" },
        { "an event and the last chunk", chunk("id: 1\ndata: rest\n\n") + LAST_CHUNK },
        { "the last chunk", LAST_CHUNK },
        { "the end of a head", "Server-Seal: s\r\n\r\nid: 1\ndata: rest\n\n" },
        { "the end of a line", "rest\r\n" },
        { "a second copy", headFor("r1", Framing::Chunks) + chunk("id: 1\ndata: rest\n\n") + LAST_CHUNK },
    };
    enum class When { WithTheEnd, Idle, AfterTheNextRequest };
    for (const auto& c : cases) {
        for (const auto when : { When::WithTheEnd, When::Idle, When::AfterTheNextRequest }) {
            RoutedFixture f;
            useResumableStreams(f, 2);
            const Script script = [&](const LinkPtr& link) {
                const std::string answer = headFor(link->requestId, Framing::Chunks) + chunk(events(1, 3)) + LAST_CHUNK;
                if (link->requests > 1) { // otherwise nothing precedes the answer
                    link->send((when == When::AfterTheNextRequest ? c.rest : "") + answer);
                    return;
                }
                link->send(answer + (when == When::WithTheEnd ? c.rest : ""));
                if (when == When::Idle)
                    f.loop.after(2, [link, rest = c.rest] { link->send(rest); });
            };
            ScriptedServers servers(f, 1, { script });
            for (int call = 0; call < 3; ++call) {
                const auto answer = f.call();
                cr_assert(answer.body.find("rest") == std::string::npos, "%s: %s", c.name, answer.body.c_str());
                cr_assert(answer.status != 200 || isInOrder(answer.body, 3), "%s: %s", c.name, answer.body.c_str());
                cr_assert(answer.status != 200 || !answer.isComplete || answer.body == events(1, 3), "%s: %s", c.name,
                    answer.body.c_str());
            }
        }
    }
}

/// Guards against passing on an answer to another request that a server sends between two events of a stream.
Test(takeover_order, an_answer_to_another_request_between_two_events_is_not_passed_on, .timeout = 60)
{
    const std::string other = "other\n";
    const std::string otherEvent = "id: 3\ndata: other\n\n";
    const std::vector<std::pair<const char*, std::string>> cases = {
        { "with a length", headFor("r9", Framing::Length, 5) + "other" },
        { "with a length and a line", headFor("r9", Framing::Length, other.size()) + other },
        { "without a body", headFor("r9", Framing::Length, 0) },
        { "in chunks", headFor("r9", Framing::Chunks) + chunk(other) + LAST_CHUNK },
        { "a stream in chunks", headFor("r9", Framing::Chunks) + chunk(otherEvent) + LAST_CHUNK },
        { "a stream without a length", headFor("r9", Framing::None) + otherEvent },
    };
    std::string faults;
    for (const auto& [name, injected] : cases) {
        for (const auto framing : { Framing::Chunks, Framing::None }) {
            for (const bool isChunkOfIts : { false, true }) { // within a chunk of the stream, or between two
                if (isChunkOfIts && framing == Framing::None)
                    continue;
                RoutedFixture f;
                useResumableStreams(f, 1);
                const Script script = [&, text = injected](const LinkPtr& link) {
                    link->send(headFor(link->requestId, framing) + framed(framing, events(1, 2))
                        + (isChunkOfIts ? chunk(text) : text) + framed(framing, events(3, 4)));
                    link->end(framing);
                };
                ScriptedServers servers(f, 1, { script });
                const auto answer = f.call();
                if (answer.isComplete || !isInOrder(answer.body, 2))
                    faults += std::string(name) + (framing == Framing::Chunks ? ", chunks" : ", no length")
                        + (isChunkOfIts ? ", in a chunk: " : ": ") + answer.body + "\n";
            }
        }
    }
    cr_assert(faults.empty(), "%s", faults.c_str());
}

/// Guards against cutting a stream that pauses because the server asked to take it over answers another request.
Test(takeover_order, a_pausing_server_keeps_its_stream_if_the_other_one_answers_another_request, .timeout = 60)
{
    const std::string otherEvent = "id: 3\ndata: other\n\n";
    for (const auto framing : { Framing::Chunks, Framing::None }) {
        RoutedFixture f;
        useResumableStreams(f, 2);
        LinkPtr first;
        const Script pause = [&](const LinkPtr& link) {
            first = link;
            sendUpTo(2, framing, false)(link);
        };
        const Script answerOther = [&](const LinkPtr& link) {
            link->send(headFor(link->requestId, framing)
                + framed(framing, headFor("r9", Framing::None) + otherEvent + event(4)));
            f.loop.after(2 * SILENCE_MS, [first, framing] {
                first->send(framed(framing, events(3, 4)));
                first->end(framing);
            });
        };
        ScriptedServers servers(f, 2, { pause, answerOther });
        const auto answer = f.call();
        cr_assert_eq(servers.requests(), 2);
        cr_assert(answer.isComplete && answer.body == events(1, 4), "%s", answer.body.c_str());
    }
}

/// Guards against answers out of order on a connection whose first request is a stream that changes its server.
Test(takeover_order, pipelined_answers_keep_their_order_when_the_first_stream_is_taken_over, .timeout = 60)
{
    for (const bool isSilent : { true, false }) {
        RoutedFixture f;
        useResumableStreams(f, 2);
        const Script first = [&](const LinkPtr& link) {
            sendUpTo(2, Framing::Chunks, false)(link);
            if (!isSilent)
                f.loop.after(20, [link] { link->connection->close(); });
        };
        ScriptedServers servers(f, 2, { first, sendUpTo(4, Framing::None, true), sendUpTo(7, Framing::Chunks, true) });
        const auto result = callTwice(f, event(7));
        std::string text;
        std::size_t at = 0;
        for (int id : { 1, 2, 3, 4, 1, 2, 3, 4, 5, 6, 7 }) {
            at = result.bytes.find("data: part " + std::to_string(id) + "\n", at);
            cr_assert_neq(at, std::string::npos, "event %d is missing or late: %s", id, result.bytes.c_str());
            ++at;
        }
        const auto secondHead = result.bytes.find("Request-Id: r2");
        cr_assert(result.bytes.find("Request-Id: r1") < secondHead && result.bytes.find(LAST_CHUNK) < secondHead);
        std::size_t count = 0;
        for (std::size_t i = result.bytes.find("data: "); i != std::string::npos;
             i = result.bytes.find("data: ", i + 1))
            ++count;
        cr_assert_eq(count, 11, "%s", result.bytes.c_str());
    }
}

/// Guards against an answer to the second request that follows, and thereby ends, a first one that was cut.
Test(takeover_order, nothing_of_the_second_answer_follows_a_first_stream_that_was_cut, .timeout = 60)
{
    enum class Cut { Close, HalfEvent, Reset, Gap };
    for (const auto cut : { Cut::Close, Cut::HalfEvent, Cut::Reset, Cut::Gap }) {
        RoutedFixture f;
        useResumableStreams(f, 1);
        const Script first = [&](const LinkPtr& link) {
            sendUpTo(2, Framing::Chunks, false)(link);
            if (cut == Cut::Gap || cut == Cut::HalfEvent)
                link->send(chunk(cut == Cut::Gap ? event(4) : "id: 3\ndata: pa") + LAST_CHUNK);
            else
                f.loop.after(20, [link, cut] {
                    if (cut == Cut::Reset)
                        link->socket.setLinger(true, 0);
                    link->connection->close();
                });
        };
        ScriptedServers servers(f, 2, { first, sendUpTo(7, Framing::Chunks, true) });
        const auto result = callTwice(f, event(7));
        cr_assert(result.wasClosed);
        cr_assert(result.contains("Request-Id: r1") && result.contains("part 2"), "%s", result.bytes.c_str());
        cr_assert_not(result.contains("r2") || result.contains("part 3") || result.contains(LAST_CHUNK), "%s",
            result.bytes.c_str());
    }
}
