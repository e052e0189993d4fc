#pragma once

#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/http/Server.h"

#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <map>

namespace testing {

using namespace goldcrestcleat;
using errors::ResultCode;
using forwarding::FailureKind;
using forwarding::NextServer;
using forwarding::ParsedEvent;
using forwarding::Placement;

constexpr loop::TimeMs LIMIT_MS = 2'000;
constexpr loop::TimeMs RUN_TIMEOUT_MS = 20'000; // a request that has not ended by then counts as stuck

using Handler = std::function<void(const http::Exchange::Ptr&)>;

inline void answer(const http::Exchange::Ptr& exchange) { exchange->reply(200, {}, "done"); }
inline void rejectUnexecuted(const http::Exchange::Ptr& exchange) { exchange->reply(503, {}, ""); }
inline void fail(const http::Exchange::Ptr& exchange) { exchange->reply(500, {}, "failed"); }
inline void abortConnection(const http::Exchange::Ptr& exchange) { exchange->abort(); }

/// What the hooks and the caller observed of one request.
struct RequestResult {
    std::vector<std::string> sentTo;
    std::map<std::string, int> heldPlacements; // number of unreleased placements by server
    std::optional<forwarding::TerminalError> error;
    std::optional<forwarding::RequestSummary> summary;
    std::vector<FailureKind> failures;
    std::vector<std::string> suspected;
    bool wasPlacingStopped = false;
    int callerStatus = 0;
    int completeAnswers = 0; // number that the caller received
    bool isCallerDone = false;
    std::string callerBody;
};

/// Runs a `ForwardedRequest` with hooks of the test; the caller and the servers use sockets of this process.
class RequestFixture {
public:
    explicit RequestFixture(loop::EventLoop& eventLoop)
        : loop(eventLoop)
        , callerListener_(
              loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
              [this](const http::Exchange::Ptr& exchange) { onRequest(exchange); },
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
                exchanges_.push_back(exchange);
                handler(exchange);
            },
            [](const http::Exchange::Ptr&, ResultCode, const std::string&) {}));
        serverAddresses_.emplace_back(name, servers_.back()->address());
    }

    /// Adds a server whose port refuses connections.
    void addClosedPort(const std::string& name)
    {
        // The socket is bound, which reserves the port, but does not listen.
        Poco::Net::ServerSocket socket;
        socket.bind(Poco::Net::SocketAddress("127.0.0.1:0"), false);
        closedPorts_.push_back(socket);
        serverAddresses_.emplace_back(name, socket.address().toString());
    }

    /// Sends one request.
    void begin()
    {
        http::Call::Hooks hooks;
        hooks.onHead = [this](const Poco::Net::HTTPResponse& head) { result.callerStatus = head.getStatus(); };
        hooks.onBody = [this](std::string_view part) { result.callerBody.append(part); };
        hooks.onEnd = [this] {
            ++result.completeAnswers;
            result.isCallerDone = true;
        };
        hooks.onFailure = [this](http::FailurePoint, const std::string&) { result.isCallerDone = true; };
        callerCall_ = callerClient_.start(callerListener_.address(), { "GET", "/", {}, "" }, std::move(hooks));
    }

    /// Returns whether the request has ended and its caller has received the end.
    bool hasEnded() const
    {
        return result.summary && (result.isCallerDone || result.summary->code == ResultCode::CallerGone);
    }

    /// Sends one request and runs the loop until it has ended or timed out.
    RequestResult run()
    {
        return runUntil([this] { return hasEnded(); });
    }

    /// Sends one request and runs the loop until a condition holds or the run times out.
    RequestResult runUntil(const std::function<bool()>& condition)
    {
        begin();
        bool isTimedOut = false;
        loop.after(RUN_TIMEOUT_MS, [&] { isTimedOut = true; });
        while (!condition() && !isTimedOut)
            loop.runOnce();
        return result;
    }

    /// Closes the connection of the caller.
    void disconnectCaller() { callerCall_->cancel(); }

    loop::EventLoop& loop;
    forwarding::Plan plan;
    RequestResult result;
    NextServer nextServer = NextServer::Another;
    int retryBudget = 10;
    bool leavesPlacementPending = false; // the placement never completes, and the caller leaves
    bool areServersRunning = true; // when an answer ends with its connection
    bool areSuspectsUnavailable = false; // a suspected server is found to be unavailable
    std::int64_t unixMs = 1'700'000'000'000; // time of the quarantine
    admission::Quarantine quarantine { "vm1", [this] { return unixMs; } };

