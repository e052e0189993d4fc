#include "FrontFaults.h"
#include "harness/PersistentConnection.h"

#include <criterion/criterion.h>

#include <atomic>
#include <cstdlib>
#include <mutex>
#include <numeric>
#include <random>
#include <set>
#include <thread>

using namespace goldcrestcleat::harness;
using namespace proofs;
using nlohmann::json;

// A soak of the daemons on the users' platform: callers on kept connections, faults from outside in series that
// overlap, and the promises checked from what callers received and servers ran. SOAK_SEED and SOAK_COUNT choose the
// seeds; SOAK_STEPS the length of each run.

namespace {

constexpr int CALLERS = 6;
constexpr int STEP_MS = 120;
constexpr int DEFAULT_STEPS = 60;
constexpr int ANSWER_TIMEOUT_MS = 9'000; // over the time-out of every route
constexpr int PAUSE_AFTER_FAILURE_MS = 10;
constexpr int MOST_RUNS = 2; // the routes' attempts
constexpr std::uint64_t LONGEST_STREAM = 12;

/// Seeds that failed once, each with its cause, are played again by CI.
///
/// All three: requests of one content were banned after others of that content had been cut off at lost answers, and
/// the ban never ended. Now only servers that ended count, a whole answer clears the content at all daemons, and a ban
/// ends.
const std::vector<std::uint64_t> REGRESSION_SEEDS = { 19, 43, 57 };

int numberFromEnvironment(const char* name, int fallback)
{
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : fallback;
}

/// One request as its caller saw it.
struct Seen {
    std::string id;
    std::string path;
    bool mayRepeat = false;
    std::uint64_t events = 0; ///< that its stream has; 0 for a plain answer
    ConnectionAnswer answer;
};

/// Callers that keep their connections and go on calling whatever happens.
class Callers {
public:
    Callers(FrontRig& rig, std::uint64_t seed)
        : rig_(rig)
    {
        for (int i = 0; i < CALLERS; ++i)
            threads_.emplace_back([this, seed, i] { run(seed * CALLERS + static_cast<std::uint64_t>(i)); });
    }

    /// Ends all callers and returns what they saw.
    std::vector<Seen> stop()
    {
        isStopping_ = true;
        for (auto& thread : threads_)
            thread.join();
        return seen_;
    }

private:
    void run(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::unique_ptr<PersistentConnection> connection;
        while (!isStopping_) {
            if (!connection || random() % 8 == 0)
                connection
                    = std::make_unique<PersistentConnection>(rig_.callerAddress(static_cast<int>(random() % DAEMONS)));
            Seen seen = choose(random);
            Headers headers = FrontRig::validHeaders(
                { { "Model", "m" }, { "Token-Usage", "50,10" }, { "Prompt-Prefix", promptOf(random) } });
            seen.id = headers.at("Request-Id");
            seen.answer = connection->call(seen.mayRepeat ? "GET" : "POST", seen.path, headers, ANSWER_TIMEOUT_MS);
            if (!seen.answer.isComplete) {
                connection.reset();
                sleepMs(PAUSE_AFTER_FAILURE_MS);
            }
            const std::lock_guard<std::mutex> lock(mutex_);
            seen_.push_back(std::move(seen));
        }
    }

    static std::string promptOf(std::mt19937_64& random)
    {
        return "aa:10,b" + std::to_string(random() % 5) + ":30,c:5";
    }

    static Seen choose(std::mt19937_64& random)
    {
        Seen seen;
        const std::uint64_t events = 1 + random() % LONGEST_STREAM;
        // Most requests have a content of their own, as real ones do; requests of one content are stopped together once
        // three servers have ended under it.
        const std::string content = random() % 16 == 0 ? "shared" : std::to_string(random());
        switch (random() % 4) {
        case 0:
            seen.path = "/read/" + content;
            seen.mayRepeat = true;
            break;
        case 1:
            seen.path = "/book/" + content;
            break;
        case 2:
            seen.path = "/chat/" + content + "/" + std::to_string(events);
            seen.mayRepeat = true;
            seen.events = events;
            break;
        default:
            seen.path = "/talk/" + content + "/" + std::to_string(events);
            seen.events = events;
        }
        return seen;
    }

