#pragma once

#include "bench/Measures.h"
#include "bench/Trace.h"
#include "goldcrestcleat/forwarding/EventReader.h"
#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/requests/CompletionEvent.h"
#include "goldcrestcleat/routing/LoadView.h"
#include "harness/Rig.h"
#include "standins/AnswerText.h"

#include <map>
#include <random>

namespace bench {

namespace harness = goldcrestcleat::harness;
namespace http = goldcrestcleat::http;
namespace loop = goldcrestcleat::loop;
namespace requests = goldcrestcleat::requests;
namespace routing = goldcrestcleat::routing;
using nlohmann::json;

/// Totals over all requests.
struct Outcome {
    int completed = 0;
    int wrong = 0; ///< complete but wrong answers
    int failed = 0; ///< not answered completely after all attempts
    int failedAttempts = 0; ///< attempts that were rejected or interrupted
    std::vector<double> firstPartMs;
};

/// The state of a chat at its caller.
struct ChatState {
    json history = json::array();
    std::string affinityToken;
    std::vector<std::string> addresses;
    bool isBusy = false;
    std::vector<Turn> waiting;
};

/// Sends the requests of a trace to the fleet, or directly to the engines by a simple policy.
class TracePlayer {
public:
    static constexpr int ENGINES = 20;
    static constexpr int DAEMONS = 5;

    TracePlayer(harness::Rig& rig, std::vector<Turn> turns, std::string policy, std::uint64_t seed)
        : rig_(rig)
        , turns_(std::move(turns))
        , policy_(std::move(policy))
        , random_(seed)
        , client_(loop_, { 16 * 1024, 64 * 1024 * 1024 })
    {
        for (int e = 0; e < ENGINES; ++e) {
            keys_.push_back(routing::nodeKey(harness::Rig::engineId(e)));
            for (auto& view : views_)
                view.putEngine({ keys_.back(), "assistant", 1000, true });
        }
    }

