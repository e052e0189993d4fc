#include "harness/FrontRig.h"

#include <criterion/criterion.h>

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <numeric>
#include <set>

using namespace goldcrestcleat;
using namespace goldcrestcleat::harness;
using nlohmann::json;

// Tests that answers without a length, which end with their connections, are passed on as complete only if their
// servers ended them. The relays between daemons and servers turn each end of a connection into a sound one (FIN).

namespace {

constexpr int DAEMONS = 2;
constexpr int ENGINES = 3;
constexpr std::uint64_t EVENTS = 40;
constexpr int GAP_MS = 30;
constexpr int STREAMS = 24;

std::vector<std::uint64_t> eventIdsUpTo(std::uint64_t last)
{
    std::vector<std::uint64_t> ids(last);
    std::iota(ids.begin(), ids.end(), 1);
    return ids;
}

/// A stream that a caller is receiving.
struct OpenStream {
    std::string id;
    bool isResumable = false;
    std::future<EventAnswer> answer;
};

/// A rig whose servers end their answers with the connection.
struct UnframedRig : FrontRig {
    UnframedRig()
        : FrontRig(options())
    {
        for (auto& service : configuration["services"])
            service["healthPath"] = "/health";
        start();
        setGap(GAP_MS);
    }

    void setGap(int gapMs)
    {
        for (int i = 0; i < ENGINES; ++i)
            setServerFaults(engineName(i), { { "gapMs", gapMs } });
    }

    static Headers streamHeaders(int number)
    {
        return { { "Request-Id", "s" + std::to_string(number) }, { "Request-Deadline", "20000" },
            { "Prompt-Prefix", "aa:50,b" + std::to_string(number) + ":40,cc:10" } };
    }

    /// Opens streams at a daemon, one in two of which can be resumed, and waits until all have begun.
    std::vector<OpenStream> openStreams(int daemon)
    {
        const auto earlierRuns = serverEvents("run").size();
        std::vector<OpenStream> streams;
        for (int i = 0; i < STREAMS; ++i) {
            const Headers headers = streamHeaders(++opened_);
            const bool isResumable = i % 2 == 0;
            const std::string path = (isResumable ? "/chat/" : "/talk/") + std::to_string(EVENTS);
            streams.push_back(
                { headers.at("Request-Id"), isResumable, std::async(std::launch::async, [this, daemon, path, headers] {
                     return stream(daemon, path, headers);
                 }) });
        }
        cr_assert(waitUntil([&] { return serverEvents("run").size() >= earlierRuns + STREAMS; }));
        sleepMs(5 * GAP_MS);
        return streams;
    }

    /// Returns the engine that serves the most streams of both kinds.
    std::string busiestEngine(const std::vector<OpenStream>& streams) const
    {
        std::map<std::string, int> counts;
        for (const auto& run : serverEvents("run"))
            counts[run["server"]] += isAmong(streams, run["id"]);
        return std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) {
            return a.second < b.second;
        })->first;
    }

    /// Returns the ids of the requests that a server ran.
    std::set<std::string> requestsOf(const std::string& server) const
    {
        std::set<std::string> ids;
        for (const auto& run : serverEvents("run")) {
            if (run["server"] == server)
                ids.insert(run["id"].get<std::string>());
        }
        return ids;
    }

private:
    static FrontRigOptions options()
    {
        FrontRigOptions options;
        options.daemons = DAEMONS;
        options.engines = ENGINES;
        options.serverSlots = 4 * STREAMS;
        options.bounds = { { "stopGraceS", 4 } };
        options.serverFaults = { { "unframed", 1 } };
        return options;
    }

    static bool isAmong(const std::vector<OpenStream>& streams, const std::string& id)
    {
        return std::any_of(streams.begin(), streams.end(), [&](const auto& stream) { return stream.id == id; });
    }

    int opened_ = 0;
};

/// What callers received from a set of streams.
struct Summary {
    int complete = 0;
    int brokenResumable = 0;
    int brokenOthers = 0;
};

/// Checks that each event came once and in order, and that no stream was complete without its last event.
void checkEvents(const std::string& id, const EventAnswer& answer, std::uint64_t events = EVENTS)
{
    cr_expect((answer.ids == eventIdsUpTo(answer.ids.size())), "%s: events are missing, repeated or out of order",
        id.c_str());
    cr_expect(!answer.isComplete || answer.ids.size() == events, "%s: complete after %zu of %zu events", id.c_str(),
        answer.ids.size(), static_cast<std::size_t>(events));
}

