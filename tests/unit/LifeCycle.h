#pragma once

#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/http/Server.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <map>

// Test fixture for ForwardedRequest with hooks of its own. Callers and servers are sockets in this process.

namespace proofs {

using namespace goldcrestcleat;
using errors::ResultCode;
using forwarding::FailureKind;
using forwarding::NextServer;
using forwarding::ParsedEvent;
using forwarding::Placement;

constexpr loop::TimeMs LIMIT_MS = 2'000;
constexpr loop::TimeMs MAX_RUN_MS = 20'000; // a request that takes longer is considered stuck
constexpr loop::TimeMs POLL_PERIOD_MS = 10;

using Handler = std::function<void(const http::Exchange::Ptr&)>;

inline void answer(const http::Exchange::Ptr& exchange) { exchange->reply(200, {}, "done"); }
inline void rejectUnexecuted(const http::Exchange::Ptr& exchange) { exchange->reply(503, {}, ""); }
inline void fail(const http::Exchange::Ptr& exchange) { exchange->reply(500, {}, "failed"); }
inline void breakOff(const http::Exchange::Ptr& exchange) { exchange->abort(); }

/// Recorded course of one request.
struct Trace {
    std::vector<std::string> sentTo;
    std::map<std::string, int> unreleased; // unreleased placements by server
    std::optional<forwarding::TerminalError> error;
    std::optional<forwarding::RequestSummary> summary;
    std::vector<FailureKind> failures;
    std::vector<std::string> suspected;
    bool wasPlacementCancelled = false;
    int callerStatus = 0;
    int completeResponses = 0; // received by the caller
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

    /// Adds a server. Requests try the servers in the order in which they were added.
    void addServer(const std::string& name, Handler handler)
    {
        servers_.push_back(std::make_unique<http::Server>(
            loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
            [this, handler = std::move(handler)](const http::Exchange::Ptr& exchange) {
                openExchanges_.push_back(exchange);
                handler(exchange);
            },
            [](const http::Exchange::Ptr&, ResultCode, const std::string&) {}));
        order_.emplace_back(name, servers_.back()->address());
    }

    /// Adds a server whose port refuses connections.
    void addUnreachableServer(const std::string& name)
    {
        // Bound without listening, so that no other socket gets the port.
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
        bound_.push_back(socket);
        order_.emplace_back(name, socket.address().toString());
    }

    /// Sends one request.
    void begin()
    {
        http::Call::Hooks hooks;
        hooks.onHead = [this](const Poco::Net::HTTPResponse& head) { trace.callerStatus = head.getStatus(); };
        hooks.onBody = [this](std::string_view part) { trace.callerBody.append(part); };
        hooks.onEnd = [this] {
            ++trace.completeResponses;
            trace.isCallerDone = true;
        };
        hooks.onFailure = [this](http::FailurePoint, const std::string&) { trace.isCallerDone = true; };
        call_ = caller_.start(callers_.address(), { "GET", "/", {}, "" }, std::move(hooks));
    }

    /// Returns true if the request has ended and its caller has been notified.
    bool hasEnded() const
    {
        return trace.summary && (trace.isCallerDone || trace.summary->code == ResultCode::CallerGone);
    }

    /// Sends one request and returns its course after it has ended.
    Trace run(loop::TimeMs callerDisconnectsAfterMs = 0)
    {
        begin();
        if (callerDisconnectsAfterMs > 0)
            loop.after(callerDisconnectsAfterMs, [this] { call_->cancel(); });
        loop.every(POLL_PERIOD_MS, [this] {
            if (hasEnded())
                loop.stop();
        });
        loop.after(MAX_RUN_MS, [this] { loop.stop(); });
        loop.run();
        return trace;
    }

    loop::EventLoop& loop;
    forwarding::Plan plan;
    Trace trace;
    NextServer nextServer = NextServer::Another; // after a failed attempt
    int retries = 10; // left in the budget
    bool neverPlaces = false; // `place` does not call back
    bool findsSuspectsDown = false; // a suspected server is found to be unreachable

private:
    void onCall(const http::Exchange::Ptr& exchange)
    {
        std::make_shared<forwarding::ForwardedRequest>(env_, exchange, plan, hooksFor(exchange))->start();
    }

    forwarding::RequestHooks hooksFor(const http::Exchange::Ptr& exchange)
    {
        forwarding::RequestHooks hooks;
        hooks.place = [this](const forwarding::Progress& progress, const forwarding::RequestHooks::PlacedHook& done) {
            if (!neverPlaces)
                done(place(progress));
        };
        hooks.cancelPlacement = [this] { trace.wasPlacementCancelled = true; };
        hooks.release = [this](const Placement& placement) { --trace.unreleased[placement.serverId]; };
        hooks.record = [](const Placement&, upstreams::Outcome) {};
        hooks.assessFailure = [this](const forwarding::Failure& failure, const std::function<void(NextServer)>& done) {
            trace.failures.push_back(failure.kind);
            done(nextServer);
        };
        hooks.suspect = [this](const Placement& placement) {
            trace.suspected.push_back(placement.serverId);
            if (findsSuspectsDown)
                for (const auto& request : std::set<forwarding::ForwardedRequest::Ptr>(env_.openRequests))
                    request->onServerDown();
        };
        hooks.tryTakeRetry = [this] { return retries-- > 0; };
        hooks.encode = [this](const Placement& placement, const forwarding::Progress&) {
            trace.sentTo.push_back(placement.serverId);
            return http::Request();
        };
        hooks.isOwn = [](const Poco::Net::HTTPResponse&) { return true; };
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
        hooks.refuse = [this, exchange](const forwarding::TerminalError& error) {
            trace.error = error;
            exchange->abort();
            return error.code;
        };
        hooks.onFinished = [this](const forwarding::RequestSummary& summary) { trace.summary = summary; };
        hooks.explain = [](const std::string&, const nlohmann::json&) {};
        return hooks;
    }

    forwarding::PlacementResult place(const forwarding::Progress& progress)
    {
        if (progress.tried.size() >= order_.size())
            return { std::nullopt, ResultCode::NoUpstream, "all servers have been tried" };
        const auto& [name, address] = order_[progress.tried.size()];
        Placement placement;
        placement.server = routing::nodeKey(name);
        placement.serverId = name;
        placement.address = address;
        ++trace.unreleased[name];
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
    std::vector<http::Exchange::Ptr> openExchanges_;
    http::Server callers_;
};

} // namespace proofs