    Outcome play()
    {
        startedAt_ = loop_.now();
        for (const Turn& turn : turns_)
            loop_.after(turn.at, [this, turn] { arrive(turn); });
        if (policy_ != "fleet")
            loop_.every(REPORT_PERIOD_MS, [this] { pollLoads(); });
        loop_.after(turns_.back().at + 20'000, [this] { loop_.stop(); });
        loop_.every(50, [this] {
            if (finished_ == static_cast<int>(turns_.size()))
                loop_.stop();
        });
        loop_.run();
        outcome_.failed += static_cast<int>(turns_.size()) - finished_;
        return outcome_;
    }

    loop::EventLoop& eventLoop() { return loop_; }
    TimeMs startedAt() const { return startedAt_; }

private:
    static constexpr int MAX_ATTEMPTS = 4;
    static constexpr TimeMs RETRY_MS = 200;
    static constexpr TimeMs REPORT_PERIOD_MS = 200; // at which the simple policies poll the loads of the engines
    static constexpr double STALE_ENTRY_SHARE = 0.05;

    struct Job {
        Turn turn;
        json messages;
        int attempts = 0;
        TimeMs arrivedAt = 0;
        int engine = -1;
        int viewIndex = 0;
        http::Call::Ptr call;
        goldcrestcleat::forwarding::EventReader events;
        std::string text;
        std::string error;
        int status = 0;
        bool isComplete = false;
        std::string affinityToken;
    };
    using JobPtr = std::shared_ptr<Job>;

    void arrive(const Turn& turn)
    {
        ChatState& chat = chats_[turn.chat];
        if (chat.isBusy) {
            chat.waiting.push_back(turn);
            return;
        }
        chat.isBusy = true;
        const auto job = std::make_shared<Job>();
        job->turn = turn;
        job->arrivedAt = loop_.now();
        job->messages = chat.history;
        const std::string name = "chat " + std::to_string(turn.chat) + " turn " + std::to_string(turn.number) + " ";
        std::string text = name;
        while (text.size() < static_cast<std::size_t>(turn.userTokens) * 4)
            text += "history ";
        job->messages.push_back({ { "role", "user" }, { "content", text } });
        if (policy_ == "fleet") // for each turn, since real pauses are longer than the time to live of entry addresses
            requestEntries(job);
        else
            send(job);
    }

    void requestEntries(const JobPtr& job)
    {
        http::Request request;
        request.target = "/v1/entries?workspace=" + harness::Rig::workspaceId(job->turn.workspace)
            + "&chat=" + std::to_string(job->turn.chat) + "&hint=" + chats_[job->turn.chat].affinityToken;
        const auto body = std::make_shared<std::string>();
        http::Call::Hooks hooks;
        hooks.onBody = [body](std::string_view part) { body->append(part); };
        hooks.onEnd = [this, job, body] {
            const json answer = json::parse(*body, nullptr, false);
            chats_[job->turn.chat].addresses.clear();
            for (const auto& entry : answer.value("entries", json::array()))
                chats_[job->turn.chat].addresses.push_back(entry["address"]);
            send(job);
        };
        hooks.onFailure = [this, job](http::FailurePoint, const std::string&) { send(job); };
        job->call = client_.start(rig_.callerAddress(static_cast<int>(random_() % DAEMONS)), request, std::move(hooks));
    }

    void send(const JobPtr& job)
    {
        ++job->attempts;
        job->events = {};
        job->text.clear();
        job->error.clear();
        job->isComplete = false;
        http::Request request;
        request.method = "POST";
        request.target = "/v1/chat/completions";
        request.body
            = json({ { "messages", job->messages }, { "stream", true }, { "max_tokens", job->turn.parts } }).dump();
        const std::string address = policy_ == "fleet" ? fleetAddress(*job, request) : engineAddress(*job, request);
        http::Call::Hooks hooks;
        hooks.onHead = [job](const Poco::Net::HTTPResponse& head) {
            job->status = head.getStatus();
            job->affinityToken = head.get("X-Hint", "");
        };
        hooks.onBody = [this, job](std::string_view part) { onBody(job, part); };
        hooks.onEnd = [this, job] { onEnd(job); };
        hooks.onFailure = [this, job](http::FailurePoint, const std::string&) { onEnd(job); };
        job->call = client_.start(address, request, std::move(hooks));
    }

    std::string fleetAddress(const Job& job, http::Request& request)
    {
        const ChatState& chat = chats_[job.turn.chat];
        request.fields = { { "X-Workspace", harness::Rig::workspaceId(job.turn.workspace) },
            { "Authorization", "Bearer " + harness::Rig::workspaceKey(job.turn.workspace) },
            { "X-Chat", std::to_string(job.turn.chat) }, { "X-Profile", kinds()[job.turn.kind].name } };
        if (!chat.affinityToken.empty())
            request.fields.emplace_back("X-Hint", chat.affinityToken);
        const bool isStale = std::uniform_real_distribution<>(0, 1)(random_) < STALE_ENTRY_SHARE;
        if (isStale || chat.addresses.empty())
            return rig_.callerAddress(static_cast<int>(random_() % DAEMONS));
        return chat.addresses[static_cast<std::size_t>(job.attempts - 1) % chat.addresses.size()];
    }

    std::string engineAddress(Job& job, http::Request& request)
    {
        request.fields = { { "X-Request-Id",
            std::to_string(job.turn.chat) + "-" + std::to_string(job.turn.number) + "-"
                + std::to_string(job.attempts) } };
        job.viewIndex = job.turn.chat % DAEMONS;
        auto& view = views_[job.viewIndex];
        const auto hashed = view.hashedEngine("assistant", routing::chatKey("ws", std::to_string(job.turn.chat)));
        routing::NodeKey chosen = hashed;
        if (policy_ == "random")
            chosen = keys_[random_() % ENGINES];
        const bool isFull = view.find(hashed)->load + 1 > LOAD_BOUND * view.mean("assistant") + 1;
        if (policy_ == "least-loaded" || (policy_ == "bounded-hashing" && isFull))
            chosen = view.leastLoaded("assistant", {}, ENGINES, random_);
        job.engine = static_cast<int>(std::find(keys_.begin(), keys_.end(), chosen) - keys_.begin());
        view.setLoad(chosen, view.find(chosen)->load + 1, loop_.now());
        return rig_.engineAddress(job.engine);
    }

    void onBody(const JobPtr& job, std::string_view part)
    {
        if (job->status != 200) {
            job->error.append(part);
            return;
        }
        job->events.feed(part, [&](const goldcrestcleat::forwarding::StreamEvent& streamEvent) {
            const auto data = goldcrestcleat::forwarding::eventData(streamEvent.bytes);
            if (data.empty())
                return true;
            const auto event = requests::classifyEvent(data);
            if (event.isDone)
                job->isComplete = true;
            if (!event.hasContent)
                return true;
            if (job->text.empty())
                outcome_.firstPartMs.push_back(static_cast<double>(loop_.now() - job->arrivedAt));
            job->text += json::parse(event.data)["choices"][0]["delta"]["content"].get<std::string>();
            return true;
        });
    }

    void onEnd(const JobPtr& job)
    {
        if (policy_ != "fleet") {
            auto& view = views_[job->viewIndex];
            const auto key = keys_[static_cast<std::size_t>(job->engine)];
            view.setLoad(key, std::max(0, view.find(key)->load - 1), loop_.now());
        }
        if (!job->isComplete && job->attempts < MAX_ATTEMPTS) {
            ++outcome_.failedAttempts;
            loop_.after(RETRY_MS, [this, job] { send(job); });
            return;
        }
        ++finished_;
        ChatState& chat = chats_[job->turn.chat];
        if (job->isComplete) {
            const bool isCorrect = job->text
                == standins::answerText(
                    standins::conversationHash(job->messages), static_cast<std::size_t>(job->turn.parts));
            ++(isCorrect ? outcome_.completed : outcome_.wrong);
            chat.history = job->messages;
            chat.history.push_back({ { "role", "assistant" }, { "content", job->text } });
            chat.affinityToken = job->affinityToken;
        } else {
            ++outcome_.failed;
        }
        chat.isBusy = false;
        if (chat.waiting.empty())
            return;
        const Turn next = chat.waiting.front();
        chat.waiting.erase(chat.waiting.begin());
        arrive(next);
    }

    /// Updates the load views of the simple policies from the delayed reports of the engines.
    void pollLoads()
    {
        for (int e = 0; e < ENGINES; ++e) {
            http::Request request;
            request.target = "/load";
            const auto body = std::make_shared<std::string>();
            http::Call::Hooks hooks;
            hooks.onBody = [body](std::string_view part) { body->append(part); };
            hooks.onEnd = [this, e, body] {
                const json report = json::parse(*body, nullptr, false);
                for (auto& view : views_)
                    view.setLoad(keys_[static_cast<std::size_t>(e)], report.value("server_load", 0), loop_.now());
                polls_.erase(e);
            };
            polls_[e] = client_.start(rig_.engineAddress(e), request, std::move(hooks));
        }
    }

    harness::Rig& rig_;
    std::vector<Turn> turns_;
    std::string policy_;
    std::mt19937_64 random_;
    loop::EventLoop loop_;
    http::Client client_;
    std::map<int, ChatState> chats_;
    std::map<int, http::Call::Ptr> polls_;
    std::vector<routing::NodeKey> keys_;
    std::vector<routing::LoadView> views_ = std::vector<routing::LoadView>(DAEMONS, routing::LoadView(0));
    Outcome outcome_;
    int finished_ = 0;
    TimeMs startedAt_ = 0;
};

} // namespace bench
