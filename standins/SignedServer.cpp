#include "UnframedServer.h"

#include <cstdlib>

namespace standins {

using nlohmann::json;

namespace {

    constexpr loop::TimeMs EVENT_GAP_MS = 10;

    constexpr const char* CRASHING_PART = "dead";
    constexpr loop::TimeMs CRASH_DELAY_MS = 40;

    /// A server of the users' platform: signs its answers, streams events with ids, and rejects requests that expect
    /// another instance.
    ///
    /// A path under `/chat/` or `/talk/` ends with the number of events of its stream. `gapMs` and `eventsPerStep` set
    /// the rate of the events. `unframed`, which is fixed when the server starts, makes all bodies end with their
    /// connection. `leaving` makes each response announce that the server leaves. A stream for a prompt with the part
    /// CRASHING_PART crashes the server shortly after the head of the answer.
    ///
    /// `halfNext` makes an answer that is no stream stop in its middle. Health checks and reports are answered without
    /// a run.
    template <typename Exchange> class SignedServer {
    public:
        SignedServer(loop::EventLoop& eventLoop, const std::string& truthPath, const json& switches)
            : loop_(eventLoop)
            , truth_(truthPath)
            , id_(switches.value("id", "server"))
        {
            faults_.set(switches);
        }

        void handle(const typename Exchange::Ptr& exchange)
        {
            if (exchange->path() == "/control") {
                faults_.set(json::parse(exchange->body()));
                exchange->reply(200, { { "Content-Type", "application/json" } }, json::object().dump());
                return;
            }
            const std::string expected = exchange->header("Expect-Instance");
            if (!expected.empty() && expected != id_) {
                exchange->reply(421, { { "Instance-Id", id_ } }, "");
                return;
            }
            if (exchange->path() == "/health" || exchange->path() == "/goldcrestcleat/report") {
                exchange->reply(200, { { "Instance-Id", id_ } }, "");
                return;
            }
            if (faults_.consume("shedNext")) {
                shed(*exchange);
                return;
            }
            run(exchange);
        }

    private:
        struct Stream {
            typename Exchange::Ptr exchange;
            std::uint64_t next = 1;
            std::uint64_t last = 0;
            bool isOver = false;
        };

        void record(const char* event, const Exchange& exchange)
        {
            truth_.write(loop_.now(),
                { { "event", event }, { "id", exchange.header("Request-Id") }, { "path", exchange.path() },
                    { "target", exchange.head().getURI() }, { "method", exchange.head().getMethod() },
                    { "body", exchange.body() }, { "workspace", exchange.header("Tenant") },
                    { "key", exchange.header("Api-Key") }, { "deadline", exchange.header("Request-Deadline") },
                    { "hold", exchange.header("Hold") }, { "lastEvent", exchange.header("Last-Event-Id") },
                    { "fetch", exchange.header("Kv-Fetch") }, { "priority", exchange.header("Request-Priority") },
                    { "prompt", exchange.header("Prompt-Prefix") } });
        }

        /// Rejects a request; `backOffS` makes the server want no others for so many seconds.
        void shed(Exchange& exchange)
        {
            record("shed", exchange);
            http::Fields fields = { { "Not-Executed", "1" }, { "Request-Id", exchange.header("Request-Id") } };
            if (faults_.number("backOffS") > 0)
                fields.emplace_back("Retry-After", std::to_string(faults_.number("backOffS")));
            exchange.reply(503, fields, "");
        }

        void run(const typename Exchange::Ptr& exchange)
        {
            record("run", *exchange);
            if (exchange->path().find("/poison") != std::string::npos || faults_.consume("crashNext"))
                std::_Exit(1);
            exchange->onCallerDisconnected = [this, weak = std::weak_ptr<Exchange>(exchange)] {
                if (const auto disconnected = weak.lock())
                    record("gone", *disconnected);
            };
            if (faults_.consume("hangNext")) {
                unanswered_.push_back(exchange);
                return;
            }
            const bool isStream = exchange->path().rfind("/chat/", 0) == 0 || exchange->path().rfind("/talk/", 0) == 0;
            loop_.after(faults_.number("delayMs"), [this, exchange, isStream] {
                if (isStream)
                    beginStream(exchange);
                else
                    answer(exchange);
            });
        }

        http::Fields answerFields(const Exchange& exchange)
        {
            std::string requestId = exchange.header("Request-Id");
            if (faults_.consume("crossNext"))
                requestId = "another";
            http::Fields fields = { { "Request-Id", requestId }, { "Content-Type", "text/plain" } };
            if (!faults_.consume("unsignedNext"))
                fields.emplace_back("Server-Seal", "seal-of-" + id_);
            if (faults_.number("leaving") > 0)
                fields.emplace_back("Server-Leaving", "1");
            return fields;
        }

        void answer(const typename Exchange::Ptr& exchange)
        {
            if (faults_.consume("dropReplyNext")) {
                exchange->abort();
                return;
            }
            const int status = faults_.consume("errorNext") ? 500 : 200;
            const std::string text = "answer to " + exchange->header("Request-Id");
            if (faults_.consume("halfNext")) {
                exchange->startStream(status, answerFields(*exchange));
                exchange->write(text.substr(0, text.size() / 2));
                unanswered_.push_back(exchange);
                return;
            }
            exchange->reply(status, answerFields(*exchange), text);
        }

        void beginStream(const typename Exchange::Ptr& exchange)
        {
            const std::string& path = exchange->path();
            const std::string lastEventId = exchange->header("Last-Event-Id");
            const auto stream = std::make_shared<Stream>();
            stream->exchange = exchange;
            stream->next = lastEventId.empty() ? 1 : std::stoull(lastEventId) + 1;
            stream->last = std::stoull("0" + path.substr(path.rfind('/') + 1));
            exchange->startStream(200, answerFields(*exchange));
            if (exchange->header("Prompt-Prefix").find(std::string(CRASHING_PART) + ":") != std::string::npos) {
                loop_.after(CRASH_DELAY_MS, [] { std::_Exit(1); });
                return;
            }
            sendEvent(stream);
        }

        void sendEvent(const std::shared_ptr<Stream>& stream)
        {
            auto& exchange = *stream->exchange;
            if (stream->next > stream->last) {
                exchange.finishStream();
                record("done", exchange);
                return;
            }
            const std::string event = "id: " + std::to_string(stream->next) + "\ndata: part "
                + std::to_string(stream->next) + " of " + exchange.path() + "\n\n";
            if (stream->next > 2 && faults_.consume("truncateNext")) {
                exchange.write(event.substr(0, event.size() / 2));
                loop_.after(1, [stream] { stream->exchange->abort(); });
                return;
            }
            if (stream->next > 2 && faults_.consume("stallNext")) {
                unanswered_.push_back(stream->exchange);
                return;
            }
            exchange.write(event);
            ++stream->next;
            const auto perStep = static_cast<std::uint64_t>(std::max<loop::TimeMs>(faults_.number("eventsPerStep"), 1));
            if (stream->next % perStep != 0) {
                sendEvent(stream);
                return;
            }
            const auto gapMs = std::max<loop::TimeMs>(faults_.number("gapMs"), EVENT_GAP_MS);
            loop_.after(gapMs, [this, stream] { sendEvent(stream); });
        }

        loop::EventLoop& loop_;
        TruthLog truth_;
        Faults faults_;
        std::string id_;
        std::vector<typename Exchange::Ptr> unanswered_; // kept open without an answer
    };

} // namespace

int runSignedServer(const std::string& address, const std::string& truthPath, const json& faults)
{
    loop::EventLoop eventLoop;
    if (faults.value("unframed", 0) != 0) {
        SignedServer<UnframedExchange> server(eventLoop, truthPath, faults);
        return serveUnframed(
            eventLoop, address, [&](const UnframedExchange::Ptr& exchange) { server.handle(exchange); });
    }
    SignedServer<http::Exchange> server(eventLoop, truthPath, faults);
    return serve(eventLoop, address, [&](const http::Exchange::Ptr& exchange) { server.handle(exchange); });
}

} // namespace standins
