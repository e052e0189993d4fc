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
    EndlessServer(loop::EventLoop& loop, std::string head)
        : loop_(loop)
        , head_(std::move(head))
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
        bool hasRequest = false;
    };

    void onAccept(const Poco::Net::StreamSocket& socket)
    {
        const auto answer = std::make_shared<Answer>();
        loop::Connection::Hooks hooks;
        hooks.onData = [weak = std::weak_ptr<Answer>(answer)](std::string_view) {
            if (const auto self = weak.lock())
                self->hasRequest = true;
        };
        answer->connection = loop::Connection::adopt(loop_, socket, std::move(hooks));
        answers_.push_back(answer);
    }

    void sendMore()
    {
        for (const auto& answer : answers_) {
            const bool isWaiting = !answer->hasRequest || answer->connection->pendingOutput() > 0;
            if (isWaiting || !answer->connection->isOpen() || answer->sentBytes >= ANSWER_BYTES)
                continue;
            const std::string bytes = answer->sentBytes == 0 ? head_ + block_ : block_;
            answer->sentBytes += bytes.size();
            answer->connection->send(bytes);
        }
    }

    loop::EventLoop& loop_;
    const std::string head_;
    const std::string block_;
    std::vector<std::shared_ptr<Answer>> answers_;
    loop::Listener listener_ { loop_, "127.0.0.1:0", [this](const auto& socket) { onAccept(socket); } };
};

/// Sends the requests to a server with the given head of its answers, and runs until it has sent all that it can.
void sendAll(RoutedFixture& f, const EndlessServer& server, std::vector<http::Call::Ptr>& calls, http::Client& callers)
{
    f.addServerAt("endless", server.address());
    f.route.attempts = 1;
    f.route.timeoutMs = ROUTE_TIMEOUT_MS;
    f.configure();
    auto entry = f.entryOf("endless");
    entry.slots = static_cast<int>(REQUESTS);
    f.servers.put(entry, f.loop.now());
    for (std::size_t i = 0; i < REQUESTS; ++i) {
        const http::Request request { "GET", "/x",
            { { "Host", "h" }, { "Request-Id", "r" + std::to_string(i) }, { "Request-Deadline", "9000" } }, "" };
        calls.push_back(callers.start(f.callerAddress(), request, {}));
    }
    f.runUntil([&] { return server.isEverythingSent(); });
}

} // namespace

Test(held_bytes, many_answers_without_end_do_not_exceed_the_memory_of_the_smallest_vm, .timeout = 60)
{
    RoutedFixture f(ANSWER_LIMITS);
    http::Client callers(f.loop, http::Limits());
    std::vector<http::Call::Ptr> calls;
    const EndlessServer server(f.loop, "HTTP/1.1 200 OK\r\nServer-Seal: s\r\n\r\n");
    sendAll(f, server, calls, callers);
    cr_assert_lt(server.openBytes(), VM_MEMORY_BYTES, "%zu bytes are held", server.openBytes());
}

Test(held_bytes, the_body_of_an_answer_that_cannot_be_passed_on_is_not_kept, .timeout = 60)
{
    RoutedFixture f(ANSWER_LIMITS);
    http::Client callers(f.loop, http::Limits());
    std::vector<http::Call::Ptr> calls;
    const EndlessServer server(f.loop, "HTTP/1.1 200 OK\r\n\r\n");
    sendAll(f, server, calls, callers);
    cr_assert_lt(server.longestAnswer(), ANSWER_BYTES, "an answer without a signature was read to its end");
}
