#include "LifeCycle.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace proofs;

// Exhaustive search: runs ForwardedRequest against all sequences of behaviours of three servers.

namespace {

constexpr std::size_t SERVERS = 3;
constexpr std::size_t BATCH = 230; // concurrent requests; each uses up to four listeners

/// The way in which a server handles a request.
struct Behaviour {
    const char* name;
    bool executes; ///< it executes the request
    Handler handler; ///< empty if its port refuses connections
};

const std::vector<Behaviour>& behaviours()
{
    static const std::vector<Behaviour> all = {
        { "answers", true, answer },
        { "fails", true, fail },
        { "rejects", false, rejectUnexecuted },
        { "breaks off", true, breakOff },
        { "breaks off within its response", true,
            [](const http::Exchange::Ptr& exchange) {
                exchange->startStream(200, {});
                exchange->write("half of it");
                exchange->abort();
            } },
        { "does not respond", true, [](const http::Exchange::Ptr&) {} },
        { "refuses connections", false, nullptr },
    };
    return all;
}

struct Case {
    std::vector<const Behaviour*> servers;
    bool mayRepeat = false;
    std::unique_ptr<LifeCycle> life;
    int executions = 0;

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
        std::size_t rest = code / 2;
        for (std::size_t i = 0; i < SERVERS; ++i) {
            c->servers.push_back(&behaviours()[rest % kinds]);
            rest /= kinds;
        }
        cases.push_back(std::move(c));
    }
    return cases;
}

void begin(Case& c, loop::EventLoop& loop)
{
    c.life = std::make_unique<LifeCycle>(loop);
    c.life->plan.mayRepeat = c.mayRepeat;
    c.life->plan.attempts = 2;
    if (c.mayRepeat)
        c.life->plan.firstByteTimeoutMs = c.life->plan.idleTimeoutMs = 300;
    for (std::size_t i = 0; i < c.servers.size(); ++i) {
        const Behaviour& server = *c.servers[i];
        const std::string name = "server" + std::to_string(i);
        if (!server.handler) {
            c.life->addUnreachableServer(name);
            continue;
        }
        c.life->addServer(name, [&c, &server](const http::Exchange::Ptr& exchange) {
            c.executions += server.executes;
            server.handler(exchange);
        });
    }
    c.life->begin();
}

std::string describeError(const Trace& trace)
{
    if (!trace.error)
        return "no error was reported";
    return "failed with " + std::to_string(static_cast<int>(trace.error->code)) + " (" + trace.error->context + ")";
}

void check(const Case& c)
{
    const Trace& trace = c.life->trace;
    const std::string name = c.name();
    cr_expect(trace.summary.has_value(), "%s the request has not ended", name.c_str());
    cr_expect_leq(c.executions, c.mayRepeat ? 2 : 1, "%s executed %d times", name.c_str(), c.executions);
    if (trace.error && trace.error->possibleRuns == 0)
        cr_expect_eq(c.executions, 0, "%s reported as not executed", name.c_str());
    cr_expect(!(trace.error && trace.completeResponses > 0), "%s both a response and an error", name.c_str());
    cr_expect_leq(trace.completeResponses, 1, "%s more than one response", name.c_str());
    const bool hasSucceeded = trace.completeResponses == 1 && trace.callerStatus == 200;
    cr_expect(
        !hasSucceeded || trace.callerBody == "done", "%s a truncated response was forwarded as complete", name.c_str());
    for (const auto& [server, count] : trace.unreleased)
        cr_expect_eq(count, 0, "%s %s has an unreleased placement after the end", name.c_str(), server.c_str());
    // A request succeeds if a server that answers comes before the server whose failure ends it.
    const std::size_t allowedExecutions = c.mayRepeat ? 2 : 1;
    std::size_t failedExecutions = 0;
    for (const auto* server : c.servers) {
        if (std::string(server->name) == "answers") {
            cr_expect(hasSucceeded, "%s it could have been served, but %s", name.c_str(), describeError(trace).c_str());
            break;
        }
        failedExecutions += server->executes;
        if (failedExecutions >= allowedExecutions)
            break;
    }
}

} // namespace

Test(forward_search, every_sequence_of_three_servers_is_handled_correctly)
{
    auto cases = allCases();
    for (std::size_t from = 0; from < cases.size(); from += BATCH) {
        loop::EventLoop loop;
        const std::size_t to = std::min(from + BATCH, cases.size());
        for (std::size_t i = from; i < to; ++i)
            begin(*cases[i], loop);
        loop.every(POLL_PERIOD_MS, [&] {
            if (std::all_of(cases.begin() + static_cast<std::ptrdiff_t>(from),
                    cases.begin() + static_cast<std::ptrdiff_t>(to), [](const auto& c) { return c->life->hasEnded(); }))
                loop.stop();
        });
        loop.after(MAX_RUN_MS, [&] { loop.stop(); });
        loop.run();
        for (std::size_t i = from; i < to; ++i) {
            check(*cases[i]);
            cases[i]->life.reset();
        }
    }
    std::printf("%zu sequences\n", cases.size());
}