private:
    http::Client serverClient_ { loop, http::Limits() };
    observe::Metrics metrics_;

public:
    forwarding::Environment environment { loop, serverClient_, metrics_, quarantine, {}, nullptr };

private:
    void onRequest(const http::Exchange::Ptr& exchange)
    {
        std::make_shared<forwarding::ForwardedRequest>(environment, exchange, plan, hooksFor(exchange))->start();
    }

    forwarding::RequestHooks hooksFor(const http::Exchange::Ptr& exchange)
    {
        forwarding::RequestHooks hooks;
        hooks.place = [this](const forwarding::Progress& progress, const forwarding::RequestHooks::PlacedHook& done) {
            if (leavesPlacementPending)
                disconnectCaller();
            else
                done(place(progress));
        };
        hooks.cancelPlacement = [this] { result.wasPlacingStopped = true; };
        hooks.release = [this](const Placement& placement) { --result.heldPlacements[placement.serverId]; };
        hooks.recordOutcome = [](const Placement&, upstreams::Outcome) {};
        hooks.assessFailure = [this](const forwarding::Failure& failure, const std::function<void(NextServer)>& done) {
            result.failures.push_back(failure.kind);
            done(nextServer);
        };
        hooks.suspect = [this](const Placement& placement) {
            result.suspected.push_back(placement.serverId);
            if (areSuspectsUnavailable)
                for (const auto& request : std::set<forwarding::ForwardedRequest::Ptr>(environment.openRequests))
                    request->onServerDown();
        };
        hooks.confirmRunning
            = [this](const Placement&, const std::function<void(bool)>& done) { done(areServersRunning); };
        hooks.tryTakeRetry = [this] { return retryBudget-- > 0; };
        hooks.encode = [this](const Placement& placement, const forwarding::Progress&) {
            result.sentTo.push_back(placement.serverId);
            return http::Request();
        };
        hooks.isOwnResponse = [](const Poco::Net::HTTPResponse&) { return true; };
        hooks.readHead = [](const Poco::Net::HTTPResponse& response) {
            forwarding::ResponseHead head;
            head.status = response.getStatus();
            head.isAuthentic = true;
            head.wasNotExecuted = head.status == 503;
            head.isFailure = head.status == 500;
            head.hasWrongPosition = response.has("X-Wrong-Position");
            return head;
        };
        hooks.readEvent = [](const forwarding::StreamEvent& event, std::optional<std::uint64_t>) {
            if (event.bytes == "invalid\n\n")
                return ParsedEvent();
            const bool isEnd = event.bytes == "end\n\n";
            return ParsedEvent { isEnd ? ParsedEvent::Kind::Complete : ParsedEvent::Kind::Forward, event.bytes,
                event.id, true };
        };
        hooks.onCompleteResponse = [](const Placement&, const forwarding::ResponseHead&, const std::string&) {};
        hooks.refuse = [this, exchange](const forwarding::TerminalError& error) {
            result.error = error;
            exchange->abort();
            return error.code;
        };
        hooks.onFinished = [this](const forwarding::RequestSummary& summary) { result.summary = summary; };
        hooks.explain = [](const std::string&, const nlohmann::json&) {};
        return hooks;
    }

    forwarding::PlacementResult place(const forwarding::Progress& progress)
    {
        if (progress.tried.size() >= serverAddresses_.size())
            return { std::nullopt, ResultCode::NoUpstream, "no server is left" };
        const auto& [name, address] = serverAddresses_[progress.tried.size()];
        Placement placement;
        placement.server = routing::nodeKey(name);
        placement.serverId = name;
        placement.address = address;
        ++result.heldPlacements[name];
        return { placement, ResultCode::Ok, "" };
    }

    http::Client callerClient_ { loop, http::Limits() };
    http::Call::Ptr callerCall_;
    std::vector<std::unique_ptr<http::Server>> servers_;
    std::vector<std::pair<std::string, std::string>> serverAddresses_; // names and addresses in the order of use
    std::vector<Poco::Net::ServerSocket> closedPorts_;
    std::vector<http::Exchange::Ptr> exchanges_;
    http::Server callerListener_;
};

} // namespace testing
