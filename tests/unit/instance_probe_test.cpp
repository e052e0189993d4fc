#include "RoutedFixture.h"
#include "TcpPeer.h"

#include "goldcrestcleat/forwarding/InstanceProbe.h"

using namespace testing;
using forwarding::InstanceProbe;
using forwarding::ProbeOutcome;

// Whether the server of an answer without a length is still running when its connection has ended.

namespace {

const http::Request HEALTH_CHECK { "GET", "/health", { { "Expect-Instance", "i-1" } }, "" };

const std::string OPEN_ANSWER = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\nanswer ";

/// A server that answers the requests of one connection after another.
class StepServer {
public:
    /// `answer` is given the number of the connection and a request; it returns whether the connection stays open.
    using Answer = std::function<bool(int connection, const std::string& request, TcpPeer& peer)>;

    StepServer(loop::EventLoop& loop, Answer answer)
        : answer_(std::move(answer))
    {
        loop.every(1, [this] { step(); });
    }

    std::string address() const { return peer_.address(); }

private:
    void step()
    {
        if (!isOpen_ && peer_.tryAccept()) {
            isOpen_ = true;
            ++connections_;
        }
        if (!isOpen_ || !peer_.hasInput())
            return;
        const std::string request = peer_.receive();
        isOpen_ = !request.empty() && answer_(connections_, request, peer_);
    }

    TcpPeer peer_;
    Answer answer_;
    bool isOpen_ = false;
    int connections_ = 0;
};

void useServer(RoutedFixture& f, const StepServer& server)
{
    f.service.healthPath = "/health";
    f.route.kind = routes::CallKind::NonIdempotent;
    f.configure();
    f.addServerAt("probed", server.address());
}

/// Probes an address and returns the outcome, while `step` is called in each iteration of the loop.
ProbeOutcome probe(
    loop::EventLoop& loop, const std::string& address, const std::optional<http::Request>& request = HEALTH_CHECK,
    const std::function<void()>& step = [] {})
{
    http::Client client(loop, http::Limits());
    const auto dialect = platform::makeHeaderDialect();
    std::optional<ProbeOutcome> outcome;
    int calls = 0;
    InstanceProbe::start(loop, client,
        { address, request, true,
            [&](const Poco::Net::HTTPResponse& head, const std::string& body) {
                return dialect.isFromInstance(head, body, { "i-1", 100, false, "" });
            } },
        [&](ProbeOutcome result) {
            outcome = result;
            ++calls;
        });
    cr_assert_not(outcome.has_value(), "reported before the probe was started");
    while (!outcome) {
        loop.runOnce();
        step();
    }
    bool hasWaited = false;
    loop.after(2 * InstanceProbe::SLOT_TIMEOUT_MS, [&] { hasWaited = true; });
    while (!hasWaited)
        loop.runOnce();
    cr_assert_eq(calls, 1);
    return *outcome;
}

/// Probes a server that answers with a status and fields.
ProbeOutcome probeServer(int status, const http::Fields& fields, const std::string& body = "{}")
{
    loop::EventLoop loop;
    http::Server server(
        loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [&](const http::Exchange::Ptr& exchange) { exchange->reply(status, fields, body); },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {});
    return probe(loop, server.address());
}

/// Returns the status of an answer without a length whose server accepts the connection of the probe and is silent.
int statusWithSilentProbe(bool isEngine)
{
    RoutedFixture f;
    f.service.healthPath = "/health";
    f.route.kind = routes::CallKind::NonIdempotent;
    f.configure();
    TcpPeer peer;
    f.addServerAt("silent", peer.address());
    upstreams::ServerEntry entry = f.entryOf("silent");
    entry.isEngine = isEngine;
    f.servers.put(entry, f.loop.now());
    bool isAccepted = false;
    bool hasAnswered = false;
    f.loop.every(1, [&] {
        if (hasAnswered || (!isAccepted && !peer.tryAccept()))
            return;
        isAccepted = true;
        if (!peer.hasInput())
            return;
        hasAnswered = true;
        peer.receive();
        peer.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\nanswer");
        peer.close();
    });
    return f.call().status;
}

} // namespace

