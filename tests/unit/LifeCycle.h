#pragma once

#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/http/Server.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <map>

// The life cycle of a request with hooks of the test: callers and servers are listeners in this process.

namespace proofs {

using namespace goldcrestcleat;
using errors::ResultCode;
using forwarding::FailureKind;
using forwarding::NextServer;
using forwarding::ParsedEvent;
using forwarding::Placement;

constexpr loop::TimeMs LIMIT_MS = 2'000;
constexpr loop::TimeMs LONGEST_PLAY_MS = 20'000; // a request that has not ended by then never does
constexpr loop::TimeMs LOOK_MS = 10;

using Handler = std::function<void(const http::Exchange::Ptr&)>;

inline void answer(const http::Exchange::Ptr& exchange) { exchange->reply(200, {}, "done"); }
inline void rejectUnrun(const http::Exchange::Ptr& exchange) { exchange->reply(503, {}, ""); }
inline void fail(const http::Exchange::Ptr& exchange) { exchange->reply(500, {}, "failed"); }
inline void breakOff(const http::Exchange::Ptr& exchange) { exchange->abort(); }

/// What became of one request.
struct Story {
    std::vector<std::string> sentTo;
    std::map<std::string, int> held; // placements that are not released, by server
    std::optional<forwarding::TerminalError> ending;
    std::optional<forwarding::RequestSummary> summary;
    std::vector<FailureKind> failures;
    std::vector<std::string> suspected;
    bool wasPlacingStopped = false;
    int callerStatus = 0;
    int callerAnswers = 0; // that were whole
    bool isCallerDone = false;
    std::string callerBody;
};

class LifeCycle {
public:
    explicit LifeCycle(loop::EventLoop& eventLoop)
        : loop(eventLoop)
        , callers_(
              loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
              [this](const http::Exchange::Ptr& exchange) { onCall(exchange); },
              [](const http::Exchange::Ptr&, ResultCode, const std::string&) {})
    {
        plan.requestId = "r1";
        plan.timeoutMs = LIMIT_MS;
    }

    /// Adds a server; requests try servers in the order in which they were added.
    void addServer(const std::string& name, Handler handler)
    {
        servers_.push_back(std::make_unique<http::Server>(
            loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
            [this, handler = std::move(handler)](const http::Exchange::Ptr& exchange) {
                kept_.push_back(exchange);
                handler(exchange);
            },
            [](const http::Exchange::Ptr&, ResultCode, const std::string&) {}));
        order_.emplace_back(name, servers_.back()->address());
    }

    /// Adds a server that nobody listens for.
    void addDeadServer(const std::string& name)
    {
        // Bound, so that nobody else gets the port, and not listening.
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
        bound_.push_back(socket);
        order_.emplace_back(name, socket.address().toString());
    }

    /// Sends one request.
    void begin()
    {
        http::Call::Hooks hooks;
        hooks.onHead = [this](const Poco::Net::HTTPResponse& head) { story.callerStatus = head.getStatus(); };
        hooks.onBody = [this](std::string_view part) { story.callerBody.append(part); };
        hooks.onEnd = [this] {
            ++story.callerAnswers;
            story.isCallerDone = true;
        };
        hooks.onFailure = [this](http::FailurePoint, const std::string&) { story.isCallerDone = true; };
        call_ = caller_.start(callers_.address(), { "GET", "/", {}, "" }, std::move(hooks));
    }

    /// True when the request has ended and its caller has heard of it.
    bool hasEnded() const
    {
        return story.summary && (story.isCallerDone || story.summary->code == ResultCode::CallerGone);
    }

    /// Sends one request and returns what became of it.
    Story play(loop::TimeMs callerLeavesAfterMs = 0)
    {
        begin();
        if (callerLeavesAfterMs > 0)
            loop.after(callerLeavesAfterMs, [this] { call_->cancel(); });
        loop.every(LOOK_MS, [this] {
            if (hasEnded())
                loop.stop();
        });
        loop.after(LONGEST_PLAY_MS, [this] { loop.stop(); });
        loop.run();
        return story;
    }

