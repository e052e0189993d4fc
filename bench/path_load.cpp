#include "bench/Measures.h"
#include "goldcrestcleat/http/Client.h"
#include "harness/FrontRig.h"
#include "harness/Rig.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <set>

ABSL_FLAG(int, seconds, 5, "length of each measurement");
ABSL_FLAG(std::string, interface, "both", "interface to measure: own, platform or both");

/// Measures the request path of one daemon: added latency, short requests per second, streamed parts per second, memory
/// and start time, through the daemon's own interface and through that of the users' platform.

namespace {

using namespace bench;
using namespace goldcrestcleat;
using nlohmann::json;

constexpr int PACED_PER_SECOND = 200;
constexpr int CLOSED_LOOP_CALLERS = 32;
constexpr int STREAMS = 200;

double nowMs()
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

constexpr int ENDLESS = 1'000'000; // parts of a stream that does not end during a measurement
constexpr int ENGINE_GAP_MS = 20; // between parts, as from a real engine

/// One interface of a daemon, and access to the rig behind it.
struct Interface {
    const char* name = "";
    std::string direct; ///< address of a stand-in server
    std::string routed; ///< address of the daemon
    std::string partMarker; ///< text that occurs once in each part of a stream
    harness::Process* daemon = nullptr;
    std::function<http::Request(int number, int parts)> request; ///< `parts` 0 gives a short request
    std::function<void(int gapMs, int partsPerStep)> setSpeed;
    std::function<void()> restart;
    std::function<bool()> isReady;
};

http::Request chatRequest(int number, int parts)
{
    const std::string chat = std::to_string(number);
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.fields = { { "X-Workspace", "ws1" }, { "Authorization", "Bearer key-of-ws1" }, { "X-Chat", chat },
        { "X-Request-Id", chat } };
    const json body = { { "messages", json::array({ { { "role", "user" }, { "content", "chat " + chat } } }) },
        { "max_tokens", std::max(parts, 1) }, { "stream", parts > 0 } };
    request.body = body.dump();
    return request;
}

http::Request platformRequest(int number, int parts)
{
    http::Request request;
    request.target = parts > 0 ? "/chat/" + std::to_string(parts) : "/read/" + std::to_string(number);
    const harness::Headers prompt = { { "Request-Deadline", "3600000" }, { "Model", "m" }, { "Token-Usage", "50,10" },
        { "Prompt-Prefix", "aa:10,b" + std::to_string(number) + ":30,c:5" } };
    for (const auto& [name, value] : harness::FrontRig::validHeaders(parts > 0 ? prompt : harness::Headers()))
        request.fields.emplace_back(name, value);
    return request;
}

/// Sends requests to one address and measures their latencies.
class Sender {
public:
    /// `parts` 0 sends short requests.
    Sender(const Interface& interface, std::string address, int parts)
        : interface_(interface)
        , address_(std::move(address))
        , parts_(parts)
        , client_(loop_, { 16 * 1024, 1024 * 1024 * 1024 })
    {
    }

    /// Sends requests at a fixed rate, independently of the completion of earlier ones (open loop).
    void runPaced(int perSecond, int seconds)
    {
        const double start = nowMs();
        loop_.every(1, [this, perSecond, seconds, start] {
            const double elapsed = nowMs() - start;
            while (sent_ < elapsed * perSecond / 1000 && sent_ < perSecond * seconds)
                send(false);
            if (sent_ >= perSecond * seconds && calls_.empty())
                loop_.stop();
        });
        loop_.run();
    }

    /// Keeps a fixed number of requests open (closed loop).
    void runClosed(int callers, int seconds)
    {
        for (int i = 0; i < callers; ++i)
            send(true);
        loop_.after(seconds * 1000, [this] { loop_.stop(); });
        loop_.run();
    }

    std::vector<double> latencies;
    std::size_t bodyBytes = 0;
    std::size_t events = 0;
    int failures = 0;

private:
    void send(bool repeat)
    {
        const int number = sent_++;
        const double start = nowMs();
        http::Call::Hooks hooks;
        hooks.onBody = [this](std::string_view part) {
            bodyBytes += part.size();
            const std::string& marker = interface_.partMarker;
            for (std::size_t at = part.find(marker); at != std::string_view::npos; at = part.find(marker, at + 1))
                ++events;
        };
        hooks.onEnd = [this, number, start, repeat] {
            latencies.push_back(nowMs() - start);
            end(number, repeat);
        };
        hooks.onFailure = [this, number, repeat](http::FailurePoint, const std::string&) {
            ++failures;
            end(number, repeat);
        };
        calls_[number] = client_.start(address_, interface_.request(number, parts_), std::move(hooks));
    }

    void end(int number, bool repeat)
    {
        loop_.after(0, [this, number, repeat] {
            calls_.erase(number);
            if (repeat)
                send(true);
        });
    }

