#include "RoutedFixture.h"

#include "goldcrestcleat/loop/Connection.h"

#include <Poco/Net/StreamSocket.h>

#include <regex>

using namespace testing;

// Answers that end early or with their connection, and what their callers get.

namespace {

constexpr loop::TimeMs CLOSE_DELAY_MS = 30; // after the last byte of a server
constexpr const char* COMPLETE_STREAM_END = "0\r\n\r\n";

enum class End {
    Close, ///< the connection is closed as after a complete answer
    Reset, ///< the connection is reset
    Keep ///< the connection stays open
};

/// Answers the requests of its first connection with the given texts, and all others with the last text. "$ID" stands
/// for the id of the request.
class RawServer {
public:
    RawServer(loop::EventLoop& loop, std::vector<std::string> answers, End end)
        : loop_(loop)
        , answers_(std::move(answers))
        , end_(end)
    {
    }

    std::string address() const { return listener_.address(); }
    int requests() const { return requests_; }

private:
    struct Caller {
        loop::Connection::Ptr connection;
        Poco::Net::StreamSocket socket;
        std::size_t served = 0;
    };

    void onAccept(const Poco::Net::StreamSocket& socket)
    {
        const auto caller = std::make_shared<Caller>();
        caller->socket = socket;
        loop::Connection::Hooks hooks;
        hooks.onData = [this, weak = std::weak_ptr<Caller>(caller)](std::string_view bytes) {
            if (const auto self = weak.lock())
                onRequest(self, std::string(bytes));
        };
        caller->connection = loop::Connection::adopt(loop_, socket, std::move(hooks));
        callers_.push_back(caller);
    }

    void onRequest(const std::shared_ptr<Caller>& caller, const std::string& bytes)
    {
        static const std::regex field("Request-Id: (\\w+)");
        std::smatch match;
        cr_assert(std::regex_search(bytes, match, field));
        ++requests_;
        const bool isLaterConnection = caller->served == 0 && requests_ > 1;
        const std::size_t last = answers_.size() - 1;
        const std::string text = answers_.at(isLaterConnection ? last : std::min(caller->served++, last));
        caller->connection->send(std::regex_replace(text, std::regex("\\$ID"), match[1].str()));
        if (end_ == End::Keep)
            return;
        loop_.after(CLOSE_DELAY_MS, [this, caller] {
            if (end_ == End::Reset)
                caller->socket.setLinger(true, 0);
            caller->connection->close();
            caller->socket.close();
        });
    }

    loop::EventLoop& loop_;
    std::vector<std::string> answers_;
    End end_;
    int requests_ = 0;
    std::vector<std::shared_ptr<Caller>> callers_;
    loop::Listener listener_ { loop_, "127.0.0.1:0", [this](const auto& socket) { onAccept(socket); } };
};

/// The bytes that a caller receives for one request, up to the end of its connection or of a complete answer.
struct RawAnswer {
    std::string bytes;
    bool wasClosed = false;

    int status() const { return bytes.size() > 12 ? std::stoi(bytes.substr(9, 3)) : 0; }
    bool contains(const std::string& text) const { return bytes.find(text) != std::string::npos; }

    /// Returns whether the answer is framed as a complete chunked one.
    bool isCompleteStream() const
    {
        const std::string end = COMPLETE_STREAM_END;
        return bytes.size() >= end.size() && bytes.compare(bytes.size() - end.size(), end.size(), end) == 0;
    }
};

RawAnswer callRaw(RoutedFixture& f, bool asksForClose)
{
    RawAnswer answer;
    loop::Connection::Hooks hooks;
    hooks.onData = [&](std::string_view bytes) { answer.bytes.append(bytes); };
    hooks.onClose = [&](loop::CloseReason) { answer.wasClosed = true; };
    const auto connection = loop::Connection::connect(f.loop, f.callerAddress(), std::move(hooks));
    connection->send("GET /x HTTP/1.1\r\nHost: h\r\nRequest-Id: r1\r\nRequest-Deadline: 1500\r\n"
        + std::string(asksForClose ? "Connection: close\r\n" : "") + "\r\n");
    const auto isWhole = [&] {
        if (answer.wasClosed || answer.isCompleteStream())
            return true;
        const auto headEnd = answer.bytes.find("\r\n\r\n");
        const auto length = answer.bytes.find("Content-Length: ");
        return headEnd != std::string::npos && length < headEnd
            && answer.bytes.size() >= headEnd + 4 + std::stoul(answer.bytes.substr(length + 16));
    };
    f.runUntil(isWhole);
    connection->close();
    return answer;
}

const std::string OWN_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServer-Seal: s\r\n";
const std::string CHUNKED = OWN_HEAD + "Transfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& text)
{
    std::ostringstream out;
    out << std::hex << text.size() << "\r\n" << text << "\r\n";
    return out.str();
}

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: part " + std::to_string(id) + "\n\n"; }

struct PlainCase {
    const char* name;
    std::string answer;
    End end;
    int status; ///< that the caller gets
    std::string body; ///< of a success
};

struct StreamCase {
    const char* name;
    std::string answer;
    End end;
    bool isComplete; ///< that the caller gets a complete stream
};

} // namespace