    loop::EventLoop& loop;
    forwarding::Plan plan;
    Story story;
    NextServer judgement = NextServer::Another;
    int retries = 10; // budget
    bool placesLater = false; // never answers
    bool losesSuspects = false; // a server that is suspected is found to be lost

private:
    void onCall(const http::Exchange::Ptr& exchange)
    {
        std::make_shared<forwarding::ForwardedRequest>(env_, exchange, plan, hooksFor(exchange))->start();
    }

    forwarding::RequestHooks hooksFor(const http::Exchange::Ptr& exchange)
    {
        forwarding::RequestHooks hooks;
        hooks.place = [this](const forwarding::Progress& progress, const forwarding::RequestHooks::PlacedHook& done) {
            if (!placesLater)
                done(place(progress));
        };
        hooks.cancelPlacement = [this] { story.wasPlacingStopped = true; };
        hooks.release = [this](const Placement& placement) { --story.held[placement.serverId]; };
        hooks.record = [](const Placement&, upstreams::Outcome) {};
        hooks.assessFailure = [this](const forwarding::Failure& failure, const std::function<void(NextServer)>& done) {
            story.failures.push_back(failure.kind);
            done(judgement);
        };
        hooks.suspect = [this](const Placement& placement) {
            story.suspected.push_back(placement.serverId);
            if (losesSuspects)
                for (const auto& request : std::set<forwarding::ForwardedRequest::Ptr>(env_.openRequests))
                    request->onServerDown();
        };
        hooks.tryTakeRetry = [this] { return retries-- > 0; };
        hooks.encode = [this](const Placement& placement, const forwarding::Progress&) {
            story.sentTo.push_back(placement.serverId);
            return http::Request();
        };
        hooks.isOwnResponse = [](const Poco::Net::HTTPResponse&) { return true; };
        hooks.readHead = [](const Poco::Net::HTTPResponse& response) {
            forwarding::ResponseHead head;
            head.status = response.getStatus();
            head.isAuthentic = true;
            head.wasNotExecuted = head.status == 503;
            head.isFailure = head.status == 500;
            return head;
        };
        hooks.readEvent = [](const forwarding::StreamEvent& event, std::optional<std::uint64_t>) {
            const bool isEnd = event.bytes == "end\n\n";
            return ParsedEvent { isEnd ? ParsedEvent::Kind::Complete : ParsedEvent::Kind::Forward, event.bytes,
                event.id, true };
        };
        hooks.onCompleteResponse = [](const Placement&, const forwarding::ResponseHead&, const std::string&) {};
        hooks.refuse = [this, exchange](const forwarding::TerminalError& ending) {
            story.ending = ending;
            exchange->abort();
            return ending.code;
        };
        hooks.onFinished = [this](const forwarding::RequestSummary& summary) { story.summary = summary; };
        hooks.explain = [](const std::string&, const nlohmann::json&) {};
        return hooks;
    }

    forwarding::PlacementResult place(const forwarding::Progress& progress)
    {
        if (progress.tried.size() >= order_.size())
            return { std::nullopt, ResultCode::NoUpstream, "no server is left" };
        const auto& [name, address] = order_[progress.tried.size()];
        Placement placement;
        placement.server = routing::nodeKey(name);
        placement.serverId = name;
        placement.address = address;
        ++story.held[name];
        return { placement, ResultCode::Ok, "" };
    }

    http::Client caller_ { loop, http::Limits() };
    http::Call::Ptr call_;
    http::Client client_ { loop, http::Limits() };
    observe::Metrics metrics_;
    admission::Quarantine quarantine_;
    forwarding::Environment env_ { loop, client_, metrics_, quarantine_, {}, nullptr };
    std::vector<std::unique_ptr<http::Server>> servers_;
    std::vector<std::pair<std::string, std::string>> order_; // name and address
    std::vector<Poco::Net::ServerSocket> bound_;
    std::vector<http::Exchange::Ptr> kept_;
    http::Server callers_;
};

} // namespace proofs
