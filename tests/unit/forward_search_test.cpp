#include "LifeCycle.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace proofs;

// Plays one request against every sequence of what three servers may do, with the real life cycle.

namespace {

constexpr std::size_t SERVERS = 3;
constexpr std::size_t BATCH = 230; // requests at once; each has four listeners

/// What a server does with a request.
struct Behaviour {
    const char* name;
    bool runs; ///< the request runs there
    Handler handler; ///< empty where nobody listens
};

const std::vector<Behaviour>& behaviours()
{
    static const std::vector<Behaviour> all = {
        { "answers", true, answer },
        { "fails", true, fail },
        { "rejects", false, rejectUnrun },
        { "breaks off", true, breakOff },
        { "breaks off within its answer", true,
            [](const http::Exchange::Ptr& exchange) {
                exchange->startStream(200, {});
                exchange->write("half of it");
                exchange->abort();
            } },
        { "is silent", true, [](const http::Exchange::Ptr&) {} },
        { "is dead", false, nullptr },
    };
    return all;
}

struct Case {
    std::vector<const Behaviour*> servers;
    bool mayRepeat = false;
    std::unique_ptr<LifeCycle> life;
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
            c.life->addDeadServer(name);
            continue;
        }
        c.life->addServer(name, [&c, &server](const http::Exchange::Ptr& exchange) {
            c.runs += server.runs;
            server.handler(exchange);
        });
    }
    c.life->begin();
}

std::string endingOf(const Story& story)
{
    if (!story.ending)
        return "it was not refused either";
    return "ended with " + std::to_string(static_cast<int>(story.ending->code)) + " (" + story.ending->context + ")";
}

void check(const Case& c)
{
    const Story& story = c.life->story;
    const std::string name = c.name();
    cr_expect(story.summary.has_value(), "%s it has not ended", name.c_str());
    cr_expect_leq(c.runs, c.mayRepeat ? 2 : 1, "%s %d runs", name.c_str(), c.runs);
    if (story.ending && story.ending->possibleRuns == 0)
        cr_expect_eq(c.runs, 0, "%s told as not run", name.c_str());
    cr_expect(!(story.ending && story.callerAnswers > 0), "%s answered and refused", name.c_str());
    cr_expect_leq(story.callerAnswers, 1, "%s answered twice", name.c_str());
    const bool isServed = story.callerAnswers == 1 && story.callerStatus == 200;
    cr_expect(!isServed || story.callerBody == "done", "%s a part passed for the whole", name.c_str());
    for (const auto& [server, count] : story.held)
        cr_expect_eq(count, 0, "%s %s is held after the end", name.c_str(), server.c_str());
    // A request is served when a server that answers comes before every server that ends it.
    const std::size_t runsAllowed = c.mayRepeat ? 2 : 1;
    std::size_t failedRuns = 0;
    for (const auto* server : c.servers) {
        if (std::string(server->name) == "answers") {
            cr_expect(isServed, "%s it could have been served, but %s", name.c_str(), endingOf(story).c_str());
            break;
        }
        failedRuns += server->runs;
        if (failedRuns >= runsAllowed)
            break;
    }
}

} // namespace

Test(forward_search, every_sequence_of_three_servers_keeps_the_promises)
{
    auto cases = allCases();
    for (std::size_t from = 0; from < cases.size(); from += BATCH) {
        loop::EventLoop loop;
        const std::size_t to = std::min(from + BATCH, cases.size());
        for (std::size_t i = from; i < to; ++i)
            begin(*cases[i], loop);
        loop.every(LOOK_MS, [&] {
            if (std::all_of(cases.begin() + static_cast<std::ptrdiff_t>(from),
                    cases.begin() + static_cast<std::ptrdiff_t>(to), [](const auto& c) { return c->life->hasEnded(); }))
                loop.stop();
        });
        loop.after(LONGEST_PLAY_MS, [&] { loop.stop(); });
        loop.run();
        for (std::size_t i = from; i < to; ++i) {
            check(*cases[i]);
            cases[i]->life.reset();
        }
    }
    std::printf("%zu sequences\n", cases.size());
}
