#include "AnswerText.h"
#include "Common.h"
#include "goldcrestcleat/observe/Digest.h"

#include <unistd.h>

#include <deque>
#include <list>
#include <map>
#include <memory>
#include <unordered_map>

namespace standins {

using nlohmann::json;

namespace {

    constexpr std::size_t DEFAULT_PARTS = 16;

    /// LRU cache of prompt prefixes at the granularity of messages, limited to a number of tokens.
    class PrefixCache {
    public:
        explicit PrefixCache(std::size_t maxTokens)
            : maxTokens_(maxTokens)
        {
        }

        /// Returns the number of tokens in the longest cached prefix of the messages, and marks it as recently used.
        std::size_t lookUp(const json& messages)
        {
            std::size_t warm = 0;
            std::uint64_t prefix = 0;
            for (const auto& message : messages) {
                prefix = extendHash(prefix, message);
                const auto cached = nodes_.find(prefix);
                if (cached == nodes_.end())
                    break;
                warm += cached->second->tokens;
                order_.splice(order_.begin(), order_, cached->second);
            }
            return warm;
        }

        void add(const json& messages)
        {
            std::uint64_t prefix = 0;
            for (const auto& message : messages) {
                prefix = extendHash(prefix, message);
                if (nodes_.count(prefix) > 0)
                    continue;
                order_.push_front({ prefix, tokenCount(message) });
                nodes_[prefix] = order_.begin();
                tokens_ += order_.front().tokens;
            }
            while (tokens_ > maxTokens_ && !order_.empty()) {
                tokens_ -= order_.back().tokens;
                nodes_.erase(order_.back().prefix);
                order_.pop_back();
            }
        }

    private:
        struct Node {
            std::uint64_t prefix;
            std::size_t tokens;
        };

        static std::uint64_t extendHash(std::uint64_t prefix, const json& message)
        {
            const std::string text = message.value("role", "") + "\n" + message.value("content", "");
            return XXH3_64bits_withSeed(text.data(), text.size(), prefix);
        }

        std::size_t maxTokens_;
        std::size_t tokens_ = 0;
        std::list<Node> order_;
        std::unordered_map<std::uint64_t, std::list<Node>::iterator> nodes_;
    };

    /// A completion in progress.
    struct Run {
        std::string attempt;
        http::Exchange::Ptr exchange;
        json messages;
        std::uint64_t conversation = 0;
        std::size_t position = 0;
        std::size_t parts = DEFAULT_PARTS;
        bool isStream = false;
        bool isFrozen = false;
        bool hasForeignId = false;
        bool isStarted = false;
    };

