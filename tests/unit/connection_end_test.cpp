#include "TcpPeer.h"

#include "goldcrestcleat/http/Client.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using namespace testing;

// How a connection ended, as its owner learns it: only the peer's own end of stream completes an answer without a
// length.

namespace {

constexpr int SMALL_BUFFER_BYTES = 8 * 1024;
const std::string HEAD_WITHOUT_LENGTH = "HTTP/1.1 200 OK\r\n\r\n";
const std::string EVENTS = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// Opens a connection to a peer and accepts it there.
struct ConnectedPair {
    explicit ConnectedPair(int peerBufferBytes = 0)
        : peer(peerBufferBytes)
    {
        loop::Connection::Hooks hooks;
        hooks.onConnect = [this] { isConnected = true; };
        hooks.onData = [this](std::string_view bytes) { received.append(bytes); };
        hooks.onClose = [this](loop::CloseReason closeReason) { reason = closeReason; };
        connection = loop::Connection::connect(loop, peer.address(), std::move(hooks));
        while (!isConnected)
            loop.runOnce();
        peer.accept();
    }

    void runUntilClosed()
    {
        while (!reason)
            loop.runOnce();
    }

    loop::EventLoop loop;
    TcpPeer peer;
    loop::Connection::Ptr connection;
    bool isConnected = false;
    std::string received;
    std::optional<loop::CloseReason> reason;
};

/// The outcome of a request to a server that answers without a length.
struct CallResult {
    std::string body;
    bool isComplete = false;
    bool hasFailed = false;
};

/// Posts a body to a peer, which runs `act` once the request has begun to arrive.
CallResult post(TcpPeer& peer, std::size_t bodyBytes, const std::function<void(loop::EventLoop&)>& act)
{
    loop::EventLoop loop;
    http::Client client(loop, http::Limits());
    CallResult result;
    http::Call::Hooks hooks;
    hooks.onBody = [&](std::string_view part) { result.body.append(part); };
    hooks.onEnd = [&] { result.isComplete = true; };
    hooks.onFailure = [&](http::FailurePoint, const std::string&) { result.hasFailed = true; };
    const auto call = client.start(peer.address(), { "POST", "/", {}, std::string(bodyBytes, 'x') }, std::move(hooks));
    while (!peer.tryAccept())
        loop.runOnce();
    while (!peer.hasInput())
        loop.runOnce();
    act(loop);
    while (!result.isComplete && !result.hasFailed)
        loop.runOnce();
    return result;
}

} // namespace

Test(connection_end, the_end_of_the_peers_output_is_the_end_of_the_stream, .timeout = 20)
{
    for (const bool isHalfClosed : { false, true }) {
        ConnectedPair pair;
        pair.peer.send("all");
        isHalfClosed ? pair.peer.shutdownOutput() : pair.peer.close();
        pair.runUntilClosed();
        cr_assert(pair.reason == loop::CloseReason::EndOfStream);
        cr_assert(pair.received == "all");
    }
}

Test(connection_end, a_reset_is_no_end_of_the_stream, .timeout = 20)
{
    for (const bool hasUnreadInput : { false, true }) {
        ConnectedPair pair;
        if (hasUnreadInput) {
            pair.connection->send("unread");
            while (!pair.peer.hasInput())
                pair.loop.runOnce();
        }
        pair.peer.send("part");
        hasUnreadInput ? pair.peer.close() : pair.peer.reset();
        pair.runUntilClosed();
        cr_assert(pair.reason == loop::CloseReason::Reset);
    }
}

/// Guards against taking the zero that a read returns after another call has taken the socket's error for the end of
/// the stream.
Test(connection_end, a_reset_that_another_call_noticed_is_no_end_of_the_stream, .timeout = 20)
{
    for (const char* call : { "peek", "send" }) {
        ConnectedPair pair;
        pair.peer.reset();
        if (std::string(call) == "peek") {
            cr_assert_not(pair.connection->hasPeerClosed());
        } else {
            pair.connection->send("x");
        }
        pair.runUntilClosed();
        cr_assert(pair.reason == loop::CloseReason::Reset, "%s", call);
    }
}

/// Guards against ending an answer without a length as complete after the system has given up its connection: the
/// machine of the server no longer responds to keep-alive probes.
Test(connection_end, a_peer_that_no_longer_responds_does_not_end_an_answer, .timeout = 60)
{
    TcpPeer peer;
    const auto result = post(peer, 100, [&](loop::EventLoop& loop) {
        peer.receive();
        peer.send(HEAD_WITHOUT_LENGTH + EVENTS);
        while (!peer.isOutputAcknowledged())
            loop.runOnce();
        peer.goDark();
    });
    cr_assert(result.body == EVENTS);
    cr_assert(result.hasFailed && !result.isComplete);
}

/// The same by the limit for unacknowledged output: the server has answered early and no longer reads the request.
Test(connection_end, a_peer_that_stops_reading_the_request_does_not_end_an_answer, .timeout = 60)
{
    for (const std::size_t bodyBytes : { 200'000, 1'000'000 }) {
        TcpPeer peer(SMALL_BUFFER_BYTES);
        const auto result = post(peer, bodyBytes, [&](loop::EventLoop&) { peer.send(HEAD_WITHOUT_LENGTH + EVENTS); });
        cr_assert(result.body == EVENTS);
        cr_assert(result.hasFailed && !result.isComplete, "%zu bytes", bodyBytes);
    }
}

/// An answer without a length that is reset while the request is still being written is not complete (MIXED).
Test(connection_end, a_reset_during_the_request_does_not_end_an_early_answer, .timeout = 60)
{
    for (const std::size_t bodyBytes : { 5'000, 200'000, 5'000'000 }) {
        for (const bool isByUnreadInput : { false, true }) {
            TcpPeer peer(SMALL_BUFFER_BYTES);
            const auto result = post(peer, bodyBytes, [&](loop::EventLoop&) {
                peer.send(HEAD_WITHOUT_LENGTH + EVENTS);
                isByUnreadInput ? peer.close() : peer.reset();
            });
            cr_assert(result.hasFailed && !result.isComplete, "%zu bytes", bodyBytes);
        }
    }
}
