#include "harness/FrontRig.h"
#include "harness/PersistentConnection.h"

#include <criterion/criterion.h>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>
#include <thread>

using namespace goldcrestcleat::harness;
using nlohmann::json;

// Soak test of how changes reach the daemons: storms of configurations and servers that leave, overlapping with a store
// that returns from an older copy, drops its history, lags or is away, and with daemons that are killed, stopped,
// frozen or cut off. After each round of faults, changes must be in force in time at all daemons. SOAK_SEED and
// SOAK_COUNT select the seeds, SOAK_ROUNDS the length of each run, SOAK_DAEMONS the size of the fleet.

namespace {

constexpr int ENGINES = 1;
constexpr int APPS = 4;
constexpr int CALM_MS = 3'000; // without faults, after which the bounds hold
constexpr int CHANGE_BOUND_MS = 2'000; // from the acknowledgement of a change until all daemons act by it
constexpr int CALLS_AFTER_LEAVING = 5;
constexpr int ANSWER_TIMEOUT_MS = 9'000;
constexpr int START_TIMEOUT_MS = 15'000;
constexpr int STORM_PAUSE_MS = 30;

int numberFromEnvironment(const char* name, int fallback)
{
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : fallback;
}

/// Callers that use open connections until these are closed, and count refusals of a route that always exists.
class Callers {
public:
    explicit Callers(const FrontRig& rig, int daemons)
    {
        for (int daemon = 0; daemon < daemons; ++daemon)
            threads_.emplace_back([this, address = rig.callerAddress(daemon)] { run(address); });
    }

    ~Callers()
    {
        isStopping_ = true;
        for (auto& thread : threads_)
            thread.join();
    }

    int calls() const { return calls_; }
    int refusals() const { return refusals_; }

private:
    void run(const std::string& address)
    {
        PersistentConnection connection(address);
        while (!isStopping_) {
            const auto answer = connection.call("GET", "/read/x", FrontRig::validHeaders({}), ANSWER_TIMEOUT_MS);
            ++calls_;
            if (answer.status == 401 || answer.status == 403 || answer.status == 404)
                ++refusals_;
            sleepMs(answer.status == 200 ? 5 : 50);
        }
    }

    std::atomic<bool> isStopping_ { false };
    std::atomic<int> calls_ { 0 };
    std::atomic<int> refusals_ { 0 };
    std::vector<std::thread> threads_;
};

class Soak {
public:
    Soak(std::uint64_t seed, int daemons)
        : seed_(seed)
        , daemons_(daemons)
        , random_(seed)
        , rig_(optionsOf(daemons))
    {
    }

    void run(int rounds)
    {
        rig_.start();
        int calls = 0;
        {
            Callers callers(rig_, daemons_);
            for (int round = 0; round < rounds; ++round) {
                injectFaults();
                undoFaults();
                sleepMs(CALM_MS);
                checkRoute(round);
                checkLeaving(round);
            }
            calls = callers.calls();
            expect(callers.refusals() == 0, "requests for a route that always exists were refused");
        }
        checkNothingWentBack();
        std::printf("changes soak seed %llu: %d daemons, %d rounds, %d calls, %d violations\n",
            static_cast<unsigned long long>(seed_), daemons_, rounds, calls, violations_);
        std::fflush(stdout);
    }

private:
    static FrontRigOptions optionsOf(int daemons)
    {
        FrontRigOptions options;
        options.daemons = daemons;
        options.engines = ENGINES;
        options.apps = APPS;
        options.bounds = { { "stopGraceS", 3 } };
        return options;
    }

    void expect(bool condition, const std::string& message)
    {
        if (condition)
            return;
        ++violations_;
        rig_.keepFolder();
        cr_expect_fail("seed %llu: %s; after %s; logs are in %s", static_cast<unsigned long long>(seed_),
            message.c_str(), faults_.c_str(), rig_.folder().c_str());
    }

    int randomDaemon() { return static_cast<int>(random_() % static_cast<unsigned>(daemons_)); }

    std::string addRoute()
    {
        const std::string name = "r" + std::to_string(++routes_);
        json route = rig_.configuration["routes"][0];
        route["prefix"] = "/" + name + "/";
        route["name"] = name;
        auto& routes = rig_.configuration["routes"];
        if (routes.size() > 30)
            routes.erase(routes.end() - 10); // an older added one
        routes.push_back(route);
        rig_.publish();
        return "/" + name + "/x";
    }