    FrontRig& rig_;
    std::atomic<bool> isStopping_ { false };
    std::mutex mutex_;
    std::vector<Seen> seen_;
    std::vector<std::thread> threads_;
};

/// Checks the promises; returns a line for each that was broken.
std::vector<std::string> brokenPromises(const FrontRig& rig, const std::vector<Seen>& seen)
{
    std::vector<std::string> broken;
    std::map<std::string, int> runs;
    for (const auto& run : rig.serverEvents("run")) {
        ++runs[run["id"]];
        if (run["workspace"] != FrontRig::WORKSPACE || !run["key"].get<std::string>().empty())
            broken.push_back("a run without its workspace or with the key: " + run.dump());
    }
    std::set<std::string> sent;
    for (const auto& s : seen) {
        sent.insert(s.id);
        const std::string name = s.path + " " + s.id + " status " + std::to_string(s.answer.status);
        const int count = runs.count(s.id) ? runs.at(s.id) : 0;
        if (count > (s.mayRepeat ? MOST_RUNS : 1))
            broken.push_back(name + ": ran " + std::to_string(count) + " times");
        if ((s.answer.status == 503 || s.answer.status == 429 || s.answer.status == 408) && count > 0)
            broken.push_back(name + ": refused though it ran");
        if (s.answer.status >= 400 && s.answer.status < 429 && s.answer.status != 408)
            broken.push_back(name + ": a proper request was denied");
        if (s.answer.status != 200)
            continue;
        if (!s.answer.isSigned || s.answer.requestId != s.id)
            broken.push_back(name + ": a success that no server signed for it");
        std::vector<std::uint64_t> expected(s.answer.eventIds.size());
        std::iota(expected.begin(), expected.end(), 1);
        if (s.answer.eventIds != expected)
            broken.push_back(name + ": events are missing, doubled or out of order");
        const bool isComplete = s.events > 0 ? expected.size() == s.events && !s.answer.hasPartialEvent
                                             : s.answer.body == "answer to " + s.id;
        if (s.answer.isComplete && !isComplete)
            broken.push_back(name + ": looks whole and is not");
    }
    for (const auto& [id, count] : runs) {
        if (sent.count(id) == 0)
            broken.push_back("a run that no caller asked for: " + id);
    }
    return broken;
}

bool isServedEverywhere(const FrontRig& rig)
{
    for (int i = 0; i < DAEMONS; ++i) {
        if (rig.entryAddresses(i).size() != DAEMONS || rig.call(i, "GET", "/read/after").status != 200
            || !rig.stream(i, "/chat/after/3").isComplete)
            return false;
    }
    return true;
}

void soak(std::uint64_t seed)
{
    FrontRigOptions options;
    options.daemons = DAEMONS;
    options.engines = ENGINES;
    options.apps = APPS;
    options.bounds = { { "stopGraceS", 3 } };
    FrontRig rig(options);
    rig.start();
    Callers callers(rig, seed);
    FrontFaults faults(rig, seed);
    for (int step = 0; step < numberFromEnvironment("SOAK_STEPS", DEFAULT_STEPS); ++step) {
        faults.step();
        sleepMs(STEP_MS);
        cr_expect_eq(faults.unexplainedEnds(), 0, "seed %llu: a daemon ended by itself at step %d",
            static_cast<unsigned long long>(seed), step);
    }
    // Two rounds, since a daemon may still be on its way through a planned stop in the first.
    faults.undoAll();
    sleepMs(3'500);
    faults.undoAll();
    const bool isBack = waitUntil([&] { return isServedEverywhere(rig); }, 15'000);
    auto seen = callers.stop();
    cr_expect(isBack, "seed %llu: not all daemons serve again; logs are in %s", static_cast<unsigned long long>(seed),
        rig.folder().c_str());
    // The checks' own requests count as sent ones.
    for (const auto& line : rig.serverEvents("run")) {
        if (line["path"] == "/read/after" || line["path"] == "/chat/after/3")
            seen.push_back({ line["id"], line["path"], true, 0, {} });
    }
    const auto broken = brokenPromises(rig, seen);
    for (const auto& line : broken)
        cr_expect_fail("seed %llu: %s", static_cast<unsigned long long>(seed), line.c_str());
    int served = 0;
    for (const auto& s : seen)
        served += s.answer.status == 200 && s.answer.isComplete;
    std::printf("soak seed %llu: %zu requests, %d served whole, %zu promises broken\n",
        static_cast<unsigned long long>(seed), seen.size(), served, broken.size());
}

} // namespace

Test(front_soak, promises_hold_under_overlapping_faults, .timeout = 3000)
{
    const auto first = static_cast<std::uint64_t>(numberFromEnvironment("SOAK_SEED", 1));
    const int count = numberFromEnvironment("SOAK_COUNT", 2);
    for (int i = 0; i < count; ++i)
        soak(first + static_cast<std::uint64_t>(i));
}

Test(front_soak, seeds_that_failed_once, .timeout = 3000)
{
    for (const auto seed : REGRESSION_SEEDS)
        soak(seed);
}
