#include "RoutedFixture.h"

#include "goldcrestcleat/loop/Connection.h"

using namespace testing;

// Servers that send bytes without end, in a head or a body, until the daemon closes the connection.

namespace {

constexpr loop::TimeMs ROUTE_TIMEOUT_MS = 400;
constexpr loop::TimeMs LONG_TIMEOUT_MS = 30'000;
constexpr std::size_t MAX_PENDING_BYTES = 64 * 1024; // output that the server keeps ready
constexpr loop::TimeMs BYTE_INTERVAL_MS = 5;
constexpr std::size_t BLOCK_BYTES = 16 * 1024;
constexpr std::size_t MAX_SENT_BYTES = 16 * 1024 * 1024; // more than any limit of the client and the socket buffers

const std::string OWN_FIELDS = "Request-Id: r1\r\nServer-Seal: s\r\n";

struct Variant {
    const char* name;
    std::string start;
    std::string repeated;
    int status; ///< that the caller gets; 0 for a connection closed before the end of the response
};

const std::vector<Variant>& variants()
{
    static const std::vector<Variant> all = {
        { "status line", "HTTP/1.1 200 ", "x", 502 },
        { "header fields", "HTTP/1.1 200 OK\r\n", "A: b\r\n", 502 },
        { "header field", "HTTP/1.1 200 OK\r\nA: ", "b", 502 },
        { "bytes that are not HTTP", "", std::string(1, '\x01'), 502 },
        { "line breaks", "", "\r\n", 502 },
        { "interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n", 502 },
        { "responses to other requests", "", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 0\r\n\r\n", 502 },
        { "body of a response to another request", "HTTP/1.1 200 OK\r\nRequest-Id: other\r\n\r\n", "x", 502 },
        { "chunk extension", "HTTP/1.1 200 OK\r\n" + OWN_FIELDS + "Transfer-Encoding: chunked\r\n\r\n1;", "x", 502 },
        { "chunks", "HTTP/1.1 200 OK\r\n" + OWN_FIELDS + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n", 502 },
        { "trailers", "HTTP/1.1 200 OK\r\n" + OWN_FIELDS + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "A: b\r\n", 502 },
        { "body without length", "HTTP/1.1 200 OK\r\n" + OWN_FIELDS + "\r\n", "x", 502 },
        { "bytes after a response", "HTTP/1.1 200 OK\r\n" + OWN_FIELDS + "Content-Length: 2\r\n\r\nok", "x", 200 },
    };
    return all;
}

enum class Pace { FullSpeed, ByteByByte, ByteByByteAfterStart };

/// Answers a request with the bytes of a variant.
class EndlessServer {
public:
    EndlessServer(loop::EventLoop& loop, Variant variant, Pace pace)
        : loop_(loop)
        , variant_(std::move(variant))
        , pace_(pace)
    {
        while (block_.size() < BLOCK_BYTES)
            block_ += variant_.repeated;
        loop_.every(pace_ == Pace::FullSpeed ? 1 : BYTE_INTERVAL_MS, [this] { sendMore(); });
    }

    std::string address() const { return listener_.address(); }
    std::size_t sentBytes() const { return sentBytes_; }

    bool isConnectionClosed() const { return connection_ && !connection_->isOpen(); }

private:
    void onAccept(const Poco::Net::StreamSocket& socket)
    {
        loop::Connection::Hooks hooks;
        hooks.onData = [this](std::string_view) { hasRequest_ = true; };
        connection_ = loop::Connection::adopt(loop_, socket, std::move(hooks));
    }

    void sendMore()
    {
        if (!hasRequest_ || !connection_->isOpen())
            return;
        if (pace_ == Pace::ByteByByteAfterStart && sentBytes_ == 0) {
            send(variant_.start);
            return;
        }
        if (pace_ != Pace::FullSpeed) {
            send(std::string(1, byteAt(sentBytes_)));
            return;
        }
        while (connection_->isOpen() && connection_->pendingOutput() < MAX_PENDING_BYTES && sentBytes_ < MAX_SENT_BYTES)
            send(sentBytes_ == 0 ? variant_.start + block_ : block_);
    }

    char byteAt(std::size_t index) const
    {
        return index < variant_.start.size()
            ? variant_.start[index]
            : variant_.repeated[(index - variant_.start.size()) % variant_.repeated.size()];
    }

    void send(const std::string& bytes)
    {
        sentBytes_ += bytes.size();
        connection_->send(bytes);
    }

    loop::EventLoop& loop_;
    Variant variant_;
    Pace pace_;
    std::string block_; // of repeated bytes
    std::size_t sentBytes_ = 0;
    bool hasRequest_ = false;
    loop::Connection::Ptr connection_;
    loop::Listener listener_ { loop_, "127.0.0.1:0", [this](const auto& socket) { onAccept(socket); } };
};

} // namespace

Test(endless_answers, an_answer_without_end_is_cut_off_at_a_size_limit, .timeout = 60)
{
    for (const auto& variant : variants()) {
        RoutedFixture f;
        EndlessServer server(f.loop, variant, Pace::FullSpeed);
        f.addServerAt("endless", server.address());
        f.route.attempts = 1;
        f.deadlineMs = f.route.timeoutMs = LONG_TIMEOUT_MS; // the size limit must end the answer
        f.configure();
        const auto answer = f.call();
        cr_assert_eq(answer.status, variant.status, "%s: status %d", variant.name, answer.status);
        f.runUntil([&] { return server.isConnectionClosed(); });
        cr_assert_lt(server.sentBytes(), MAX_SENT_BYTES, "%s: not cut off", variant.name);
    }
}

Test(endless_answers, an_answer_without_end_that_comes_slowly_is_cut_off_at_the_time_limit_of_its_route, .timeout = 60)
{
    for (const auto& variant : variants()) {
        RoutedFixture f;
        EndlessServer server(f.loop, variant, Pace::ByteByByte);
        f.addServerAt("endless", server.address());
        f.route.attempts = 1;
        f.route.timeoutMs = ROUTE_TIMEOUT_MS;
        f.configure();
        const auto answer = f.call();
        const bool isExpected = answer.status == variant.status || answer.status == 504;
        cr_assert(isExpected, "%s: status %d", variant.name, answer.status);
        f.runUntil([&] { return server.isConnectionClosed(); });
    }
}

Test(endless_answers, a_stalled_stream_that_sends_comments_is_resumed_on_another_server, .timeout = 60)
{
    for (const char* filler : { ":\n\n", "\n", "x", ": still here\n" }) {
        RoutedFixture f;
        f.route.kind = routes::CallKind::Stream;
        f.route.isResumable = true;
        f.route.goalMs = 100;
        f.route.maxPauseMs = 100;
        f.configure();
        const Variant stalled { "stalled stream",
            "HTTP/1.1 200 OK\r\n" + OWN_FIELDS + "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: a\n\n", filler,
            200 };
        EndlessServer server(f.loop, stalled, Pace::ByteByByteAfterStart);
        f.addServerAt("stalled", server.address());
        // The second server is added when the stream runs on the first one.
        f.loop.after(150, [&] {
            f.addServer("sound", [](const http::Exchange::Ptr& exchange) {
                cr_assert(exchange->header("Last-Event-Id") == "1");
                exchange->startStream(
                    200, { { "Request-Id", exchange->header("Request-Id") }, { "Server-Seal", "s" } });
                exchange->write("id: 2\ndata: b\n\n");
                exchange->finishStream();
            });
        });
        const auto answer = f.call();
        cr_assert_eq(answer.status, 200);
        cr_assert_eq(f.arrivals["sound"], 1, "filler '%s'", filler);
        cr_assert(answer.body.find("id: 1") < answer.body.find("id: 2"), "%s", answer.body.c_str());
    }
}