Test(instance_probe, any_answer_but_that_of_another_instance_shows_that_the_server_runs)
{
    cr_assert(probeServer(200, { { "Instance-Id", "i-1" } }) == ProbeOutcome::Answered);
    cr_assert(probeServer(200, {}) == ProbeOutcome::Answered);
    cr_assert(probeServer(503, { { "Not-Executed", "1" } }) == ProbeOutcome::Answered);
    cr_assert(probeServer(404, {}) == ProbeOutcome::Answered);
    cr_assert(probeServer(200, { { "Instance-Id", "i-2" } }) == ProbeOutcome::AnsweredByOther);
    cr_assert(probeServer(421, {}) == ProbeOutcome::AnsweredByOther);
    cr_assert(probeServer(200, {}, R"({"born":101})") == ProbeOutcome::AnsweredByOther);
    for (const char* body : { R"({"born":100})", R"({"born":99})", R"({"born":"101"})", "[101]", "101", "", "{" })
        cr_assert(probeServer(200, {}, body) == ProbeOutcome::Answered, "%s", body);
    cr_assert(showsRunning(ProbeOutcome::Answered, false) && !showsRunning(ProbeOutcome::AnsweredByOther, true));
}

Test(instance_probe, a_port_that_refuses_connections_shows_that_the_server_has_ended, .timeout = 20)
{
    TcpPeer peer;
    const std::string address = peer.address();
    peer.stopListening();
    for (const auto& request : { std::optional<http::Request>(HEALTH_CHECK), std::optional<http::Request>() }) {
        loop::EventLoop loop;
        cr_assert(probe(loop, address, request) == ProbeOutcome::Unreachable);
    }
    cr_assert_not(showsRunning(ProbeOutcome::Unreachable, true));
}

Test(instance_probe, a_silent_server_may_be_busy_if_it_needs_a_slot_to_answer, .timeout = 20)
{
    for (const auto& request : { std::optional<http::Request>(HEALTH_CHECK), std::optional<http::Request>() }) {
        loop::EventLoop loop;
        TcpPeer peer;
        cr_assert(probe(loop, peer.address(), request) == ProbeOutcome::Silent);
    }
    cr_assert(showsRunning(ProbeOutcome::Silent, true) && !showsRunning(ProbeOutcome::Silent, false));
}

/// A proxy accepts connections to a server that has ended, and closes them.
Test(instance_probe, connections_that_are_closed_without_an_answer_do_not_show_that_the_server_runs, .timeout = 20)
{
    for (const bool isReset : { false, true }) {
        loop::EventLoop loop;
        TcpPeer peer;
        int accepted = 0;
        const auto outcome = probe(loop, peer.address(), HEALTH_CHECK, [&] {
            if (!peer.tryAccept())
                return;
            ++accepted;
            isReset ? peer.reset() : peer.close();
        });
        // A reset may arrive before the connection is seen to be open.
        cr_assert(outcome == ProbeOutcome::Closed || (isReset && outcome == ProbeOutcome::Unreachable));
        cr_assert_eq(accepted, 2);
    }
    cr_assert_not(showsRunning(ProbeOutcome::Closed, true));
}

/// A server closes a connection above its limit, and accepts the next one.
Test(instance_probe, a_single_connection_that_is_closed_does_not_count, .timeout = 20)
{
    loop::EventLoop loop;
    TcpPeer peer;
    int accepted = 0;
    const auto outcome = probe(loop, peer.address(), HEALTH_CHECK, [&] {
        if (!peer.tryAccept())
            return;
        if (++accepted == 1)
            peer.reset();
    });
    cr_assert(outcome == ProbeOutcome::Silent);
}

/// The address of a server that has ended may be taken over, or its process started again, before the probe.
Test(instance_probe, an_answer_is_no_success_when_another_instance_has_the_address_of_its_server, .timeout = 20)
{
    for (const bool isRestartKnown : { false, true }) {
        RoutedFixture f;
        f.service.healthPath = "/health";
        f.route.kind = routes::CallKind::NonIdempotent;
        f.configure();
        TcpPeer peer;
        f.addServerAt("ended", peer.address());
        bool isAccepted = false; // a connection that has not been answered
        bool hasAnswered = false;
        f.loop.every(1, [&] {
            isAccepted = isAccepted || peer.tryAccept();
            if (!isAccepted || !peer.hasInput())
                return;
            isAccepted = false;
            peer.receive();
            if (hasAnswered) {
                peer.send("HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n");
                return;
            }
            hasAnswered = true;
            peer.send("HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n\r\nanswer ");
            peer.close();
            if (isRestartKnown)
                f.servers.put(f.entryOf("ended", 2), f.loop.now());
        });
        cr_assert_eq(f.call().status, 502);
    }
}

