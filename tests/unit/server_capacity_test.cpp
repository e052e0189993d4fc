#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/http/Server.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/SocketImpl.h>

#include <criterion/criterion.h>

#include <algorithm>
#include <sys/resource.h>

using namespace goldcrestcleat;

namespace {

const std::string REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct Fixture {
    loop::EventLoop loop;
    int handled = 0;
    std::vector<std::string> rejections;
    http::Server server { loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [this](const http::Exchange::Ptr& exchange) {
            ++handled;
            exchange->reply(200, {}, "ok");
        },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {} };
    std::vector<Poco::Net::StreamSocket> callers;

    Fixture()
    {
        server.onConnectionRejected = [this](const std::string& reason) { rejections.push_back(reason); };
    }

    Poco::Net::StreamSocket& connect()
    {
        callers.emplace_back();
        callers.back().connect(Poco::Net::SocketAddress(server.address()));
        return callers.back();
    }

    /// Runs the loop until a condition holds; if it never does, the time-out of the test ends it.
    void runUntil(const std::function<bool()>& condition)
    {
        while (!condition())
            loop.runOnce();
    }
};

std::string received(Poco::Net::StreamSocket& socket)
{
    std::string bytes(4'096, '\0');
    const int count = socket.receiveBytes(bytes.data(), static_cast<int>(bytes.size()));
    bytes.resize(static_cast<std::size_t>(std::max(count, 0)));
    return bytes;
}

} // namespace

Test(server_capacity, a_crowded_server_closes_connections_after_their_answers, .timeout = 10)
{
    Fixture f;
    f.server.setCapacity({ 2, 100 });
    auto first = f.connect();
    first.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    bool isSecondSent = false;
    f.runUntil([&] {
        if (f.handled == 1 && !isSecondSent) {
            isSecondSent = true;
            f.connect().sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
        }
        return f.handled == 2;
    });
    cr_assert(received(first).find("Connection: Keep-Alive") != std::string::npos);
    cr_assert(received(f.callers[1]).find("Connection: close") != std::string::npos);
    cr_assert(f.rejections.empty());
}

Test(server_capacity, a_full_server_closes_new_connections_unread_and_reports_it, .timeout = 10)
{
    Fixture f;
    f.server.setCapacity({ 1, 2 });
    for (int i = 0; i < 3; ++i)
        f.connect();
    f.runUntil([&] { return !f.rejections.empty(); });
    cr_assert_eq(f.server.sessionCount(), 2);
    cr_assert_eq(received(f.callers.back()).size(), 0, "the caller must be able to try another server immediately");
}

/// Guards against accepting only one connection per iteration of the loop: under load, iterations are long, and the
/// system's queue of pending connections overflowed.
Test(server_capacity, pending_connections_are_accepted_together, .timeout = 10)
{
    Fixture f;
    for (int i = 0; i < 20; ++i)
        f.connect();
    int iterations = 0;
    f.loop.onIteration = [&] { ++iterations; };
    f.runUntil([&] { return f.server.sessionCount() == 20; });
    cr_assert_lt(iterations, 10);
}

/// Guards against handling a request whose caller disconnected before the request was read.
Test(server_capacity, a_request_whose_caller_has_disconnected_is_not_handled, .timeout = 10)
{
    Fixture f;
    auto& disconnected = f.connect();
    disconnected.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    disconnected.close();
    auto& connected = f.connect();
    connected.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    f.runUntil([&] { return f.handled > 0; });
    cr_assert_eq(f.handled, 1);
    cr_assert(received(connected).find("200") != std::string::npos);
}

/// Guards against a planned stop that resets callers which the system has connected already.
Test(server_capacity, callers_that_are_connected_when_the_listener_closes_are_answered, .timeout = 10)
{
    Fixture f;
    for (int i = 0; i < 40; ++i) {
        auto& caller = f.connect();
        if (i % 2 == 0)
            caller.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    }
    f.server.closeListener();
    f.server.closeIdle();
    for (int i = 1; i < 40; i += 2)
        f.callers[static_cast<std::size_t>(i)].sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    f.runUntil([&] { return f.server.sessionCount() == 0; });
    cr_assert_eq(f.handled, 40);
    for (auto& caller : f.callers)
        cr_assert(received(caller).find("200") != std::string::npos);
}

/// Guards against closing a kept connection whose next request is still in the socket.
Test(server_capacity, a_kept_connection_with_an_unread_request_is_not_closed_as_idle, .timeout = 10)
{
    Fixture f;
    auto& caller = f.connect();
    caller.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    f.runUntil([&] { return f.handled == 1; });
    cr_assert(received(caller).find("200") != std::string::npos);
    caller.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    f.server.closeIdle();
    while (f.handled < 2)
        f.loop.runOnce();
    const std::string last = received(caller);
    cr_assert(last.find("200") != std::string::npos);
    cr_assert(last.find("Connection: close") != std::string::npos, "%s", last.c_str());
}

// Not built with the sanitizers: their check of virtual tables opens a pipe to read memory, and reports every object as
// invalid when no descriptor is left for it.
#ifndef __SANITIZE_ADDRESS__
/// Guards against ignoring the error of `accept`: the loop then ran without a pause while a connection was pending.
Test(server_capacity, accepting_pauses_while_no_descriptor_is_left, .timeout = 10)
{
    Fixture f;
    auto& caller = f.connect();
    caller.sendBytes(REQUEST.data(), static_cast<int>(REQUEST.size()));
    rlimit original {};
    getrlimit(RLIMIT_NOFILE, &original);
    const rlimit exhausted { static_cast<rlim_t>(caller.impl()->sockfd()) + 1, original.rlim_max };
    setrlimit(RLIMIT_NOFILE, &exhausted);
    f.loop.after(300, [&] { setrlimit(RLIMIT_NOFILE, &original); });
    f.runUntil([&] { return f.handled == 1; });
    cr_assert_geq(f.rejections.size(), 1);
    cr_assert_leq(f.rejections.size(), 10, "one attempt every 50 ms");
}
#endif

// Guards against callers that fill the memory of a daemon by requests whose bodies do not end.
Test(server_capacity, the_bodies_of_all_open_requests_together_are_limited, .timeout = 10)
{
    constexpr std::size_t BODY_BYTES = 400 * 1024;
    constexpr std::size_t CALLERS = 20;
    loop::EventLoop loop;
    std::vector<errors::ResultCode> refusals;
    std::vector<http::Exchange::Ptr> open;
    std::size_t mostHeld = 0;
    http::Server server(
        loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [&](const http::Exchange::Ptr& exchange) { open.push_back(exchange); },
        [&](const http::Exchange::Ptr& exchange, errors::ResultCode code, const std::string&) {
            refusals.push_back(code);
            exchange->reply(503, {}, "");
        });
    http::ServerCapacity capacity;
    capacity.inputBytes = 1024 * 1024;
    server.setCapacity(capacity);
    http::Client client(loop, http::Limits());
    std::vector<http::Call::Ptr> calls;
    std::size_t refused = 0;
    const auto send = [&](std::size_t bodyBytes) {
        http::Call::Hooks hooks;
        hooks.onHead = [&](const Poco::Net::HTTPResponse& head) {
            cr_assert_eq(head.get("Connection"), "close");
            ++refused;
        };
        calls.push_back(
            client.start(server.address(), { "POST", "/", {}, std::string(bodyBytes, 'x') }, std::move(hooks)));
    };
    for (std::size_t i = 0; i < CALLERS; ++i)
        send(BODY_BYTES);
    while (open.size() + refused < CALLERS) {
        loop.runOnce();
        mostHeld = std::max(mostHeld, server.inputBytes());
    }
    cr_assert_geq(open.size(), 1);
    cr_assert_geq(refused, CALLERS / 2);
    cr_assert_leq(mostHeld, capacity.inputBytes + capacity.inputBytes / 2);
    cr_assert(std::all_of(refusals.begin(), refusals.end(),
        [](errors::ResultCode code) { return code == errors::ResultCode::MemoryLimit; }));
    // A small body is still accepted, and so is a large one after the others have ended.
    const std::size_t before = open.size();
    send(100);
    while (open.size() == before)
        loop.runOnce();
    open.clear();
    calls.clear();
    while (server.inputBytes() > 0)
        loop.runOnce();
    send(BODY_BYTES);
    while (open.empty())
        loop.runOnce();
}
