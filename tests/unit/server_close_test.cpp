#include "goldcrestcleat/http/Server.h"

#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <criterion/criterion.h>

using namespace goldcrestcleat;

// What a server announces about its connections is what it does. Guards against requests that are read and dropped.

namespace {

const std::string REQUEST = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";

struct Fixture {
    loop::EventLoop loop;
    std::vector<http::Exchange::Ptr> requests;
    http::Server server { loop, "127.0.0.1:0", http::Limits(), http::ServerTimeouts(),
        [this](const http::Exchange::Ptr& exchange) { requests.push_back(exchange); },
        [](const http::Exchange::Ptr& exchange, errors::ResultCode, const std::string&) {
            exchange->reply(400, {}, "");
        } };
    Poco::Net::StreamSocket caller;
    std::string received;

    Fixture()
    {
        caller.connect(Poco::Net::SocketAddress(server.address()));
        caller.setBlocking(false);
    }

    void send(const std::string& bytes) { caller.sendBytes(bytes.data(), static_cast<int>(bytes.size())); }

    /// Runs the loop until the caller has received a text. If it never does, the timeout of the test ends it.
    void expect(const std::string& text)
    {
        while (received.find(text) == std::string::npos) {
            loop.runOnce();
            if (!caller.poll(Poco::Timespan(0, 0), Poco::Net::Socket::SELECT_READ))
                continue;
            char buffer[4096];
            const int count = caller.receiveBytes(buffer, sizeof buffer);
            cr_assert_gt(count, 0, "the connection was closed after '%s'", received.c_str());
            received.append(buffer, static_cast<std::size_t>(count));
        }
    }

    void waitForRequests(std::size_t count)
    {
        while (requests.size() < count)
            loop.runOnce();
    }
};

} // namespace

Test(server_close, a_refused_head_announces_that_the_connection_closes, .timeout = 10)
{
    Fixture f;
    f.send("GET / HTTP/1.1\r\nno field line\r\n\r\n");
    f.expect("\r\n\r\n");
    cr_assert(f.received.find("Connection: close") != std::string::npos, "the answer is '%s'", f.received.c_str());
}

Test(server_close, a_request_behind_a_stream_is_answered_in_a_planned_stop, .timeout = 10)
{
    Fixture f;
    f.send(REQUEST + REQUEST);
    f.waitForRequests(1);
    f.requests[0]->startStream(200, {});
    f.requests[0]->write("part");
    f.expect("part");
    cr_assert(f.received.find("Keep-Alive") != std::string::npos);
    f.server.closeIdle();
    f.requests[0]->finishStream();
    f.server.closeIdle();
    f.waitForRequests(2);
    f.requests[1]->reply(503, {}, "refused");
    f.expect("refused");
    cr_assert(f.received.find("Connection: close") != std::string::npos);
}

Test(server_close, requests_in_one_packet_are_answered_until_a_response_announces_the_end, .timeout = 10)
{
    Fixture f;
    f.send(REQUEST + REQUEST + REQUEST);
    f.waitForRequests(1);
    f.requests[0]->reply(200, {}, "first");
    f.server.closeAfterResponses();
    f.waitForRequests(2);
    f.requests[1]->reply(200, {}, "second");
    f.expect("second");
    cr_assert(f.received.find("Connection: close") != std::string::npos);
    cr_assert_eq(f.requests.size(), 2);
}