    // ---- faults ----

    void injectFaults()
    {
        static const std::vector<std::pair<const char*, void (Soak::*)()>> kinds = { { "storm", &Soak::storm },
            { "older copy", &Soak::returnFromCopy }, { "older copy", &Soak::returnFromCopy },
            { "history dropped", &Soak::dropHistory }, { "reads behind", &Soak::lagReads },
            { "store away", &Soak::loseStore }, { "store cut", &Soak::cutStore }, { "freeze", &Soak::freeze },
            { "thaw", &Soak::thaw }, { "kill", &Soak::killDaemon }, { "stop", &Soak::stopDaemon },
            { "start", &Soak::startDaemons }, { "reload", &Soak::reload }, { "leave", &Soak::changeServer } };
        faults_.clear();
        for (int i = 0; i < 8; ++i) {
            const auto& [name, inject] = kinds[random_() % kinds.size()];
            faults_ += (i ? ", " : "") + std::string(name);
            (this->*inject)();
            sleepMs(static_cast<int>(random_() % 400));
        }
    }

    void undoFaults()
    {
        rig_.controlStore({ { "busy", 0 }, { "reset", 0 }, { "silent", 0 }, { "delayMs", 0 }, { "readsBehind", 0 } });
        for (int i = 0; i < daemons_; ++i)
            rig_.storeRelay(i).setMode(RelayMode::Open);
        thaw();
        writeAgain();
        for (int i = 0; i < daemons_; ++i) {
            if (stopped_.count(i) && rig_.daemon(i).waitForExit(START_TIMEOUT_MS) == -1)
                expect(false, "a stopped daemon does not end");
        }
        startDaemons();
        const auto allReady = [&] {
            for (int i = 0; i < daemons_; ++i) {
                if (!rig_.isReady(i))
                    return false;
            }
            return true;
        };
        expect(waitUntil(allReady, START_TIMEOUT_MS), "not all daemons are ready");
    }

    void storm()
    {
        for (int i = 0; i < 20; ++i) {
            addRoute();
            sleepMs(static_cast<int>(random_() % STORM_PAUSE_MS));
        }
    }

    void returnFromCopy()
    {
        rig_.controlStore({ { "restore", 1 + random_() % 40 } });
        sleepMs(static_cast<int>(random_() % 500));
        writeAgain();
    }

    /// The operator and the servers write what they wrote last.
    void writeAgain()
    {
        rig_.controlStore(
            { { "put", { { { "table", "op" }, { "key", "config" }, { "text", rig_.configuration.dump() } } } } });
        rig_.registerServer(FrontRig::engineName(0));
        for (int i = 0; i < APPS; ++i) {
            if (leaving_.count(i))
                rig_.registerServer(FrontRig::appName(i), { { "state", "draining" } });
            else
                rig_.registerServer(FrontRig::appName(i));
        }
    }

    void dropHistory() { rig_.controlStore({ { "compact", true } }); }
    void lagReads() { rig_.controlStore({ { "compact", true }, { "readsBehind", random_() % 10 } }); }