Test(instance_probe, an_engine_that_is_silent_does_not_confirm_its_answer, .timeout = 20)
{
    cr_assert_eq(statusWithSilentProbe(false), 200);
    cr_assert_eq(statusWithSilentProbe(true), 502);
}

/// A copy of the rejected probe was taken for the rejection of the next request, which then ran twice.
Test(instance_probe, a_copy_of_its_answer_does_not_reach_the_next_request, .timeout = 20)
{
    const std::string rejection = "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    RoutedFixture f;
    int runs = 0;
    StepServer server(f.loop, [&](int connection, const std::string& request, TcpPeer& peer) {
        if (connection == 1) {
            peer.send(OPEN_ANSWER);
            peer.close();
            return false;
        }
        if (request.find("Request-Id: r2") == std::string::npos) {
            peer.send(rejection);
            return true;
        }
        ++runs;
        peer.send((connection == 2 ? rejection : "")
            + "HTTP/1.1 200 OK\r\nRequest-Id: r2\r\nServer-Seal: s\r\nContent-Length: 2\r\n\r\nok");
        return true;
    });
    useServer(f, server);
    cr_assert_eq(f.call({}, "x").status, 200);
    f.loop.every(1, [&] {
        if (runs == 1 && f.arrivals.count("other") == 0)
            f.addServer("other", [](const http::Exchange::Ptr& exchange) { RoutedFixture::succeed(exchange); });
    });
    f.call({}, "x");
    cr_assert_eq(runs + f.arrivals["other"], 1);
}

/// A server may start again under its id. Its entry may arrive while the probe is under way.
Test(instance_probe, an_answer_is_no_success_when_its_server_was_started_again_under_its_id, .timeout = 20)
{
    for (const bool isStatedByEntry : { false, true }) {
        RoutedFixture f;
        StepServer server(f.loop, [&](int connection, const std::string&, TcpPeer& peer) {
            if (connection == 1) {
                peer.send(OPEN_ANSWER);
                peer.close();
                return false;
            }
            if (isStatedByEntry)
                f.servers.put(f.entryOf("probed", 2), f.loop.now());
            const std::string report = isStatedByEntry ? "{}" : R"({"born":2})";
            peer.send("HTTP/1.1 200 OK\r\nInstance-Id: probed\r\nContent-Length: " + std::to_string(report.size())
                + "\r\n\r\n" + report);
            return true;
        });
        useServer(f, server);
        cr_assert_eq(f.call({}, "x").status, 502);
    }
}

/// A server that has too many connections at the moment resets new ones.
Test(instance_probe, a_server_that_resets_connections_for_a_moment_confirms_its_answer, .timeout = 20)
{
    constexpr loop::TimeMs LIMITED_MS = 20;
    RoutedFixture f;
    f.service.healthPath = "/health";
    f.route.kind = routes::CallKind::NonIdempotent;
    f.configure();
    TcpPeer peer;
    f.addServerAt("limited", peer.address());
    bool isOpen = false;
    std::optional<loop::TimeMs> answeredAt;
    f.loop.every(1, [&] {
        if (!isOpen && peer.tryAccept())
            isOpen = true;
        if (isOpen && answeredAt && f.loop.now() - *answeredAt < LIMITED_MS) {
            peer.reset();
            isOpen = false;
            return;
        }
        if (!isOpen || !peer.hasInput())
            return;
        peer.receive();
        if (answeredAt) {
            peer.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
        } else {
            answeredAt = f.loop.now();
            peer.send(OPEN_ANSWER);
        }
        peer.close();
        isOpen = false;
    });
    cr_assert_eq(f.call({}, "x").status, 200);
}
