#include "Rig.h"

#include <algorithm>
#include <csignal>

// A daemon gets SIGTERM while an engine pauses in the middle of its streams, for less time than clients wait. The other
// engine is full.

using namespace review;

namespace {

constexpr int DAEMONS = 2;
constexpr int STREAMS = 6;
constexpr int EVENTS = 40;
constexpr std::int64_t EVENT_MS = 50;
constexpr int PAUSE_BEFORE_EVENT = 16;
constexpr std::int64_t PAUSE_MS = 2'000; // clients wait 3.2 s: eight times the pause that the route declares
constexpr std::int64_t STOP_AFTER_MS = 400;
constexpr std::int64_t GRACE_MS = 8'000;
constexpr std::int64_t CLIENT_WAITS_MS = 12'000;

class Scenario {
public:
    explicit Scenario(const Options& options)
        : options_(options)
        , rig_(options, DAEMONS)
    {
    }

    int run()
    {
        Server& sound = rig_.addServer("engine-0", {}, [this](Server& s, Arrival& a) { return serve(s, a); });
        Server& full = rig_.addServer("engine-1", {}, [this](Server& s, Arrival& a) { return serve(s, a); });
        (void)sound;
        full_ = &full;
        auto route = makeRoute("/digest/", "streaming", "assistant");
        route["resumable"] = true;
        route["attempts"] = 2;
        route["goalMs"] = 800;
        if (!rig_.start(nlohmann::json::array({ route })))
            return rig_.finish(NOT_RUN, "the daemons did not start");
        std::vector<std::thread> clients;
        for (int i = 0; i < STREAMS; ++i)
            clients.emplace_back([this, i] { send(i); });
        sleepMs(STOP_AFTER_MS);
        const std::int64_t stoppedAt = nowMs();
        rig_.daemon(0).signal(SIGTERM);
        for (auto& client : clients)
            client.join();
        return judge(stoppedAt);
    }

private:
    bool serve(Server& server, Arrival& arrival)
    {
        if (&server == full_)
            return server.shed(arrival);
        rig_.record().line(server.name() + " runs " + arrival.id + " from event "
            + (arrival.request.field("Last-Event-Id").empty() ? "1" : arrival.request.field("Last-Event-Id") + "+1"));
        return server.stream(arrival, EVENTS,
            [this](int event) { return options_.hasTrouble && event == PAUSE_BEFORE_EVENT ? PAUSE_MS : EVENT_MS; });
    }

    void send(int index)
    {
        Client client(rig_.daemon(0).caller());
        const std::string own = "eeee" + std::to_string(100 + index);
        const Outcome outcome = client.call({ "POST", "/digest/" + std::to_string(index), "key-1",
            "aaaa0001:8000,cc0" + std::to_string(index) + ":2000," + own + ":1300", CLIENT_WAITS_MS });
        rig_.record().line("stream " + outcome.text());
        const std::lock_guard<std::mutex> lock(mutex_);
        outcomes_.push_back(outcome);
    }

    int judge(std::int64_t stoppedAt)
    {
        int cut = 0;
        int begun = 0;
        std::int64_t latestCutMs = 0;
        for (const auto& outcome : outcomes_) {
            begun += outcome.sentAt < stoppedAt && outcome.status == 200 ? 1 : 0;
            if (outcome.isComplete)
                continue;
            ++cut;
            latestCutMs = std::max(latestCutMs, outcome.endedAt - stoppedAt);
        }
        const std::string text = std::to_string(cut) + " of " + std::to_string(outcomes_.size())
            + " streams at the daemon that was stopped ended without a complete answer"
            + (cut > 0 ? ", the last one " + std::to_string(latestCutMs) + " ms after SIGTERM" : "");
        if (begun < STREAMS)
            return rig_.finish(NOT_RUN, text + "; not all of them had begun");
        // In the last sixth of the grace time, a request that its server still works on may be cut.
        const bool isExcused = latestCutMs > GRACE_MS * 5 / 6;
        return rig_.finish(cut > 0 && !isExcused ? BROKEN : HELD, text);
    }

    Options options_;
    Server* full_ = nullptr;
    std::mutex mutex_;
    std::vector<Outcome> outcomes_;
    Rig rig_;
};

} // namespace

int main(int argc, char** argv) { return Scenario(Options::parse(argc, argv)).run(); }
