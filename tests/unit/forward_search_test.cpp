#include "RequestFixture.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace testing;

// Runs one request against every combination of the behaviours of three servers, through the real `ForwardedRequest`.

namespace {

constexpr std::size_t SERVERS = 3;
constexpr loop::TimeMs POLL_MS = 10;
constexpr std::size_t BATCH = 230; // concurrent requests; each opens four listening sockets

/// How a server responds to a request.
struct Behaviour {
    const char* name;
    bool runs; ///< the server executes the request
    Handler handler; ///< empty when the port refuses connections
};

const std::vector<Behaviour>& behaviours()
{
    static const std::vector<Behaviour> all = {
        { "answers", true, answer },
        { "fails", true, fail },
        { "rejects", false, rejectUnexecuted },
        { "aborts", true, abortConnection },
        { "aborts within its answer", true,
            [](const http::Exchange::Ptr& exchange) {
                exchange->startStream(200, {});
                exchange->write("partial answer");
                exchange->abort();
            } },
        { "does not answer", true, [](const http::Exchange::Ptr&) {} },
        { "refuses connections", false, nullptr },
    };
    return all;
}

struct Case {
    std::vector<const Behaviour*> servers;
    bool mayRepeat = false;
    std::unique_ptr<RequestFixture> fixture;
    int runs = 0;

    std::string name() const
    {
        std::string text = mayRepeat ? "repeatable:" : "not repeatable:";
        for (const auto* server : servers)
            text += std::string(" ") + server->name + ";";
        return text;
    }
};

std::vector<std::unique_ptr<Case>> allCases()
{
    std::vector<std::unique_ptr<Case>> cases;
    const std::size_t kinds = behaviours().size();
    for (std::size_t code = 0; code < kinds * kinds * kinds * 2; ++code) {
        auto c = std::make_unique<Case>();
        c->mayRepeat = code % 2 == 1;
        std::size_t remaining = code / 2;
        for (std::size_t i = 0; i < SERVERS; ++i) {
            c->servers.push_back(&behaviours()[remaining % kinds]);
            remaining /= kinds;
        }
        cases.push_back(std::move(c));
    }
    return cases;
}

void begin(Case& c, loop::EventLoop& loop)
{
    c.fixture = std::make_unique<RequestFixture>(loop);
    c.fixture->plan.mayRepeat = c.mayRepeat;
    c.fixture->plan.attempts = 2;
    if (c.mayRepeat)
        c.fixture->plan.firstByteTimeoutMs = c.fixture->plan.idleTimeoutMs = 300;
    for (std::size_t i = 0; i < c.servers.size(); ++i) {
        const Behaviour& server = *c.servers[i];
        const std::string name = "server" + std::to_string(i);
        if (!server.handler) {
            c.fixture->addClosedPort(name);
            continue;
        }
        c.fixture->addServer(name, [&c, &server](const http::Exchange::Ptr& exchange) {
            c.runs += server.runs;
            server.handler(exchange);
        });
    }
    c.fixture->begin();
}

std::string describeEnding(const RequestResult& result)
{
    if (!result.error)
        return "it was neither served nor refused";
    return "ended with " + std::to_string(static_cast<int>(result.error->code)) + " (" + result.error->context + ")";
}

void check(const Case& c)
{
    const RequestResult& result = c.fixture->result;
    const std::string name = c.name();
    cr_expect(result.summary.has_value(), "%s the request has not ended", name.c_str());
    cr_expect_leq(c.runs, c.mayRepeat ? 2 : 1, "%s the request ran %d times", name.c_str(), c.runs);
    if (result.error && result.error->possibleRuns == 0)
        cr_expect_eq(c.runs, 0, "%s the request ran and was reported as not run", name.c_str());
    cr_expect(!(result.error && result.completeAnswers > 0), "%s the request was answered and refused", name.c_str());
    cr_expect_leq(result.completeAnswers, 1, "%s the request was answered more than once", name.c_str());
    const bool isServed = result.completeAnswers == 1 && result.callerStatus == 200;
    cr_expect(!isServed || result.callerBody == "done", "%s a partial answer was delivered as complete", name.c_str());
    for (const auto& [server, count] : result.heldPlacements)
        cr_expect_eq(count, 0, "%s the placement at %s was not released", name.c_str(), server.c_str());
    // A request must be served when a server that answers is tried before failed executions use up those allowed.
    const std::size_t allowedRuns = c.mayRepeat ? 2 : 1;
    std::size_t failedRuns = 0;
    for (const auto* server : c.servers) {
        if (std::string(server->name) == "answers") {
            cr_expect(isServed, "%s the request could have been served, but %s", name.c_str(),
                describeEnding(result).c_str());
            break;
        }
        failedRuns += server->runs;
        if (failedRuns >= allowedRuns)
            break;
    }
}

} // namespace

Test(forward_search, every_sequence_of_three_servers_satisfies_the_guarantees)
{
    auto cases = allCases();
    for (std::size_t from = 0; from < cases.size(); from += BATCH) {
        loop::EventLoop loop;
        const std::size_t to = std::min(from + BATCH, cases.size());
        for (std::size_t i = from; i < to; ++i)
            begin(*cases[i], loop);
        loop.every(POLL_MS, [&] {
            if (std::all_of(cases.begin() + static_cast<std::ptrdiff_t>(from),
                    cases.begin() + static_cast<std::ptrdiff_t>(to),
                    [](const auto& c) { return c->fixture->hasEnded(); }))
                loop.stop();
        });
        loop.after(RUN_TIMEOUT_MS, [&] { loop.stop(); });
        loop.run();
        for (std::size_t i = from; i < to; ++i) {
            check(*cases[i]);
            cases[i]->fixture.reset();
        }
    }
    std::printf("%zu sequences\n", cases.size());
}
