#include "Common.h"
#include "goldcrestcleat/observe/Digest.h"

namespace standins {

using nlohmann::json;

namespace {

    /// A rota or booking service: GET reads, POST runs an action that is not idempotent.
    class Service {
    public:
        Service(loop::EventLoop& eventLoop, const std::string& truthPath, const json& switches)
            : loop_(eventLoop)
            , truth_(truthPath)
            , runId_(goldcrestcleat::observe::randomHex(4))
        {
            faults_.set(switches);
        }

        void handle(const http::Exchange::Ptr& exchange)
        {
            if (exchange->path() == "/health") {
                replyJson(*exchange, 200,
                    { { "state", faults_.number("leaving") ? "leaving" : "serving" }, { "run", runId_ } });
                return;
            }
            if (exchange->path() == "/control") {
                faults_.set(json::parse(exchange->body()));
                replyJson(*exchange, 200, json::object());
                return;
            }
            const bool isAction = exchange->head().getMethod() == "POST";
            truth_.write(loop_.now(),
                { { "event", isAction ? "run" : "read" }, { "path", exchange->path() },
                    { "key", exchange->header("Idempotency-Key") }, { "attempt", exchange->header("X-Request-Id") },
                    { "workspace", exchange->header("X-Workspace") }, { "body", exchange->body() } });
            ++count_;
            loop_.after(faults_.number("delayMs"), [this, exchange, number = count_] { answer(exchange, number); });
        }

    private:
        void answer(const http::Exchange::Ptr& exchange, int number)
        {
            if (faults_.consume("freezeNext"))
                return;
            if (faults_.consume("dropReplyNext")) {
                exchange->abort();
                return;
            }
            std::string attempt = exchange->header("X-Request-Id");
            if (faults_.consume("binaryNext")) {
                exchange->reply(200, { { "X-Request-Id", attempt }, { "Content-Type", "application/octet-stream" } },
                    "\xff\xfe binary");
                return;
            }
            if (faults_.consume("crossNext"))
                attempt = "another-" + attempt;
            const json body = { { "path", exchange->path() }, { "number", number }, { "echo", exchange->body() } };
            replyJson(*exchange, 200, body, { { "X-Request-Id", attempt } });
        }

        loop::EventLoop& loop_;
        TruthLog truth_;
        Faults faults_;
        std::string runId_;
        int count_ = 0;
    };

} // namespace

int runService(const std::string& address, const std::string& truthPath, const json& faults)
{
    loop::EventLoop eventLoop;
    Service service(eventLoop, truthPath, faults);
    return serve(eventLoop, address, [&](const http::Exchange::Ptr& exchange) { service.handle(exchange); });
}

} // namespace standins