Test(broken_answers, an_answer_that_ends_early_is_no_success, .timeout = 60)
{
    const std::vector<PlainCase> cases = {
        { "whole", OWN_HEAD + "Content-Length: 2\r\n\r\nok", End::Close, 200, "ok" },
        { "no length, closed", OWN_HEAD + "\r\nall of it", End::Close, 200, "all of it" },
        { "no length, reset", OWN_HEAD + "\r\npart of it", End::Reset, 502, "" },
        { "short body, closed", OWN_HEAD + "Content-Length: 9\r\n\r\nhalf", End::Close, 502, "" },
        { "short body, reset", OWN_HEAD + "Content-Length: 9\r\n\r\nhalf", End::Reset, 502, "" },
        { "no body, closed", OWN_HEAD + "Content-Length: 9\r\n\r\n", End::Close, 502, "" },
        { "no last chunk", CHUNKED + "4\r\nhalf\r\n", End::Close, 502, "" },
        { "no end of the last chunk", CHUNKED + "4\r\nhalf\r\n0\r\n", End::Close, 502, "" },
        { "half a chunk", CHUNKED + "9\r\nhalf", End::Close, 502, "" },
        { "no bytes", "", End::Close, 502, "" },
        { "part of the status line", "HTTP/1.1 200", End::Close, 502, "" },
        { "status line only", "HTTP/1.1 200 OK\r\n", End::Close, 502, "" },
        { "part of a field", "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nServer-Se", End::Close, 502, "" },
        { "head without its last line", OWN_HEAD, End::Close, 502, "" },
        { "head without its last line, reset", OWN_HEAD + "Content-Length: 2\r\n", End::Reset, 502, "" },
    };
    for (const auto& c : cases) {
        for (const bool asksForClose : { false, true }) {
            RoutedFixture f;
            RawServer server(f.loop, { c.answer }, c.end);
            f.addServerAt("breaking", server.address());
            f.route.kind = routes::CallKind::NonIdempotent;
            f.configure();
            const RawAnswer answer = callRaw(f, asksForClose);
            cr_assert_eq(answer.status(), c.status, "%s: status %d", c.name, answer.status());
            cr_assert(c.body.empty() || answer.contains("\r\n\r\n" + c.body), "%s: %s", c.name, answer.bytes.c_str());
            cr_assert_eq(server.requests(), 1, "%s: sent again", c.name);
        }
    }
}

Test(broken_answers, a_stream_that_ends_early_does_not_look_complete, .timeout = 60)
{
    const std::vector<StreamCase> cases = {
        { "whole, in chunks", CHUNKED + chunk(event(1) + event(2)) + COMPLETE_STREAM_END, End::Keep, true },
        { "whole, without length", OWN_HEAD + "\r\n" + event(1) + event(2), End::Close, true },
        { "without length, reset", OWN_HEAD + "\r\n" + event(1) + event(2), End::Reset, false },
        { "without length, closed within an event", OWN_HEAD + "\r\n" + event(1) + "id: 2\nda", End::Close, false },
        { "without length, closed after a line of an event", OWN_HEAD + "\r\n" + event(1) + "id: 2\ndata: x\n",
            End::Close, false },
        { "without length, closed before the first event", OWN_HEAD + "\r\n", End::Close, false },
        { "chunks, closed before the last", CHUNKED + chunk(event(1)), End::Close, false },
        { "chunks, reset before the last", CHUNKED + chunk(event(1)), End::Reset, false },
        { "chunks that end within an event", CHUNKED + chunk(event(1) + "id: 2\nda") + COMPLETE_STREAM_END, End::Keep,
            false },
        { "head only", OWN_HEAD, End::Close, false },
    };
    for (const auto& c : cases) {
        for (const bool asksForClose : { false, true }) {
            RoutedFixture f;
            RawServer server(f.loop, { c.answer }, c.end);
            f.addServerAt("breaking", server.address());
            f.route.kind = routes::CallKind::Stream;
            f.configure();
            const RawAnswer answer = callRaw(f, asksForClose);
            const bool isComplete = answer.status() == 200 && answer.isCompleteStream();
            cr_assert_eq(isComplete, c.isComplete, "%s: %s", c.name, answer.bytes.c_str());
            cr_assert(isComplete || answer.status() != 200 || answer.wasClosed, "%s: left open", c.name);
        }
    }
}

