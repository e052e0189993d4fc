#include "RoutedFixture.h"

#include "goldcrestcleat/loop/Connection.h"

using namespace testing;

// Many answers without end at the same time. Each is bounded by itself; guards against holding so many of them that the
// memory of a VM does not suffice, which ends the daemon and the requests of all callers.

namespace {

constexpr std::size_t REQUESTS = 32;
constexpr std::size_t ANSWER_BYTES = 7 * 1024 * 1024; // below the limit of a single answer
constexpr std::size_t VM_MEMORY_BYTES = 160 * 1000 * 1000; // of the smallest VM
constexpr std::size_t BLOCK_BYTES = 256 * 1024;
constexpr http::Limits ANSWER_LIMITS { 32 * 1024, 64 * 1024 * 1024 }; // of `front`
constexpr loop::TimeMs ROUTE_TIMEOUT_MS = 4'000;

/// Answers each request with the beginning of a body, and keeps the connection open.
class EndlessServer {
public:
    /// Answers with the given lines of a head, which names its request if `ownId` is set.
    EndlessServer(loop::EventLoop& loop, std::string head, bool ownId = true)
        : loop_(loop)
        , head_(std::move(head))
        , ownId_(ownId)
        , block_(BLOCK_BYTES, 'x')
    {
        loop_.every(1, [this] { sendMore(); });
    }

    std::string address() const { return listener_.address(); }

    /// Returns the bytes that the daemon has read of answers that it has not ended.
    std::size_t openBytes() const
    {
        std::size_t bytes = 0;
        for (const auto& answer : answers_) {
            if (answer->connection->isOpen())
                bytes += answer->sentBytes - answer->connection->pendingOutput();
        }
        return bytes;
    }

    bool isEverythingSent() const
    {
        return answers_.size() == REQUESTS && std::all_of(answers_.begin(), answers_.end(), [](const auto& answer) {
            return !answer->connection->isOpen()
                || (answer->sentBytes >= ANSWER_BYTES && answer->connection->pendingOutput() == 0);
        });
    }

    /// Returns the most bytes that the daemon has read of a single answer.
    std::size_t longestAnswer() const
    {
        std::size_t longest = 0;
        for (const auto& answer : answers_)
            longest = std::max(longest, answer->sentBytes);
        return longest;
    }

private:
    struct Answer {
        loop::Connection::Ptr connection;
        std::size_t sentBytes = 0;
        std::string requestId;
    };

    void onAccept(const Poco::Net::StreamSocket& socket)
    {
        const auto answer = std::make_shared<Answer>();
        loop::Connection::Hooks hooks;
        hooks.onData = [weak = std::weak_ptr<Answer>(answer)](std::string_view input) {
            static const std::string field = "Request-Id: ";
            const auto start = input.find(field);
            const auto self = weak.lock();
            if (!self || start == std::string_view::npos)
                return;
            const auto value = input.substr(start + field.size());
            self->requestId = value.substr(0, value.find('\r'));
        };
        answer->connection = loop::Connection::adopt(loop_, socket, std::move(hooks));
        answers_.push_back(answer);
    }

    void sendMore()
    {
        for (const auto& answer : answers_) {
            const bool isWaiting = answer->requestId.empty() || answer->connection->pendingOutput() > 0;
            if (isWaiting || !answer->connection->isOpen() || answer->sentBytes >= ANSWER_BYTES)
                continue;
            const std::string id = ownId_ ? "Request-Id: " + answer->requestId + "\r\n" : "";
            const std::string bytes = answer->sentBytes == 0 ? head_ + id + "\r\n" + block_ : block_;
            answer->sentBytes += bytes.size();
            answer->connection->send(bytes);
        }
    }

    loop::EventLoop& loop_;
    const std::string head_;
    const bool ownId_;
    const std::string block_;
    std::vector<std::shared_ptr<Answer>> answers_;
    loop::Listener listener_ { loop_, "127.0.0.1:0", [this](const auto& socket) { onAccept(socket); } };
};

/// Registers the server with a slot for each request.
void addServer(RoutedFixture& f, const EndlessServer& server)
{
    f.addServerAt("endless", server.address());
    auto entry = f.entryOf("endless");
    entry.slots = static_cast<int>(REQUESTS);
    f.servers.put(entry, f.loop.now());
}

http::Request requestOf(std::size_t index, loop::TimeMs deadlineMs)
{
    return { "GET", "/x",
        { { "Host", "h" }, { "Request-Id", "r" + std::to_string(index) },
            { "Request-Deadline", std::to_string(deadlineMs) } },
        "" };
}

/// Sends the requests to the server, and runs until it has sent all that it can.
void sendAll(RoutedFixture& f, const EndlessServer& server, std::vector<http::Call::Ptr>& calls, http::Client& callers)
{
    f.route.attempts = 1;
    f.route.timeoutMs = ROUTE_TIMEOUT_MS;
    f.configure();
    addServer(f, server);
    for (std::size_t i = 0; i < REQUESTS; ++i)
        calls.push_back(callers.start(f.callerAddress(), requestOf(i, 2 * ROUTE_TIMEOUT_MS), {}));
    f.runUntil([&] { return server.isEverythingSent(); });
}

} // namespace

