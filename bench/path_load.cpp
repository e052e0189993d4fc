#include "bench/Measures.h"
#include "goldcrestcleat/http/Client.h"
#include "harness/Rig.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <chrono>
#include <cstdio>
#include <set>

ABSL_FLAG(int, seconds, 5, "length of each measurement");

/// Loads the path of one daemon: added latency, short requests a second, streamed parts a second, memory, start time.

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

http::Request chatRequest(int parts, bool isStream, int chat)
{
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.fields = { { "X-Workspace", "ws1" }, { "Authorization", "Bearer key-of-ws1" },
        { "X-Chat", std::to_string(chat) }, { "X-Request-Id", std::to_string(chat) } };
    const json body
        = { { "messages", json::array({ { { "role", "user" }, { "content", "chat " + std::to_string(chat) } } }) },
              { "max_tokens", parts }, { "stream", isStream } };
    request.body = body.dump();
    return request;
}

/// Sends calls to one address and notes how long each took.
class Sender {
public:
    Sender(std::string address, int parts, bool isStream)
        : address_(std::move(address))
        , parts_(parts)
        , isStream_(isStream)
        , client_(loop_, { 16 * 1024, 1024 * 1024 * 1024 })
    {
    }

    /// Sends at a fixed rate, whatever becomes of earlier calls.
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

    /// Keeps a number of calls open.
    void runClosed(int callers, int seconds)
    {
        for (int i = 0; i < callers; ++i)
            send(true);
        loop_.after(seconds * 1000, [this] { loop_.stop(); });
        loop_.run();
    }

    std::vector<double> latencies_;
    std::size_t bodyBytes_ = 0;
    std::size_t events_ = 0;
    int failures_ = 0;

private:
    void send(bool again)
    {
        const int number = sent_++;
        const double start = nowMs();
        http::Call::Hooks hooks;
        hooks.onBody = [this](std::string_view part) {
            bodyBytes_ += part.size();
            for (std::size_t at = part.find("\"content\""); at != std::string_view::npos;
                 at = part.find("\"content\"", at + 1))
                ++events_;
        };
        hooks.onEnd = [this, number, start, again] {
            latencies_.push_back(nowMs() - start);
            end(number, again);
        };
        hooks.onFailure = [this, number, again](http::FailurePoint, const std::string&) {
            ++failures_;
            end(number, again);
        };
        calls_[number] = client_.start(address_, chatRequest(parts_, isStream_, number), std::move(hooks));
    }

    void end(int number, bool again)
    {
        loop_.after(0, [this, number, again] {
            calls_.erase(number);
            if (again)
                send(true);
        });
    }

    std::string address_;
    int parts_;
    bool isStream_;
    loop::EventLoop loop_;
    http::Client client_;
    std::map<int, http::Call::Ptr> calls_;
    int sent_ = 0;
};

void printLatency(const char* name, const Sender& sender)
{
    std::printf("%-28s p50 %.3f ms  p99 %.3f ms  n %zu  failures %d\n", name, percentile(sender.latencies_, 0.5),
        percentile(sender.latencies_, 0.99), sender.latencies_.size(), sender.failures_);
}

void measureLatency(harness::Rig& rig, int seconds)
{
    Sender direct(rig.engineAddress(0), 1, false);
    direct.runPaced(PACED_PER_SECOND, seconds);
    Sender routed(rig.callerAddress(0), 1, false);
    routed.runPaced(PACED_PER_SECOND, seconds);
    printLatency("direct, 200 requests/s", direct);
    printLatency("routed, 200 requests/s", routed);
    std::printf("added                        p50 %.3f ms  p99 %.3f ms\n",
        percentile(routed.latencies_, 0.5) - percentile(direct.latencies_, 0.5),
        percentile(routed.latencies_, 0.99) - percentile(direct.latencies_, 0.99));
}

void measureThroughput(harness::Rig& rig, int seconds)
{
    const long long cpuBefore = harness::cpuMsOf(rig.daemon(0).pid());
    Sender sender(rig.callerAddress(0), 1, false);
    sender.runClosed(CLOSED_LOOP_CALLERS, seconds);
    const double cpuSeconds = static_cast<double>(harness::cpuMsOf(rig.daemon(0).pid()) - cpuBefore) / 1000;
    const auto count = static_cast<double>(sender.latencies_.size());
    std::printf("short requests               %.0f /s, %.0f per daemon core-second, failures %d\n", count / seconds,
        count / cpuSeconds, sender.failures_);
}

void measureStreams(harness::Rig& rig, int seconds)
{
    for (int i = 0; i < 4; ++i)
        rig.setEngineFaults(i, { { "tokenMs", 2 }, { "tokensPerStep", 2 } });
    const long long cpuBefore = harness::cpuMsOf(rig.daemon(0).pid());
    Sender sender(rig.callerAddress(0), 1'000'000, true);
    sender.runClosed(STREAMS, seconds);
    const double cpuSeconds = static_cast<double>(harness::cpuMsOf(rig.daemon(0).pid()) - cpuBefore) / 1000;
    const auto parts = static_cast<double>(sender.events_);
    std::printf("streamed parts, %d streams  %.0f /s, %.0f per daemon core-second, failures %d, resident %lld KiB\n",
        STREAMS, parts / seconds, parts / cpuSeconds, sender.failures_, harness::residentKibOf(rig.daemon(0).pid()));
}

/// Memory with many open streams at the speed of a real engine.
void measureOpenStreams(harness::Rig& rig, int seconds)
{
    for (int i = 0; i < 4; ++i)
        rig.setEngineFaults(i, { { "tokenMs", 20 }, { "tokensPerStep", 1 } });
    Sender sender(rig.callerAddress(0), 1'000'000, true);
    sender.runClosed(STREAMS, seconds);
    std::printf(
        "open streams, %d at 50/s    resident %lld KiB\n", STREAMS, harness::residentKibOf(rig.daemon(0).pid()));
}

void measureStart(harness::Rig& rig)
{
    rig.daemon(0).kill();
    const double start = nowMs();
    rig.startDaemon(0);
    harness::eventually(
        [&] { return harness::call(rig.metricsAddress(0), "GET", "/health", "", {}, 200).status == 200; });
    std::printf("ready after                  %.0f ms\n", nowMs() - start);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    harness::RigOptions options;
    options.daemons = 1;
    options.engines = 4;
    options.engineFaults = { { "tokenMs", 0 }, { "prefillUsPerToken", 0 } };
    options.settings = { { "logLevel", "warn" } };
    options.settings["profiles"] = json::array({ { { "name", "default" }, { "maxOpenPerWorkspace", 10'000 } } });
    harness::Rig rig(options);
    rig.start();
    const int seconds = absl::GetFlag(FLAGS_seconds);
    measureLatency(rig, seconds);
    measureThroughput(rig, seconds);
    measureOpenStreams(rig, seconds);
    measureStreams(rig, seconds);
    measureStart(rig);
    return 0;
}
