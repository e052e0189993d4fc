#include "goldcrestcleat/http/Server.h"

#include <Poco/Timestamp.h>
#include <Poco/URI.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <deque>
#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on");
ABSL_FLAG(std::string, id, "server", "id of this start of the server");
ABSL_FLAG(std::string, record, "", "file to which what arrived and ran is appended");
ABSL_FLAG(int, slots, 8, "requests processed at the same time");
ABSL_FLAG(int, queue, 16, "requests that may wait for a slot");

using namespace goldcrestcleat;
using nlohmann::json;

namespace {

/// A sound server of the users' platform. The query of a request says what it costs:
/// `ms` until its answer begins, `bytes` of its body; or, for a stream, `events` and the `gap` between them in ms.
/// A request whose path contains `deadly` crashes the server when it begins to run.
class Server {
public:
    explicit Server(loop::EventLoop& loop)
        : loop_(loop)
        , id_(absl::GetFlag(FLAGS_id))
        , record_(absl::GetFlag(FLAGS_record), std::ios::app)
    {
    }

    void handle(const http::Exchange::Ptr& exchange)
    {
        const std::string expected = exchange->header("Expect-Instance");
        if (!expected.empty() && expected != id_) {
            exchange->reply(421, { { "Instance-Id", id_ } }, "");
            return;
        }
        if (running_ >= absl::GetFlag(FLAGS_slots) && static_cast<int>(waiting_.size()) >= absl::GetFlag(FLAGS_queue)) {
            write("rejected", *exchange);
            exchange->reply(503, { { "Not-Executed", "1" }, { "Request-Id", exchange->header("Request-Id") } }, "");
            return;
        }
        write("arrived", *exchange);
        waiting_.push_back(exchange);
        startNext();
    }

private:
    struct Run {
        http::Exchange::Ptr exchange;
        bool isOver = false;
        long next = 1;
        long last = 0;
        long gapMs = 0;
        std::size_t eventBytes = 0;
    };

    void write(const char* event, const http::Exchange& exchange)
    {
        const json line = { { "event", event }, { "server", id_ }, { "id", exchange.header("Request-Id") },
            { "path", exchange.path() }, { "unixMs", Poco::Timestamp().epochMicroseconds() / 1'000 } };
        record_ << line.dump(-1, ' ', false, json::error_handler_t::replace) << std::endl;
    }

    static long number(const http::Exchange& exchange, const std::string& name)
    {
        const std::string text = exchange.query(name);
        return text.empty() ? 0 : std::stol(text);
    }

    void startNext()
    {
        while (running_ < absl::GetFlag(FLAGS_slots) && !waiting_.empty()) {
            const auto exchange = waiting_.front();
            waiting_.pop_front();
            ++running_;
            const auto run = std::make_shared<Run>();
            run->exchange = exchange;
            exchange->onCallerDisconnected = [this, weak = std::weak_ptr<Run>(run)] {
                if (const auto gone = weak.lock())
                    end(gone);
            };
            loop_.after(number(*exchange, "ms"), [this, run] { begin(run); });
        }
    }

    void begin(const std::shared_ptr<Run>& run)
    {
        if (run->isOver)
            return;
        auto& exchange = *run->exchange;
        write("run", exchange);
        if (exchange.path().find("deadly") != std::string::npos)
            std::_Exit(1);
        const http::Fields fields
            = { { "Request-Id", exchange.header("Request-Id") }, { "Server-Seal", "seal-of-" + id_ } };
        const long events = number(exchange, "events");
        if (events == 0) {
            exchange.reply(200, fields, std::string(static_cast<std::size_t>(number(exchange, "bytes")), 'x'));
            end(run);
            return;
        }
        const std::string lastId = exchange.header("Last-Event-Id");
        run->next = lastId.empty() ? 1 : std::stol(lastId) + 1;
        run->last = events;
        run->gapMs = number(exchange, "gap");
        exchange.startStream(200, fields);
        sendEvent(run);
    }

    void sendEvent(const std::shared_ptr<Run>& run)
    {
        if (run->isOver)
            return;
        if (run->next > run->last) {
            run->exchange->finishStream();
            end(run);
            return;
        }
        const std::string number = std::to_string(run->next++);
        run->exchange->write("id: " + number + "\ndata: part " + number + "\n\n");
        loop_.after(run->gapMs, [this, run] { sendEvent(run); });
    }

    void end(const std::shared_ptr<Run>& run)
    {
        if (run->isOver)
            return;
        run->isOver = true;
        --running_;
        loop_.after(0, [this] { startNext(); });
    }

    loop::EventLoop& loop_;
    std::string id_;
    std::ofstream record_;
    std::deque<http::Exchange::Ptr> waiting_;
    int running_ = 0;
};

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::signal(SIGPIPE, SIG_IGN);
    loop::EventLoop loop;
    Server server(loop);
    http::Limits limits;
    limits.bodyBytes = 16 * 1024 * 1024;
    http::Server listener(
        loop, absl::GetFlag(FLAGS_listen), limits, {},
        [&](const http::Exchange::Ptr& exchange) { server.handle(exchange); },
        [](const http::Exchange::Ptr& exchange, errors::ResultCode, const std::string&) {
            exchange->reply(400, { { "Not-Executed", "1" } }, "");
        });
    std::cout << "listening " << listener.address() << std::endl;
    loop.run();
    return 0;
}