    const Interface& interface_;
    std::string address_;
    int parts_;
    loop::EventLoop loop_;
    http::Client client_;
    std::map<int, http::Call::Ptr> calls_;
    int sent_ = 0;
};

void printLatency(const char* name, const Sender& sender)
{
    std::printf("%-28s p50 %.3f ms  p99 %.3f ms  n %zu  failures %d\n", name, percentile(sender.latencies, 0.5),
        percentile(sender.latencies, 0.99), sender.latencies.size(), sender.failures);
}

void measureLatency(const Interface& interface, int seconds)
{
    Sender direct(interface, interface.direct, 0);
    direct.runPaced(PACED_PER_SECOND, seconds);
    Sender routed(interface, interface.routed, 0);
    routed.runPaced(PACED_PER_SECOND, seconds);
    printLatency("direct, 200 requests/s", direct);
    printLatency("routed, 200 requests/s", routed);
    std::printf("added                        p50 %.3f ms  p99 %.3f ms\n",
        percentile(routed.latencies, 0.5) - percentile(direct.latencies, 0.5),
        percentile(routed.latencies, 0.99) - percentile(direct.latencies, 0.99));
}

void measureThroughput(const Interface& interface, int seconds)
{
    const long long cpuBefore = harness::cpuMsOf(interface.daemon->pid());
    Sender sender(interface, interface.routed, 0);
    sender.runClosed(CLOSED_LOOP_CALLERS, seconds);
    const double cpuSeconds = static_cast<double>(harness::cpuMsOf(interface.daemon->pid()) - cpuBefore) / 1000;
    const auto count = static_cast<double>(sender.latencies.size());
    std::printf("short requests               %.0f /s, %.0f per daemon core-second, failures %d\n", count / seconds,
        count / cpuSeconds, sender.failures);
}

void measureStreams(const Interface& interface, int seconds)
{
    interface.setSpeed(2, 8);
    const long long cpuBefore = harness::cpuMsOf(interface.daemon->pid());
    Sender sender(interface, interface.routed, ENDLESS);
    sender.runClosed(STREAMS, seconds);
    const double cpuSeconds = static_cast<double>(harness::cpuMsOf(interface.daemon->pid()) - cpuBefore) / 1000;
    const auto parts = static_cast<double>(sender.events);
    std::printf(
        "streamed parts, %d streams  %.0f /s, %.0f per daemon core-second (%.1f us each), failures %d, resident "
        "%lld KiB\n",
        STREAMS, parts / seconds, parts / cpuSeconds, 1e6 * cpuSeconds / parts, sender.failures,
        harness::residentKibOf(interface.daemon->pid()));
}

/// Measures memory with many open streams at the rate of a real engine.
void measureOpenStreams(const Interface& interface, int seconds)
{
    interface.setSpeed(ENGINE_GAP_MS, 1);
    Sender sender(interface, interface.routed, ENDLESS);
    sender.runClosed(STREAMS, seconds);
    std::printf(
        "open streams, %d at 50/s    resident %lld KiB\n", STREAMS, harness::residentKibOf(interface.daemon->pid()));
}

void measureStart(const Interface& interface)
{
    interface.daemon->kill();
    const double start = nowMs();
    interface.restart();
    harness::waitUntil(interface.isReady);
    std::printf("ready after                  %.0f ms\n", nowMs() - start);
}

void measureAll(const Interface& interface)
{
    const int seconds = absl::GetFlag(FLAGS_seconds);
    std::printf("== %s\n", interface.name);
    measureLatency(interface, seconds);
    measureThroughput(interface, seconds);
    measureOpenStreams(interface, seconds);
    measureStreams(interface, seconds);
    measureStart(interface);
}

void measureOwnInterface()
{
    harness::RigOptions options;
    options.daemons = 1;
    options.engines = 4;
    options.engineFaults = { { "tokenMs", 0 }, { "prefillUsPerToken", 0 } };
    options.settings = { { "logLevel", "warn" } };
    options.settings["profiles"] = json::array({ { { "name", "default" }, { "maxOpenPerWorkspace", 10'000 } } });
    harness::Rig rig(options);
    rig.start();
    Interface interface;
    interface.name = "own interface";
    interface.direct = rig.engineAddress(0);
    interface.routed = rig.callerAddress(0);
    interface.partMarker = "\"content\"";
    interface.daemon = &rig.daemon(0);
    interface.request = chatRequest;
    interface.setSpeed = [&rig](int gapMs, int partsPerStep) {
        for (int i = 0; i < 4; ++i)
            rig.setEngineFaults(i, { { "tokenMs", gapMs }, { "tokensPerStep", partsPerStep } });
    };
    interface.restart = [&rig] { rig.startDaemon(0); };
    interface.isReady
        = [&rig] { return harness::call(rig.metricsAddress(0), "GET", "/health", "", {}, 200).status == 200; };
    measureAll(interface);
}

void measurePlatform()
{
    harness::FrontRigOptions options;
    options.daemons = 1;
    options.engines = 4;
    options.serverSlots = 1'000;
    harness::FrontRig rig(options);
    for (auto& route : rig.configuration["routes"])
        route["timeoutMs"] = 3'600'000;
    rig.start();
    Interface interface;
    interface.name = "the users' platform";
    interface.direct = rig.serverAddress(harness::FrontRig::appName(0));
    interface.routed = rig.callerAddress(0);
    interface.partMarker = "data:";
    interface.daemon = &rig.daemon(0);
    interface.request = platformRequest;
    interface.setSpeed = [&rig](int gapMs, int partsPerStep) {
        for (int i = 0; i < 4; ++i)
            rig.setServerFaults(
                harness::FrontRig::engineName(i), { { "gapMs", gapMs }, { "eventsPerStep", partsPerStep } });
    };
    interface.restart = [&rig] { rig.startDaemon(0); };
    interface.isReady = [&rig] { return rig.isReady(0); };
    measureAll(interface);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::string selected = absl::GetFlag(FLAGS_interface);
    if (selected != "platform")
        measureOwnInterface();
    if (selected != "own")
        measurePlatform();
    return 0;
}