    /// A model engine: runs completions concurrently, caches prompt prefixes, streams answers, resumes at a position
    /// and reports its load with a lag.
    class Engine {
    public:
        Engine(loop::EventLoop& eventLoop, const std::string& truthPath, const json& switches)
            : loop_(eventLoop)
            , truth_(truthPath)
            , runId_(goldcrestcleat::observe::randomHex(4))
            , cache_(switches.value("cacheTokens", std::size_t { 100'000 }))
        {
            faults_.set({ { "tokenMs", 5 }, { "tokensPerStep", 1 }, { "prefillUsPerToken", 20 } });
            faults_.set(switches);
        }

        void handle(const http::Exchange::Ptr& exchange)
        {
            const std::string& path = exchange->path();
            if (path == "/load") {
                sendLoad(*exchange);
            } else if (path == "/control") {
                faults_.set(json::parse(exchange->body()));
                replyJson(*exchange, 200, { { "run", runId_ } });
            } else if (path == "/v1/cancel") {
                cancel(json::parse(exchange->body()).value("id", ""));
                replyJson(*exchange, 200, json::object());
            } else if (path == "/v1/chat/completions") {
                startRun(exchange);
            } else {
                replyJson(*exchange, 404, json::object());
            }
        }

    private:
        using RunPtr = std::shared_ptr<Run>;

        void sendLoad(http::Exchange& exchange)
        {
            const loop::TimeMs reportedAt = loop_.now() - faults_.number("reportLagMs");
            while (history_.size() > 1 && history_[1].first <= reportedAt)
                history_.pop_front();
            const int running = history_.empty() ? 0 : history_.front().second;
            replyJson(exchange, 200,
                { { "server_load", running }, { "state", faults_.number("leaving") ? "leaving" : "serving" },
                    { "run", runId_ } });
        }

        void startRun(const http::Exchange::Ptr& exchange)
        {
            const json body = json::parse(exchange->body());
            const auto run = std::make_shared<Run>();
            run->attempt = exchange->header("X-Request-Id");
            run->exchange = exchange;
            run->messages = body.at("messages");
            run->conversation = conversationHash(run->messages);
            run->parts = body.value("max_tokens", DEFAULT_PARTS);
            run->position = body.value("resume_position", std::size_t { 0 });
            run->isStream = body.value("stream", false);
            const std::string crashText = faults_.text("crashOn");
            if (!crashText.empty() && exchange->body().find(crashText) != std::string::npos) {
                truth_.write(loop_.now(), { { "event", "crash" }, { "attempt", run->attempt } });
                _exit(1);
            }
            const std::size_t warm = cache_.lookUp(run->messages);
            std::size_t prompt = 0;
            for (const auto& message : run->messages)
                prompt += tokenCount(message);
            cache_.add(run->messages);
            runs_[run->attempt] = run;
            recordRunning();
            truth_.write(loop_.now(),
                { { "event", "start" }, { "attempt", run->attempt }, { "prompt", prompt }, { "warm", warm },
                    { "turns", run->messages.size() }, { "last", tokenCount(run->messages.back()) },
                    { "text", run->messages.back().value("content", "").substr(0, 64) }, { "position", run->position },
                    { "running", runs_.size() } });
            exchange->onCallerDisconnected = [this, run] { endRun(run, "caller-gone"); };
            const auto prefillMs = static_cast<loop::TimeMs>(
                (prompt - warm) * static_cast<std::size_t>(faults_.number("prefillUsPerToken")) / 1000);
            loop_.after(prefillMs + faults_.number("delayMs"), [this, run] { step(run); });
        }

        void step(const RunPtr& run)
        {
            if (runs_.count(run->attempt) == 0)
                return;
            if (!run->isStarted) {
                run->isStarted = true;
                run->isFrozen = faults_.consume("freezeNext");
                run->hasForeignId = faults_.consume("crossNext");
                if (run->isStream && !run->isFrozen)
                    run->exchange->startStream(200, headers(*run, "text/event-stream"));
            }
            const auto freezeAt = faults_.number("freezeAfter");
            if (freezeAt > 0 && static_cast<long long>(run->position) >= freezeAt && faults_.consume("freezeStreams"))
                run->isFrozen = true;
            for (long long i = 0; i < faults_.number("tokensPerStep") && run->position < run->parts; ++i) {
                if (run->isStream && !run->isFrozen)
                    run->exchange->write(event(*run, answerPart(run->conversation, run->position), false));
                ++run->position;
            }
            const auto truncateAt = faults_.number("truncateAfter");
            if (truncateAt > 0 && static_cast<long long>(run->position) >= truncateAt
                && faults_.consume("truncateStreams")) {
                run->exchange->finishStream();
                endRun(run, "truncated");
                return;
            }
            if (run->position < run->parts) {
                loop_.after(faults_.number("tokenMs"), [this, run] { step(run); });
                return;
            }
            finish(run);
        }

        void finish(const RunPtr& run)
        {
            const std::string text = answerText(run->conversation, run->parts);
            json history = run->messages;
            history.push_back({ { "role", "assistant" }, { "content", text } });
            cache_.add(history);
            if (run->isFrozen)
                return; // counts as running until it is cancelled
            if (run->isStream) {
                run->exchange->write(event(*run, "", true));
                run->exchange->write("data: [DONE]\n\n");
                run->exchange->finishStream();
            } else {
                const json answer = { { "id", "chatcmpl-" + reportedId(*run) }, { "object", "chat.completion" },
                    { "choices",
                        json::array({ { { "index", 0 }, { "message", { { "role", "assistant" }, { "content", text } } },
                            { "finish_reason", "stop" } } }) } };
                replyJson(*run->exchange, 200, answer, headers(*run, ""));
            }
            endRun(run, "whole");
        }

        static std::string reportedId(const Run& run)
        {
            return run.hasForeignId ? "another-" + run.attempt.substr(8) : run.attempt;
        }

        http::Fields headers(const Run& run, const std::string& contentType) const
        {
            http::Fields fields = { { "X-Request-Id", reportedId(run) }, { "X-Run-Id", runId_ } };
            if (!contentType.empty())
                fields.emplace_back("Content-Type", contentType);
            if (run.position > 0)
                fields.emplace_back("X-Resume-Position", std::to_string(run.position));
            return fields;
        }

        static std::string event(const Run& run, const std::string& content, bool isLast)
        {
            json choice = { { "index", 0 }, { "delta", json::object() }, { "finish_reason", nullptr } };
            if (isLast)
                choice["finish_reason"] = "stop";
            else
                choice["delta"]["content"] = content;
            return "data: "
                + json({ { "id", "chatcmpl-" + reportedId(run) }, { "object", "chat.completion.chunk" },
                           { "choices", json::array({ choice }) } })
                      .dump()
                + "\n\n";
        }

        void cancel(const std::string& attempt)
        {
            const auto run = runs_.find(attempt);
            if (run != runs_.end())
                endRun(RunPtr(run->second), "cancelled");
        }

        void endRun(const RunPtr& run, const char* outcome)
        {
            if (runs_.erase(run->attempt) == 0)
                return;
            recordRunning();
            truth_.write(loop_.now(),
                { { "event", "end" }, { "attempt", run->attempt }, { "outcome", outcome },
                    { "position", run->position }, { "running", runs_.size() } });
        }

        void recordRunning() { history_.emplace_back(loop_.now(), static_cast<int>(runs_.size())); }

        loop::EventLoop& loop_;
        TruthLog truth_;
        Faults faults_;
        std::string runId_;
        PrefixCache cache_;
        std::map<std::string, RunPtr> runs_;
        std::deque<std::pair<loop::TimeMs, int>> history_;
    };

} // namespace

int runEngine(const std::string& address, const std::string& truthPath, const json& faults)
{
    loop::EventLoop eventLoop;
    Engine engine(eventLoop, truthPath, faults);
    return serve(eventLoop, address, [&](const http::Exchange::Ptr& exchange) { engine.handle(exchange); });
}

} // namespace standins