    void loseStore()
    {
        static const std::vector<const char*> modes = { "busy", "reset", "silent" };
        rig_.controlStore({ { modes[random_() % modes.size()], 1 } });
        sleepMs(static_cast<int>(random_() % 1'500));
        rig_.controlStore({ { "busy", 0 }, { "reset", 0 }, { "silent", 0 } });
    }

    void cutStore()
    {
        auto& relay = rig_.storeRelay(randomDaemon());
        if (random_() % 3 == 0)
            relay.blackholeConnections();
        else
            relay.setMode(random_() % 2 ? RelayMode::Closed : RelayMode::Blackhole);
    }

    void freeze() { rig_.daemon(randomDaemon()).suspend(); }

    void thaw()
    {
        for (int i = 0; i < daemons_; ++i)
            rig_.daemon(i).resume();
    }

    void killDaemon()
    {
        const int daemon = randomDaemon();
        rig_.daemon(daemon).kill();
        stopped_.insert(daemon);
    }

    void stopDaemon()
    {
        const int daemon = randomDaemon();
        rig_.daemon(daemon).signal(SIGTERM);
        stopped_.insert(daemon);
    }

    void startDaemons()
    {
        for (int i = 0; i < daemons_; ++i) {
            if (!rig_.daemon(i).isRunning()) {
                expect(stopped_.erase(i) > 0, "a daemon ended by itself: " + rig_.logEnd(i));
                rig_.startDaemon(i);
            }
        }
    }

    void reload()
    {
        const int daemon = randomDaemon();
        const std::string path = rig_.settingsPath(daemon);
        json settings = json::parse(std::ifstream(path));
        settings["bounds"]["retryExtra"] = 100 + random_() % 50;
        std::ofstream(path) << settings.dump(2);
        rig_.daemon(daemon).signal(SIGHUP);
    }

    /// A server that leaves does so until it is started anew, and at least one stays.
    void changeServer()
    {
        const int app = 1 + static_cast<int>(random_() % (APPS - 1));
        if (leaving_.erase(app)) {
            rig_.startServer(FrontRig::appName(app), "app");
        } else {
            leaving_.insert(app);
            rig_.registerServer(FrontRig::appName(app), { { "state", "draining" } });
        }
    }

    // ---- checks ----

    void checkRoute(int round)
    {
        const std::string path = addRoute();
        std::vector<std::thread> threads;
        std::vector<int> statuses(static_cast<std::size_t>(daemons_));
        for (int daemon = 0; daemon < daemons_; ++daemon)
            threads.emplace_back([&, daemon] {
                auto& status = statuses[static_cast<std::size_t>(daemon)];
                waitUntil(
                    [&] {
                        status = rig_.call(daemon, "GET", path).status;
                        return status == 200;
                    },
                    CHANGE_BOUND_MS);
            });
        for (auto& thread : threads)
            thread.join();
        for (int daemon = 0; daemon < daemons_; ++daemon) {
            const int status = statuses[static_cast<std::size_t>(daemon)];
            expect(status == 200,
                "round " + std::to_string(round) + ": daemon " + std::to_string(daemon) + " answers a new route with "
                    + std::to_string(status));
        }
    }

    void checkLeaving(int round)
    {
        const int app = 1 + round % (APPS - 1);
        const std::string name = FrontRig::appName(app);
        if (leaving_.insert(app).second)
            rig_.registerServer(name, { { "state", "draining" } });
        sleepMs(CHANGE_BOUND_MS);
        std::set<std::string> ids;
        for (int daemon = 0; daemon < daemons_; ++daemon) {
            for (int i = 0; i < CALLS_AFTER_LEAVING; ++i) {
                std::string id;
                rig_.call(daemon, "POST", "/book/a", {}, "", &id);
                ids.insert(id);
            }
        }
        int reached = 0;
        for (const auto& run : rig_.serverEvents("run"))
            reached += run["server"] == name && ids.count(run["id"]);
        expect(reached == 0,
            "round " + std::to_string(round) + ": " + std::to_string(reached)
                + " requests reached a server that leaves");
        leaving_.erase(app);
        rig_.startServer(name, "app");
    }

    /// In one life of a daemon its configuration never goes back.
    void checkNothingWentBack()
    {
        for (int daemon = 0; daemon < daemons_; ++daemon) {
            for (const auto& line : rig_.logLines(daemon, "configuration"))
                expect(line["version"] > line["from"], "a configuration went back: " + line.dump());
        }
    }

    const std::uint64_t seed_;
    const int daemons_;
    std::mt19937_64 random_;
    FrontRig rig_;
    std::set<int> stopped_; // daemons that were killed or told to stop
    std::set<int> leaving_; // indices of apps
    std::string faults_; // of this round, for messages
    int routes_ = 0;
    int violations_ = 0;
};

} // namespace

/// Guards against changes that are acknowledged and not in force, and against requests to servers that leave.
Test(changes_soak, changes_are_in_force_in_time_after_overlapping_faults, .timeout = 3000)
{
    const auto first = static_cast<std::uint64_t>(numberFromEnvironment("SOAK_SEED", 1));
    const int count = numberFromEnvironment("SOAK_COUNT", 2);
    for (int i = 0; i < count; ++i)
        Soak(first + static_cast<std::uint64_t>(i), numberFromEnvironment("SOAK_DAEMONS", 4))
            .run(numberFromEnvironment("SOAK_ROUNDS", 3));
}