Test(broken_answers, the_error_of_the_next_server_is_not_part_of_a_stream_that_had_begun, .timeout = 60)
{
    const std::vector<std::pair<const char*, std::string>> followers = {
        { "a signed error",
            "HTTP/1.1 500 Oops\r\nRequest-Id: $ID\r\nServer-Seal: s\r\nContent-Length: 6\r\n\r\nfailed" },
        { "an unsigned error", "HTTP/1.1 502 Oops\r\nRequest-Id: $ID\r\nContent-Length: 6\r\n\r\nfailed" },
        { "an error without length", "HTTP/1.1 500 Oops\r\nRequest-Id: $ID\r\nServer-Seal: s\r\n\r\nfailed" },
        { "a refusal", "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 6\r\n\r\nfailed" },
        { "another instance", "HTTP/1.1 421 Other\r\nContent-Length: 6\r\n\r\nfailed" },
        { "an error with events",
            "HTTP/1.1 500 Oops\r\nRequest-Id: $ID\r\nServer-Seal: s\r\n\r\n" + event(2) + "id: 3\ndata: failed\n\n" },
        { "an unsigned success", "HTTP/1.1 200 OK\r\nRequest-Id: $ID\r\nContent-Length: 6\r\n\r\nfailed" },
        { "an error in place of events", OWN_HEAD + "\r\n{\"error\":\"failed\"}\n\n" },
        { "half a head", "HTTP/1.1 500 failed\r\nRequest-Id: $ID\r\nServer-S" },
    };
    for (const auto& [name, follower] : followers) {
        for (const bool asksForClose : { false, true }) {
            RoutedFixture f;
            RawServer first(f.loop, { CHUNKED + chunk(event(1)) }, End::Close);
            RawServer second(f.loop, { follower }, End::Close);
            f.addServerAt("first", first.address());
            f.route.kind = routes::CallKind::Stream;
            f.route.isResumable = true;
            f.configure();
            f.loop.after(CLOSE_DELAY_MS / 2, [&] { f.addServerAt("second", second.address()); });
            const RawAnswer answer = callRaw(f, asksForClose);
            cr_assert_eq(second.requests(), 1, "%s", name);
            cr_assert(answer.status() == 200 && answer.contains("part 1"), "%s", name);
            cr_assert_not(answer.contains("failed") || answer.contains("HTTP/1.1 5") || answer.contains("part 2"),
                "%s: %s", name, answer.bytes.c_str());
            cr_assert_not(answer.isCompleteStream(), "%s: %s", name, answer.bytes.c_str());
            cr_assert(answer.wasClosed, "%s: left open", name);
        }
    }
}

/// Guards against taking a late copy of a refusal for the answer to the next request on the connection.
Test(broken_answers, a_repeated_refusal_does_not_refuse_the_next_request, .timeout = 60)
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    const std::string misdirected = "HTTP/1.1 421 Other\r\nInstance-Id: i\r\nContent-Length: 0\r\n\r\n";
    const std::string success = OWN_HEAD + "Content-Length: 2\r\n\r\nok";
    for (const std::string& earlier : { refusal, misdirected }) {
        for (const auto kind : { routes::CallKind::NonIdempotent, routes::CallKind::Idempotent }) {
            RoutedFixture f;
            // The copy arrives after the next request was sent, and before its own answer.
            RawServer server(f.loop, { earlier, earlier + success, success }, End::Keep);
            f.addServerAt("copying", server.address());
            f.route.kind = kind;
            f.route.attempts = 1;
            f.configure();
            const RawAnswer refused = callRaw(f, false);
            cr_assert_eq(refused.status(), 503);
            const RawAnswer answer = callRaw(f, false);
            cr_assert(answer.status() != 503 && answer.status() != 429 && answer.status() != 421,
                "a request that the server ran was reported as not run: %s", answer.bytes.c_str());
        }
    }
}

Test(broken_answers, an_error_in_a_stream_of_the_own_interface_does_not_end_it_as_complete)
{
    loop::EventLoop loop;
    http::Server server(
        loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [](const http::Exchange::Ptr& exchange) {
            exchange->startStream(200, {});
            exchange->write("data: part\n\n");
            requests::refuse(*exchange, { errors::ResultCode::AnswerIncomplete, "", std::nullopt, 0, false }, "r1");
        },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {});
    for (const char* option : { "", "Connection: close\r\n" }) {
        RawAnswer answer;
        loop::Connection::Hooks hooks;
        hooks.onData = [&](std::string_view bytes) { answer.bytes.append(bytes); };
        hooks.onClose = [&](loop::CloseReason) { answer.wasClosed = true; };
        const auto connection = loop::Connection::connect(loop, server.address(), std::move(hooks));
        connection->send("GET / HTTP/1.1\r\nHost: h\r\n" + std::string(option) + "\r\n");
        while (!answer.wasClosed)
            loop.runOnce();
        cr_assert(answer.contains("data: part") && answer.contains("AnswerIncomplete"));
        cr_assert_not(answer.isCompleteStream());
    }
}