Test(held_bytes, many_answers_without_end_do_not_exceed_the_memory_of_the_smallest_vm, .timeout = 60)
{
    RoutedFixture f(ANSWER_LIMITS);
    http::Client callers(f.loop, http::Limits());
    std::vector<http::Call::Ptr> calls;
    const EndlessServer server(f.loop, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n");
    sendAll(f, server, calls, callers);
    cr_assert_lt(server.openBytes(), VM_MEMORY_BYTES, "%zu bytes are held", server.openBytes());
}

Test(held_bytes, the_body_of_an_answer_that_cannot_be_passed_on_is_not_kept, .timeout = 60)
{
    for (const std::string head : { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 500 Internal Server Error\r\n",
             "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" }) {
        RoutedFixture f(ANSWER_LIMITS);
        http::Client callers(f.loop, http::Limits());
        std::vector<http::Call::Ptr> calls;
        const EndlessServer server(f.loop, head);
        sendAll(f, server, calls, callers);
        cr_assert_lt(server.longestAnswer(), ANSWER_BYTES, "%s was read to its end", head.c_str());
    }
}

Test(held_bytes, an_answer_to_another_request_is_not_read_without_end, .timeout = 60)
{
    for (const std::string head : { "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n", "HTTP/1.1 200 OK\r\n" }) {
        RoutedFixture f(ANSWER_LIMITS);
        http::Client callers(f.loop, http::Limits());
        std::vector<http::Call::Ptr> calls;
        const EndlessServer server(f.loop, head, false);
        sendAll(f, server, calls, callers);
        cr_assert_lt(server.openBytes(), VM_MEMORY_BYTES, "%zu bytes are held", server.openBytes());
        cr_assert_lt(server.longestAnswer(), ANSWER_BYTES, "an answer was read to its end");
    }
}

Test(held_bytes, a_rejection_whose_body_does_not_end_is_followed_by_a_retry, .timeout = 60)
{
    for (const std::string head : { "Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
        RoutedFixture f(ANSWER_LIMITS);
        std::vector<loop::Connection::Ptr> connections;
        const loop::Listener rejecting(f.loop, "127.0.0.1:0", [&](const auto& socket) {
            connections.push_back(loop::Connection::adopt(f.loop, socket, {}));
            connections.back()->send(
                "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n" + head + "\r\n");
        });
        f.addServerAt("rejecting", rejecting.address());
        const auto answer = f.call();
        // After the deadline the caller would be told that the request may have run.
        cr_assert_eq(answer.status, 503, "the status is %d", answer.status);
    }
}

Test(held_bytes, large_answers_reach_callers_that_read_slowly, .timeout = 120)
{
    constexpr loop::TimeMs LONG_TIMEOUT_MS = 60'000;
    RoutedFixture f(ANSWER_LIMITS);
    f.route.timeoutMs = LONG_TIMEOUT_MS;
    f.configure();
    const EndlessServer server(
        f.loop, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\nContent-Length: " + std::to_string(ANSWER_BYTES) + "\r\n");
    addServer(f, server);
    http::Client callers(f.loop, ANSWER_LIMITS);
    std::vector<http::Call::Ptr> calls(REQUESTS);
    std::vector<std::size_t> received(REQUESTS);
    std::size_t complete = 0;
    std::size_t failed = 0;
    std::size_t mostHeld = 0;
    for (std::size_t i = 0; i < REQUESTS; ++i) {
        http::Call::Hooks hooks;
        hooks.onBody = [&, i](std::string_view part) {
            received[i] += part.size();
            calls[i]->setReading(false);
            f.loop.after(1, [&, i] { calls[i]->setReading(true); });
        };
        hooks.onEnd = [&, i] { complete += received[i] == ANSWER_BYTES ? 1 : 0; };
        hooks.onFailure = [&](http::FailurePoint, const std::string&) { ++failed; };
        calls[i] = callers.start(f.callerAddress(), requestOf(i, LONG_TIMEOUT_MS), std::move(hooks));
    }
    f.runUntil([&] {
        mostHeld = std::max(mostHeld, f.answerBytes() + f.loop.queuedOutput());
        return complete + failed == REQUESTS;
    });
    cr_assert_eq(complete, REQUESTS, "%zu answers are complete, %zu failed", complete, failed);
    cr_assert_lt(mostHeld, VM_MEMORY_BYTES, "%zu bytes were held", mostHeld);
}