/// Waits for the ends of the streams and checks them.
Summary finish(std::vector<OpenStream>& streams)
{
    Summary summary;
    for (auto& stream : streams) {
        const EventAnswer answer = stream.answer.get();
        checkEvents(stream.id, answer);
        summary.complete += answer.isComplete;
        summary.brokenResumable += !answer.isComplete && stream.isResumable;
        summary.brokenOthers += !answer.isComplete && !stream.isResumable;
    }
    return summary;
}

/// Returns how many of the streams can't be resumed and were sent to a server.
int countOthersAt(const UnframedRig& rig, const std::vector<OpenStream>& streams, const std::string& server)
{
    const auto ids = rig.requestsOf(server);
    return static_cast<int>(std::count_if(streams.begin(), streams.end(),
        [&](const auto& stream) { return !stream.isResumable && ids.count(stream.id) > 0; }));
}

constexpr int FAST_BUFFER_BYTES = 1024 * 1024;

/// Sends a request and reads its answer through a small buffer, after a pause that is longer than the server sends.
std::string receiveSlowly(const std::string& address, const std::string& request)
{
    Poco::Net::StreamSocket socket { Poco::Net::SocketAddress::Family::IPv4 };
    socket.setReceiveBufferSize(4'096);
    socket.connect(Poco::Net::SocketAddress(address));
    socket.sendBytes(request.data(), static_cast<int>(request.size()));
    sleepMs(2'500);
    socket.setReceiveBufferSize(FAST_BUFFER_BYTES); // a small window would take the system minutes for the rest
    socket.setReceiveTimeout(Poco::Timespan(10, 0));
    std::string bytes;
    char buffer[16 * 1024];
    try {
        for (int count = 1; count > 0;) {
            count = socket.receiveBytes(buffer, sizeof buffer);
            bytes.append(buffer, static_cast<std::size_t>(std::max(count, 0)));
        }
    } catch (const Poco::Exception&) {
        // a reset or silence, after which the answer is not complete
    }
    return bytes;
}

} // namespace

/// Guards against taking the connections that the system closes with a killed process for ends of its streams.
Test(unframed_answers, streams_of_a_killed_server_are_not_complete_and_go_on_elsewhere, .timeout = 120)
{
    UnframedRig rig;
    for (int round = 0; round < 3; ++round) {
        auto streams = rig.openStreams(round % DAEMONS);
        const std::string killed = rig.busiestEngine(streams);
        const int others = countOthersAt(rig, streams, killed);
        cr_assert_gt(others, 0, "no stream that can't be resumed was hit");
        rig.server(killed).kill();
        const Summary summary = finish(streams);
        cr_expect_eq(summary.brokenResumable, 0, "%d resumable streams did not go on", summary.brokenResumable);
        cr_expect_eq(summary.brokenOthers, others, "%d of %d", summary.brokenOthers, others);
        rig.startServer(killed, "llm");
        rig.setGap(GAP_MS);
        sleepMs(500); // until all daemons know the new entry
    }
}

/// Guards against passing on half of an answer that is no stream as complete when its server's process is killed.
Test(unframed_answers, half_an_answer_of_a_killed_server_is_not_passed_on, .timeout = 120)
{
    UnframedRig rig;
    struct Case {
        const char* method;
        const char* path;
        int status;
    };
    for (const Case& c : { Case { "POST", "/book/a", 502 }, Case { "GET", "/read/a", 200 } }) {
        for (int i = 0; i < 2; ++i)
            rig.setServerFaults(FrontRig::appName(i), { { "halfNext", 1 } });
        const std::string id = std::string("half-") + c.method;
        auto answer = std::async(std::launch::async, [&] {
            return rig.call(0, c.method, c.path, { { "Request-Id", id } });
        });
        cr_assert(waitUntil([&] { return rig.countRuns(id) > 0; }));
        sleepMs(100);
        const std::string killed
            = rig.requestsOf(FrontRig::appName(0)).count(id) > 0 ? FrontRig::appName(0) : FrontRig::appName(1);
        for (int i = 0; i < 2; ++i) {
            if (FrontRig::appName(i) != killed)
                rig.setServerFaults(FrontRig::appName(i), { { "halfNext", 0 } });
        }
        rig.server(killed).kill();
        const Answer received = answer.get();
        cr_expect_eq(received.status, c.status, "%s: status %d", c.path, received.status);
        cr_expect(
            received.status != 200 || received.body == "answer to " + id, "%s: %s", c.path, received.body.c_str());
        rig.startServer(killed, "app");
        cr_assert(waitUntil([&] { return rig.call(0, "GET", "/read/b").status == 200; }));
    }
}

/// Guards against taking sound answers without a length for broken ones.
Test(unframed_answers, in_calm_all_answers_are_complete_after_one_run, .timeout = 120)
{
    UnframedRig rig;
    rig.setGap(10);
    constexpr int CALLERS = 10;
    constexpr int STREAMS_PER_CALLER = 10;
    std::vector<std::future<void>> callers;
    for (int caller = 0; caller < CALLERS; ++caller) {
        callers.push_back(std::async(std::launch::async, [&rig, caller] {
            for (int i = 0; i < STREAMS_PER_CALLER; ++i) {
                const int number = caller * STREAMS_PER_CALLER + i;
                const auto answer = rig.stream(
                    number % DAEMONS, number % 3 == 0 ? "/talk/12" : "/chat/12", UnframedRig::streamHeaders(number));
                cr_expect(answer.isComplete && answer.ids == eventIdsUpTo(12), "stream %d: status %d, %zu events",
                    number, answer.status, answer.ids.size());
                std::string id;
                const auto plain = rig.call(
                    number % DAEMONS, number % 2 ? "GET" : "POST", number % 2 ? "/read/a" : "/book/a", {}, "", &id);
                cr_expect(
                    plain.status == 200 && plain.body == "answer to " + id, "call %d: status %d", number, plain.status);
            }
        }));
    }
    for (auto& caller : callers)
        caller.get();
    cr_expect_eq(rig.serverEvents("run").size(), 2 * CALLERS * STREAMS_PER_CALLER);
    for (int i = 0; i < DAEMONS; ++i)
        cr_expect_not(rig.logLines(i, "closed").empty(), "daemon %d saw no answer without a length", i);
}

/// Guards against losing the end of a stream that waits for its caller, and against taking the end of a server that was
/// killed meanwhile for the end of the stream.
Test(unframed_answers, a_stream_that_waits_for_a_slow_caller_is_complete_only_if_its_server_ended_it, .timeout = 120)
{
    UnframedRig rig;
    constexpr std::uint64_t MANY_EVENTS = 40'000;
    for (int i = 0; i < ENGINES; ++i)
        rig.setServerFaults(FrontRig::engineName(i), { { "gapMs", 100 }, { "eventsPerStep", 2'000 } });
    for (const bool isKilled : { false, true }) {
        std::vector<std::future<std::string>> answers;
        std::vector<std::string> paths;
        for (int i = 0; i < 4; ++i) {
            paths.push_back((i % 2 ? "/talk/" : "/chat/") + std::to_string(MANY_EVENTS));
            const int number = 10 * isKilled + i;
            answers.push_back(std::async(std::launch::async,
                [address = rig.callerAddress(0),
                    request = FrontRig::streamRequest(paths.back(), UnframedRig::streamHeaders(number))] {
                    return receiveSlowly(address, request);
                }));
        }
        sleepMs(900); // half of each stream was sent
        if (isKilled) {
            for (int i = 0; i + 1 < ENGINES; ++i)
                rig.server(FrontRig::engineName(i)).kill();
        }
        int complete = 0;
        for (std::size_t i = 0; i < answers.size(); ++i) {
            const EventAnswer answer = readEventAnswer(answers[i].get());
            checkEvents(paths[i], answer, MANY_EVENTS);
            cr_expect(
                isKilled || answer.isComplete, "%s: %zu events of a sound stream", paths[i].c_str(), answer.ids.size());
            complete += answer.isComplete;
        }
        cr_expect(!isKilled || complete < 4, "no stream was hit");
    }
}

/// Guards against ending streams as complete in a planned stop, also after a second signal, when their server is
/// killed.
Test(unframed_answers, stop_signals_do_not_make_streams_of_a_killed_server_complete, .timeout = 120)
{
    for (const int signals : { 1, 2 }) {
        UnframedRig rig;
        auto streams = rig.openStreams(0);
        const std::string killed = rig.busiestEngine(streams);
        const int others = countOthersAt(rig, streams, killed);
        rig.daemon(0).signal(SIGTERM);
        sleepMs(100);
        if (signals == 2)
            rig.daemon(0).signal(SIGTERM);
        rig.server(killed).kill();
        const Summary summary = finish(streams);
        cr_expect_geq(summary.brokenOthers, others);
        cr_expect(signals == 2 || summary.brokenResumable == 0, "%d resumable streams did not go on in the grace",
            summary.brokenResumable);
        cr_expect_eq(rig.daemon(0).waitForExit(10'000), 0);
    }
}

/// Guards against taking the late end of the connections of a stopped process, which is killed later, for ends.
Test(unframed_answers, streams_of_a_server_that_was_stopped_and_killed_later_are_not_complete, .timeout = 120)
{
    UnframedRig rig;
    auto streams = rig.openStreams(0);
    const std::string killed = rig.busiestEngine(streams);
    const int others = countOthersAt(rig, streams, killed);
    rig.server(killed).suspend();
    sleepMs(1'000);
    rig.server(killed).kill();
    const Summary summary = finish(streams);
    cr_expect_eq(summary.brokenResumable, 0, "%d resumable streams did not go on", summary.brokenResumable);
    cr_expect_eq(summary.brokenOthers, others, "%d of %d", summary.brokenOthers, others);
}

/// Guards against ending silent streams as complete. The relay keeps TCP alive, so that this shows silence, not the
/// time-outs of the system.
Test(unframed_answers, streams_whose_connections_went_silent_are_not_complete, .timeout = 120)
{
    UnframedRig rig;
    auto streams = rig.openStreams(0);
    const std::string silent = rig.busiestEngine(streams);
    const int others = countOthersAt(rig, streams, silent);
    rig.serverRelay(silent).blackholeConnections();
    const Summary summary = finish(streams);
    cr_expect_eq(summary.brokenResumable, 0, "%d resumable streams did not go on", summary.brokenResumable);
    cr_expect_eq(summary.brokenOthers, others, "%d of %d", summary.brokenOthers, others);
}

/// Guards against taking the ends that a proxy sends, when it gives up a server that still runs, for ends of streams.
Test(unframed_answers, streams_that_a_proxy_cut_off_are_not_complete, .timeout = 120)
{
    UnframedRig rig;
    auto streams = rig.openStreams(0);
    const std::string cutOff = rig.busiestEngine(streams);
    const int others = countOthersAt(rig, streams, cutOff);
    rig.serverRelay(cutOff).setMode(RelayMode::Closed);
    const Summary summary = finish(streams);
    cr_expect_eq(summary.brokenResumable, 0, "%d resumable streams did not go on", summary.brokenResumable);
    cr_expect_eq(summary.brokenOthers, others, "%d of %d", summary.brokenOthers, others);
}

/// Guards against ending all streams of a daemon as complete when all servers are cut from it at once.
Test(unframed_answers, streams_are_not_complete_when_all_servers_are_cut_off_at_once, .timeout = 120)
{
    UnframedRig rig;
    auto streams = rig.openStreams(0);
    for (int i = 0; i < ENGINES; ++i)
        rig.serverRelay(FrontRig::engineName(i)).setMode(RelayMode::Closed);
    sleepMs(500);
    for (int i = 0; i < ENGINES; ++i)
        rig.serverRelay(FrontRig::engineName(i)).setMode(RelayMode::Open);
    const Summary summary = finish(streams);
    cr_expect_eq(summary.brokenOthers, STREAMS / 2);
    cr_expect(waitUntil([&] { return rig.stream(0, "/talk/3").isComplete; }), "the daemon did not recover");
}

/// Guards against a reload that changes how the ends of open streams are judged.
Test(unframed_answers, a_reload_does_not_make_streams_of_a_killed_server_complete, .timeout = 120)
{
    UnframedRig rig;
    auto streams = rig.openStreams(0);
    const std::string killed = rig.busiestEngine(streams);
    const int others = countOthersAt(rig, streams, killed);
    rig.daemon(0).signal(SIGHUP);
    rig.server(killed).kill();
    rig.daemon(0).signal(SIGHUP);
    const Summary summary = finish(streams);
    cr_expect_eq(summary.brokenResumable, 0, "%d resumable streams did not go on", summary.brokenResumable);
    cr_expect_eq(summary.brokenOthers, others, "%d of %d", summary.brokenOthers, others);
}

/// Guards against confirming the ends of streams by a process that was started at the same address after their server
/// was killed, when the daemon finds everything in its buffers at once.
Test(unframed_answers, a_frozen_daemon_does_not_take_a_restarted_server_for_the_one_that_was_killed, .timeout = 120)
{
    UnframedRig rig;
    auto streams = rig.openStreams(0);
    const std::string killed = rig.busiestEngine(streams);
    const int others = countOthersAt(rig, streams, killed);
    rig.daemon(0).suspend();
    rig.startServer(killed, "llm"); // kills the old process first
    rig.setGap(GAP_MS);
    sleepMs(2'000);
    rig.daemon(0).resume();
    const Summary summary = finish(streams);
    cr_expect_eq(summary.brokenOthers, others, "%d of %d", summary.brokenOthers, others);
}
