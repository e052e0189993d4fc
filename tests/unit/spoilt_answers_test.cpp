#include "RoutedFixture.h"
#include "TcpPeer.h"

using namespace testing;

// What callers get when a server answers before it has read the request and then resets the connection, or answers with
// a status that HTTP does not have. Guards against passing on such bytes as an answer (MIXED).

namespace {

constexpr std::size_t UPLOAD_BYTES = 900'000;
constexpr int SMALL_BUFFER_BYTES = 8 * 1024; // so that the upload is still being written when the server answers

enum class End { Reset, CloseWithUnreadInput, StopReading };

/// Sends bytes in response to the beginning of a request, and then ends the connection.
class EarlyServer {
public:
    EarlyServer(loop::EventLoop& loop, std::string answer, End end)
        : loop_(loop)
        , answer_(std::move(answer))
        , end_(end)
    {
        loop_.every(1, [this] { step(); });
    }

    std::string address() const { return peer_.address(); }
    int requests() const { return requests_; }

private:
    void step()
    {
        isAccepted_ = isAccepted_ || peer_.tryAccept();
        if (!isAccepted_ || hasAnswered_ || !peer_.hasInput())
            return;
        ++requests_;
        hasAnswered_ = true;
        peer_.send(answer_);
        if (end_ == End::StopReading)
            return;
        loop_.after(END_DELAY_MS, [this] {
            end_ == End::Reset ? peer_.reset() : peer_.close();
            isAccepted_ = hasAnswered_ = false;
        });
    }

    static constexpr loop::TimeMs END_DELAY_MS = 20; // so that the beginning of the answer arrives before

    loop::EventLoop& loop_;
    std::string answer_;
    End end_;
    TcpPeer peer_ { SMALL_BUFFER_BYTES };
    bool isAccepted_ = false;
    bool hasAnswered_ = false;
    int requests_ = 0;
};

const std::string OWN_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n";
const std::string EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

} // namespace

Test(spoilt_answers, an_early_answer_without_a_length_is_no_success_when_its_connection_is_reset, .timeout = 60)
{
    for (const auto end : { End::Reset, End::CloseWithUnreadInput, End::StopReading }) {
        for (const auto kind : { routes::CallKind::NonIdempotent, routes::CallKind::Idempotent }) {
            RoutedFixture f;
            f.route.kind = kind;
            f.route.attempts = 1;
            f.configure();
            EarlyServer server(f.loop, OWN_HEAD + "part of it", end);
            f.addServerAt("early", server.address());
            const auto answer = f.call({}, std::string(UPLOAD_BYTES, 'x'));
            cr_assert(answer.status == 502 || answer.status == 504, "end %d: %d", static_cast<int>(end), answer.status);
            cr_assert_eq(server.requests(), 1);
        }
    }
}

Test(spoilt_answers, an_early_stream_without_a_length_is_not_complete_when_its_connection_is_reset, .timeout = 60)
{
    for (const auto end : { End::Reset, End::CloseWithUnreadInput, End::StopReading }) {
        RoutedFixture f;
        f.route.kind = routes::CallKind::Stream;
        f.configure();
        EarlyServer server(f.loop, OWN_HEAD + EVENTS, end);
        f.addServerAt("early", server.address());
        const auto answer = f.call({}, std::string(UPLOAD_BYTES, 'x'));
        cr_assert_not(answer.isComplete && answer.status == 200, "end %d", static_cast<int>(end));
        cr_assert_eq(server.requests(), 1);
    }
}

Test(spoilt_answers, an_answer_with_an_unknown_status_is_a_failed_attempt, .timeout = 60)
{
    const std::string fields = "\r\nRequest-Id: r1\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok";
    for (const char* line : { "HTTP/1.1 000 Trouble", "HTTP/1.1 0 Trouble", "HTTP/1.1 099 Trouble",
             "HTTP/1.1 600 Trouble", "HTTP/1.1 999 Trouble", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 -200 OK",
             "HTTP/1.1 +20 OK", "HTTP/1.1  200 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 OK", "HTTP/1.1 ", "HTTP/1.1",
             "HTTP/0.0 200 OK", "HTTP/2.0 200 OK", "HTTP/1.1 200OK" }) {
        for (const auto kind :
            { routes::CallKind::NonIdempotent, routes::CallKind::Idempotent, routes::CallKind::Stream }) {
            RoutedFixture f;
            f.route.kind = kind;
            f.route.attempts = 1;
            f.configure();
            EarlyServer server(f.loop, line + fields, End::CloseWithUnreadInput);
            f.addServerAt("troubled", server.address());
            const auto answer = f.call();
            cr_assert_eq(answer.status, 502, "%s: %d", line, answer.status);
            cr_assert_eq(server.requests(), 1, "%s: sent again", line);
        }
    }
}

Test(spoilt_answers, a_request_that_may_be_repeated_is_served_elsewhere_after_an_unknown_status, .timeout = 60)
{
    constexpr int MAX_TRIALS = 100; // until the troubled server is chosen first
    int troubled = 0;
    for (int i = 0; i < MAX_TRIALS && troubled == 0; ++i) {
        RoutedFixture f;
        EarlyServer server(f.loop, "HTTP/1.1 000 Trouble\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\n", End::Reset);
        f.addServerAt("troubled-" + std::to_string(i), server.address()); // the order of the ids decides
        f.addServer("sound", [](const http::Exchange::Ptr& exchange) { RoutedFixture::succeed(exchange); });
        const auto answer = f.call();
        cr_assert_eq(answer.status, 200);
        cr_assert(answer.body == "answer to r1");
        troubled = server.requests();
    }
    cr_assert_eq(troubled, 1);
}
