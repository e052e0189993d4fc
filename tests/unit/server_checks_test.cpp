#include "goldcrestcleat/upstreams/ReachabilityChecker.h"

#include "goldcrestcleat/http/Server.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using upstreams::Outcome;

namespace {

constexpr loop::TimeMs CONNECT_TIMEOUT_MS = 5'000; // a closed port refuses connections immediately

std::unique_ptr<http::Server> listenAt(loop::EventLoop& loop, const std::string& address)
{
    return std::make_unique<http::Server>(
        loop, address, http::Limits(), http::ServerTimeouts(),
        [](const http::Exchange::Ptr& exchange) { exchange->reply(200, {}, ""); },
        [](const http::Exchange::Ptr&, errors::ResultCode, const std::string&) {});
}

} // namespace

Test(server_checks, an_unreachable_server_is_used_again_once_a_connection_opens)
{
    loop::EventLoop loop;
    http::Client client(loop, http::Limits());
    client.setConnectTimeout(CONNECT_TIMEOUT_MS);
    upstreams::ServerRegistry servers;
    const observe::Log log("vm1", "error");
    upstreams::ReachabilityChecker checks(loop, client, servers, log);

    auto server = listenAt(loop, "127.0.0.1:0");
    const std::string address = server->address();
    server.reset();
    upstreams::ServerEntry entry;
    entry.id = "a";
    entry.service = "s";
    entry.address = address;
    servers.put(entry, loop.now());
    const auto key = routing::nodeKey("a");
    servers.recordOutcome(key, Outcome::Unreachable, loop.now());
    checks.scheduleCheck(key);
    checks.scheduleCheck(key); // a second failure while a check is scheduled has no effect

    int failuresSeen = 0;
    loop.after(500, [&] {
        failuresSeen = servers.find(key)->connectFailures;
        server = listenAt(loop, address);
    });
    loop.every(20, [&] {
        if (servers.find(key)->connectFailures == 0)
            loop.stop();
    });
    loop.after(20'000, [&] { loop.stop(); });
    loop.run();
    cr_assert_gt(failuresSeen, 1, "the server must be checked repeatedly while it is unreachable");
    cr_assert_eq(servers.find(key)->connectFailures, 0);
    const auto openedConnections = client.openedConnections();
    const auto call = client.start(address, http::Request(), http::Call::Hooks());
    cr_assert_eq(
        client.openedConnections(), openedConnections, "the next request must reuse the connection of the check");
}

Test(server_checks, a_removed_server_is_not_checked)
{
    loop::EventLoop loop;
    http::Client client(loop, http::Limits());
    client.setConnectTimeout(CONNECT_TIMEOUT_MS);
    upstreams::ServerRegistry servers;
    const observe::Log log("vm1", "error");
    upstreams::ReachabilityChecker checks(loop, client, servers, log);
    upstreams::ServerEntry entry;
    entry.id = "a";
    entry.address = "127.0.0.1:1";
    servers.put(entry, loop.now());
    servers.recordOutcome(routing::nodeKey("a"), Outcome::Unreachable, loop.now());
    checks.scheduleCheck(routing::nodeKey("a"));
    servers.remove("a");
    loop.after(600, [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(client.openedConnections(), 0);
}

Test(server_checks, a_suspicion_triggers_a_check_and_has_no_other_effect)
{
    using Source = upstreams::ReachabilityChecker::Source;
    loop::EventLoop loop;
    http::Client client(loop, http::Limits());
    client.setConnectTimeout(CONNECT_TIMEOUT_MS);
    upstreams::ServerRegistry servers;
    const observe::Log log("vm1", "error");
    upstreams::ReachabilityChecker checks(loop, client, servers, log);
    const auto openServer = listenAt(loop, "127.0.0.1:0");
    auto closedServer = listenAt(loop, "127.0.0.1:0");
    for (const auto& [id, address] : { std::make_pair("reachable", openServer->address()),
             std::make_pair("unreachable", closedServer->address()) }) {
        upstreams::ServerEntry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = address;
        servers.put(entry, loop.now());
    }
    closedServer.reset();
    std::vector<std::pair<routing::NodeKey, Source>> unavailable;
    checks.onUnreachable = [&](routing::NodeKey server, Source source) { unavailable.emplace_back(server, source); };
    for (int i = 0; i < 3; ++i) {
        checks.suspect(routing::nodeKey("reachable"), Source::Peer);
        checks.suspect(routing::nodeKey("unreachable"), Source::Peer);
    }
    loop.every(10, [&] {
        if (!unavailable.empty())
            loop.stop();
    });
    loop.after(10'000, [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(client.openedConnections(), 2, "one check for each server, however often it is suspected");
    cr_assert_eq(unavailable.size(), 1);
    cr_assert(unavailable[0].first == routing::nodeKey("unreachable") && unavailable[0].second == Source::Peer);
    cr_assert_eq(servers.usable("s", loop.now()).size(), 1);
}
