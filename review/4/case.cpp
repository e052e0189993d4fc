#include "Rig.h"

#include <algorithm>

// One daemon is cut off from the store. Meanwhile the only server of a service is taken away: its entry is removed, it
// serves on for a while and exits. The other daemons reach the store all the time.

using namespace review;

namespace {

constexpr int DAEMONS = 3;
constexpr int OTHER_SERVERS = 3; // of another service; one of four servers is taken away
constexpr std::int64_t DRAIN_MS = 2'000; // of the site
constexpr std::int64_t CUT_MS = 4'000;
constexpr std::int64_t REMOVED_AFTER_MS = 2'500; // from the beginning of the cut
constexpr std::int64_t EXIT_AFTER_MS = 4'000; // from the removal: drainMs and a little longer
constexpr std::int64_t WORK_MS = 120;
constexpr int OTHER_EVENTS = 20;
constexpr std::int64_t OTHER_EVENT_MS = 30;
constexpr std::int64_t CONTACT_MS = 3'000; // of the site
constexpr std::int64_t START_GAP_MS = 27; // keeps the clients out of step
constexpr int CLIENTS = 6; // as many as the server has slots

class Scenario {
public:
    explicit Scenario(const Options& options)
        : options_(options)
        , rig_(options, DAEMONS)
    {
    }

    int run()
    {
        Server::Settings settings;
        settings.service = "booking";
        settings.slots = 6;
        settings.isEngine = false;
        Server& server = rig_.addServer("booking-0", settings, [this](Server& s, Arrival& a) { return serve(s, a); });
        for (int i = 0; i < OTHER_SERVERS; ++i)
            rig_.addServer("engine-" + std::to_string(i), {},
                [](Server& s, Arrival& a) { return s.stream(a, OTHER_EVENTS, [](int) { return OTHER_EVENT_MS; }); });
        auto route = makeRoute("/confirm/", "non_idempotent", "booking");
        route["goalMs"] = 150;
        route["timeoutMs"] = 1'000;
        if (!rig_.start(nlohmann::json::array({ route, makeRoute("/chat/", "streaming", "assistant") })))
            return rig_.finish(NOT_RUN, "the daemons did not start");
        sleepMs(CONTACT_MS + 500);
        const auto watchers = rig_.store().watchers();
        if (watchers.empty())
            return rig_.finish(NOT_RUN, "no daemon watches the store");
        const int cut = watchers.front();
        std::vector<std::thread> clients;
        for (int i = 0; i < CLIENTS; ++i) {
            clients.emplace_back([this, cut, i] { send((cut + 1 + i % (DAEMONS - 1)) % DAEMONS); });
            sleepMs(START_GAP_MS);
        }
        sleepMs(500);
        if (options_.hasTrouble)
            rig_.store().setCut(cut, true);
        const std::int64_t cutAt = nowMs();
        sleepMs(REMOVED_AFTER_MS);
        removedAt_ = server.unregister();
        sleepMs(cutAt + CUT_MS - nowMs());
        if (options_.hasTrouble)
            rig_.store().setCut(cut, false);
        sleepMs(removedAt_ + EXIT_AFTER_MS - nowMs());
        server.exit();
        sleepMs(2'000);
        isStopping_ = true;
        for (auto& client : clients)
            client.join();
        return judge();
    }

private:
    bool serve(Server& server, Arrival& arrival)
    {
        rig_.record().line(server.name() + " runs " + arrival.id);
        {
            const std::lock_guard<std::mutex> lock(mutex_);
            arrivals_[arrival.id] = arrival.at;
        }
        if (!server.sleepWhileAlive(arrival.incarnation, WORK_MS))
            return false;
        return server.reply(arrival, "200 OK", server.sealedFields(arrival), "confirmed");
    }

    void send(int daemon)
    {
        Client client(rig_.daemon(static_cast<std::size_t>(daemon)).caller());
        while (!isStopping_) {
            const Outcome outcome
                = client.call({ "POST", "/confirm/" + std::to_string(++serial_), "key-1", "", 1'000 });
            rig_.record().line("daemon " + std::to_string(daemon) + " " + outcome.text());
            {
                const std::lock_guard<std::mutex> lock(mutex_);
                outcomes_.push_back(outcome);
            }
            sleepMs(20 + serial_ * 7 % 40);
        }
    }

    int judge()
    {
        int late = 0;
        int lost = 0;
        int servedBefore = 0;
        std::int64_t latestMs = 0;
        for (const auto& outcome : outcomes_) {
            const auto arrival = arrivals_.find(outcome.id);
            const bool hasArrived = arrival != arrivals_.end();
            servedBefore += outcome.sentAt < removedAt_ && outcome.status == 200 ? 1 : 0;
            if (outcome.sentAt <= removedAt_ + DRAIN_MS || !hasArrived)
                continue;
            ++late;
            latestMs = std::max(latestMs, arrival->second - removedAt_);
            lost += outcome.status != 200 ? 1 : 0;
        }
        const std::string text = std::to_string(late)
            + " requests that clients sent later than drainMs after the removal reached the server"
            + (late > 0 ? ", the last one " + std::to_string(latestMs) + " ms after it" : "") + "; "
            + std::to_string(lost) + " of them got no answer of it";
        if (servedBefore < 20)
            return rig_.finish(NOT_RUN, text + "; too few were served before the removal");
        return rig_.finish(late > 0 ? BROKEN : HELD, text);
    }

    Options options_;
    std::mutex mutex_;
    std::map<std::string, std::int64_t> arrivals_;
    std::vector<Outcome> outcomes_;
    std::int64_t removedAt_ = 0;
    std::atomic<int> serial_ { 0 };
    std::atomic<bool> isStopping_ { false };
    Rig rig_;
};

} // namespace

int main(int argc, char** argv) { return Scenario(Options::parse(argc, argv)).run(); }
