#include "RoutedFixture.h"

using namespace testing;
using upstreams::ServerRegistry;

// Announcements of servers in their responses: that they leave, and that they want no requests for a time.

namespace {

Poco::Net::HTTPResponse responseWith(int status, const std::vector<std::pair<std::string, std::string>>& fields)
{
    Poco::Net::HTTPResponse response(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    for (const auto& [name, value] : fields)
        response.set(name, value);
    return response;
}

forwarding::ResponseHead headOf(int status, const std::vector<std::pair<std::string, std::string>>& fields)
{
    return platform::makeHeaderDialect().readHead(responseWith(status, fields));
}

} // namespace

Test(server_announcements, leaving_is_read_from_any_response_of_the_server_itself)
{
    for (const int status : { 200, 404, 429, 500, 503 })
        cr_assert(headOf(status, { { "Server-Leaving", "1" } }).isServerLeaving, "status %d", status);
    cr_assert_not(headOf(421, { { "Server-Leaving", "1" } }).isServerLeaving, "another server has answered");
    cr_assert_not(headOf(200, { { "Server-Leaving", "0" } }).isServerLeaving);
    cr_assert_not(headOf(200, {}).isServerLeaving);
}

Test(server_announcements, a_back_off_is_bounded_and_invalid_values_are_ignored)
{
    const std::vector<std::pair<const char*, loop::TimeMs>> cases
        = { { "2", 2'000 }, { "0.25", 250 }, { " 1.5 ", 1'500 }, { "0.0001", 1 }, { "0", 0 }, { "-3", 0 }, { "", 0 },
              { "soon", 0 }, { "nan", 0 }, { "1e300", 3'600'000 }, { "inf", 3'600'000 }, { "2 s", 0 } };
    for (const auto& [value, expected] : cases)
        cr_assert_eq(headOf(503, { { "Retry-After", value } }).backOffMs, expected, "'%s'", value);
    cr_assert_eq(headOf(503, {}).backOffMs, 0);
    cr_assert_eq(headOf(429, { { "Retry-After", "2" } }).backOffMs, 0, "only 503 is a back-off of the server");
}

Test(server_announcements, a_response_without_the_request_id_counts_only_as_a_rejection)
{
    const auto dialect = platform::makeHeaderDialect();
    const auto isResponse = [&](int status, const std::vector<std::pair<std::string, std::string>>& fields) {
        return dialect.isResponseTo(responseWith(status, fields), "r1");
    };
    cr_assert(isResponse(200, { { "Request-Id", "r1" } }));
    cr_assert_not(isResponse(200, { { "Request-Id", "r2" } }));
    cr_assert_not(isResponse(200, { { "Server-Seal", "s" } }), "may be a late copy of another response");
    cr_assert_not(isResponse(500, {}));
    cr_assert(isResponse(503, { { "Not-Executed", "1" } }));
    cr_assert(isResponse(421, {}));
    cr_assert_not(isResponse(503, { { "Not-Executed", "1" }, { "Request-Id", "r2" } }));
}

Test(
    server_announcements, a_server_that_announces_that_it_leaves_gets_no_more_requests_until_it_restarts, .timeout = 20)
{
    RoutedFixture f;
    f.addServer("a", [](const auto& exchange) { RoutedFixture::succeed(exchange, { { "Server-Leaving", "1" } }); });
    f.addServer("b", [](const auto& exchange) { RoutedFixture::succeed(exchange); });
    for (int i = 0; i < 20; ++i)
        cr_assert_eq(f.call().status, 200);
    cr_assert_eq(f.arrivals["a"], 1, "its answer is passed on, and nothing is sent to it afterwards");
    cr_assert_eq(f.reportedLeaving.size(), 1);
    cr_assert(f.reportedLeaving[0] == f.entryOf("a").instance());

    f.servers.put(f.entryOf("a"), f.loop.now());
    f.servers.markRemoved({ "a" }, true, f.loop.now());
    f.servers.put(f.entryOf("a"), f.loop.now());
    for (int i = 0; i < 20; ++i)
        f.call();
    cr_assert_eq(f.arrivals["a"], 1, "the store lists it again as ready");

    f.servers.put(f.entryOf("a", 2), f.loop.now());
    for (int i = 0; i < 20; ++i)
        f.call();
    cr_assert_eq(f.arrivals["a"], 2, "a new start of the server is used");
}

Test(server_announcements, a_leaving_server_gets_no_retry, .timeout = 20)
{
    RoutedFixture f;
    const auto failLeaving = [](const auto& exchange) {
        RoutedFixture::succeed(exchange, { { "Server-Leaving", "1" } }, 500);
    };
    f.addServer("a", failLeaving);
    f.addServer("b", failLeaving);
    f.addServer("c", [](const auto& exchange) { RoutedFixture::succeed(exchange); });
    for (int i = 0; i < 10; ++i)
        f.call();
    cr_assert_leq(f.arrivals["a"], 1);
    cr_assert_leq(f.arrivals["b"], 1);
}

Test(server_announcements, a_server_that_backs_off_gets_no_requests_for_the_time_it_states, .timeout = 20)
{
    RoutedFixture f;
    bool isFull = true;
    f.addServer("a", [&](const auto& exchange) {
        if (isFull)
            RoutedFixture::reject(exchange, { { "Retry-After", "0.4" } });
        else
            RoutedFixture::succeed(exchange);
    });
    f.addServer("b", [](const auto& exchange) { RoutedFixture::succeed(exchange); });
    while (f.arrivals["a"] == 0)
        cr_assert_eq(f.call().status, 200, "a rejected request goes to another server");
    const loop::TimeMs rejectedAt = f.loop.now();
    isFull = false;
    while (f.arrivals["a"] == 1)
        cr_assert_eq(f.call().status, 200);
    cr_assert_geq(f.loop.now() - rejectedAt, 400);
}

Test(
    server_announcements, when_all_servers_back_off_a_request_is_refused_at_once_until_the_first_returns, .timeout = 20)
{
    RoutedFixture f;
    f.addServer("a", [](const auto& exchange) { RoutedFixture::reject(exchange, { { "Retry-After", "3" } }); });
    f.addServer("b", [](const auto& exchange) { RoutedFixture::reject(exchange, { { "Retry-After", "30" } }); });
    cr_assert_eq(f.call().status, 503);
    for (int i = 0; i < 5; ++i) {
        const auto answer = f.call();
        cr_assert_eq(answer.status, 503);
        const double seconds = std::stod(answer.retryAfter);
        cr_assert(seconds > 2 && seconds < 4.5, "%s", answer.retryAfter.c_str());
    }
    cr_assert_eq(f.arrivals["a"] + f.arrivals["b"], 2, "no request may reach a server that has backed off");
}

Test(server_announcements, servers_that_back_off_leave_the_service_to_those_that_are_avoided)
{
    ServerRegistry registry;
    for (const char* id : { "a", "b" }) {
        upstreams::ServerEntry entry;
        entry.id = id;
        entry.service = "s";
        entry.address = std::string("10.0.0.1:") + (id[0] == 'a' ? "1" : "2");
        registry.put(entry, 0);
    }
    registry.recordOutcome(routing::nodeKey("a"), upstreams::Outcome::Unreachable, 0);
    registry.backOff(routing::nodeKey("b"), 1'000);
    registry.backOff(routing::nodeKey("b"), 500);
    cr_assert_eq(registry.usable("s", 999).size(), 1);
    cr_assert(registry.usable("s", 999)[0]->entry.id == "a");
    cr_assert(registry.usable("s", 1'000)[0]->entry.id == "b", "the longer back-off applies");
    cr_assert_eq(registry.backedOffUntil("s", 0).value_or(0), 1'000);
    cr_assert_not(registry.backedOffUntil("s", 1'000).has_value());
}

Test(server_announcements, the_number_of_remembered_instances_is_bounded)
{
    ServerRegistry registry;
    for (std::uint32_t i = 1; i <= ServerRegistry::MAX_LEAVING_INSTANCES + 10; ++i) {
        cr_assert(registry.markLeaving({ i, 1, "10.0.0.1:1" }));
        cr_assert_not(registry.markLeaving({ i, 1, "10.0.0.1:1" }));
    }
    cr_assert_eq(registry.leavingInstances().size(), ServerRegistry::MAX_LEAVING_INSTANCES);
    cr_assert_eq(registry.leavingInstances().back().server, ServerRegistry::MAX_LEAVING_INSTANCES + 10);
}
