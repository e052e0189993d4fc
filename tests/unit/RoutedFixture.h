#pragma once

#include "goldcrestcleat/forwarding/RoutedCall.h"
#include "platform/HeaderDialect.h"

#include <criterion/criterion.h>

#include <map>

namespace testing {

using namespace goldcrestcleat;

constexpr const char* SERVICE = "app";

/// Routes requests of host `h` by `RoutedCall` to servers of the test; caller, daemon and servers share one loop.
class RoutedFixture {
public:
    using Handler = std::function<void(const http::Exchange::Ptr&)>;

    struct Answer {
        int status = 0;
        std::string retryAfter;
        std::string body;
        bool isComplete = false; ///< its end has been received
    };

    explicit RoutedFixture(
        const http::Limits& answerLimits = http::Limits(), const http::Limits& requestLimits = http::Limits())
        : serverClient_(loop, answerLimits)
        , requestLimits_(requestLimits)
    {
        route.name = "r";
        route.host = "h";
        route.prefix = "/";
        route.kind = routes::CallKind::Idempotent;
        route.needsKey = false;
        route.timeoutMs = 5'000;
        route.goalMs = 1'000;
        route.maxPauseMs = 1'000;
        route.attempts = 2;
        route.targets = { { SERVICE, 1 } };
        configure();
        retryBudget_.setParameters({ 1, 100, 10'000, 1 });
    }

    /// Applies a changed `route`.
    void configure()
    {
        routes::Configuration configuration;
        configuration.version = 1;
        configuration.routes = { route };
        configuration.services = { service };
        routes_ = std::make_shared<routes::RouteTable>(configuration);
    }

    /// Starts a server and registers it.
    void addServer(const std::string& id, Handler handler)
    {
        listeners_[id] = std::make_unique<http::Server>(
            loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
            [this, id, handler = std::move(handler)](const http::Exchange::Ptr& exchange) {
                ++arrivals[id];
                handler(exchange);
            },
            [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {});
        addServerAt(id, listeners_[id]->address());
    }

    /// Registers a server that the test runs itself.
    void addServerAt(const std::string& id, const std::string& address)
    {
        addresses_[id] = address;
        servers.put(entryOf(id), loop.now());
    }

    upstreams::ServerEntry entryOf(const std::string& id, std::int64_t startedAtMs = 1) const
    {
        upstreams::ServerEntry entry;
        entry.id = id;
        entry.service = SERVICE;
        entry.address = addresses_.at(id);
        entry.slots = 8;
        entry.startedAtMs = startedAtMs;
        return entry;
    }

    /// Replies with success as a server of the platform does.
    static void succeed(const http::Exchange::Ptr& exchange, http::Fields fields = {}, int status = 200)
    {
        fields.emplace_back("Request-Id", exchange->header("Request-Id"));
        fields.emplace_back("Server-Seal", "s");
        exchange->reply(status, fields, "answer to " + exchange->header("Request-Id"));
    }

    /// Replies that the request was not executed.
    static void reject(const http::Exchange::Ptr& exchange, http::Fields fields = {})
    {
        fields.emplace_back("Request-Id", exchange->header("Request-Id"));
        fields.emplace_back("Not-Executed", "1");
        exchange->reply(503, fields, "");
    }

    /// Sends one request and runs the loop until it is answered; status 0 stands for a closed connection.
    Answer call(const http::Fields& more = {}, const std::string& body = "")
    {
        Answer answer;
        http::Request request { body.empty() ? "GET" : "POST", "/x",
            { { "Host", "h" }, { "Request-Id", "r" + std::to_string(++calls_) },
                { "Request-Deadline", std::to_string(deadlineMs) } },
            body };
        request.fields.insert(request.fields.end(), more.begin(), more.end());
        http::Call::Hooks hooks;
        hooks.onHead = [&](const Poco::Net::HTTPResponse& head) {
            answer.status = head.getStatus();
            answer.retryAfter = head.get("Retry-After", "");
        };
        hooks.onBody = [&](std::string_view part) { answer.body.append(part); };
        bool isDone = false;
        hooks.onEnd = [&] { answer.isComplete = isDone = true; };
        hooks.onFailure = [&](http::FailurePoint, const std::string&) { isDone = true; };
        const auto outgoing = callerClient_.start(callers_.address(), request, std::move(hooks));
        runUntil([&] { return isDone; });
        return answer;
    }

    std::string callerAddress() const { return callers_.address(); }

    /// Returns the bytes of the answers that are being received.
    std::size_t answerBytes() const { return environment_.answerBuffers->answerBytes(); }

    /// Runs the loop until a condition holds; if it never does, the timeout of the test ends it.
    void runUntil(const std::function<bool()>& condition)
    {
        while (!condition())
            loop.runOnce();
    }

    loop::EventLoop loop;
    loop::TimeMs deadlineMs = 3'000; ///< that callers state
    settings::FrontSettings settings;
    routes::Route route;
    upstreams::ServerRegistry servers;
    upstreams::PaceTracker paces;
    routing::ServiceDurations durations;
    routing::ColdStartLimiter coldStarts;
    routes::Service service { SERVICE };
    std::map<std::string, int> arrivals; ///< number of requests by server
    std::vector<upstreams::ServerInstance> reportedLeaving;
    std::vector<admission::InterruptedRun> interruptedRuns;
    admission::Quarantine quarantine;

private:
    observe::Log log_ { "vm1", "error" };
    observe::Metrics metrics_;
    admission::SharedRetryBudget retryBudget_;
    routing::ChatAffinityCache contexts_ { 4'096 };
    std::mt19937_64 random_ { 1 };
    routes::RouteTable::Ptr routes_;
    forwarding::Dialect dialect_ = platform::makeHeaderDialect();
    http::Client serverClient_;
    http::Client callerClient_ { loop, http::Limits() };
    forwarding::Environment environment_ { loop, serverClient_, metrics_, quarantine, {}, nullptr };
    forwarding::RoutedEnvironment routedEnvironment_ { environment_, settings, log_, servers, paces, durations,
        coldStarts, retryBudget_, contexts_, dialect_, random_, [] { return 0; }, [this] { return routes_; },
        [](routing::NodeKey) {}, [](routing::NodeKey) {},
        [this](const upstreams::ServerInstance& instance) {
            if (servers.markLeaving(instance))
                reportedLeaving.push_back(instance);
        },
        [this](routing::NodeKey, const admission::InterruptedRun& run, bool) { interruptedRuns.push_back(run); } };
    std::map<std::string, std::unique_ptr<http::Server>> listeners_;
    std::map<std::string, std::string> addresses_; // by server id
    int calls_ = 0;
    http::Limits requestLimits_;
    http::Server callers_ { loop, "127.0.0.1:0", requestLimits_, http::ServerTimeouts(),
        [this](const http::Exchange::Ptr& exchange) { forwarding::RoutedCall::start(routedEnvironment_, exchange); },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {} };
};

} // namespace testing
