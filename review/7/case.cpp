#include "Deployment.h"

#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <Poco/Timestamp.h>

#include <algorithm>
#include <functional>
#include <random>
#include <set>

// A request that crashes each server that begins to run it, among streams that begin at the rate of the sheet. The
// server ends before it has sent the head of an answer to that request.

namespace {

using namespace review;
using goldcrestcleat::http::Call;
using goldcrestcleat::http::Client;
using goldcrestcleat::http::Request;
using goldcrestcleat::loop::EventLoop;

constexpr int DAEMONS = 3;
constexpr int ENGINES = 6;
constexpr int SLOTS = 32;
constexpr int STREAMS_PER_S = 61; // 184 streams a second at 18 servers in the sheet
constexpr int EVENTS = 30;
constexpr int GAP_MS = 20;
constexpr int FIRST_EVENT_MS = 40;
constexpr int DEADLY_EACH_MS = 3'300;
constexpr int DEADLY_REQUESTS = 3; // one after the other
constexpr int SENDS = 8; // of each
constexpr int SERVER_BACK_MS = 2'000;
constexpr int WARM_UP_MS = 4'000;
constexpr int PLAY_MS = WARM_UP_MS + DEADLY_REQUESTS * SENDS * DEADLY_EACH_MS + 2'000;
constexpr int CONTACT_MS = 3'000; // `contactMs` of the sheet
constexpr std::size_t MAX_RETRIES = 3; // that may reach servers later than that
constexpr const char* REPEATED_ID_PREFIX = "again-"; // and the number of the request; no other id begins so

struct Play {
    explicit Play(const DeploymentOptions& options)
        : deployment(options)
    {
    }

    Deployment deployment;
    EventLoop loop;
    Client client { loop, { 32 * 1024, 64 * 1024 * 1024 } };
    std::mt19937 random { std::random_device()() };
    int sent = 0;
    int complete = 0;
    int failed = 0;
    int deadlySent = 0;
    std::vector<long long> backAt; // of each server that has ended
};

std::string randomDaemon(Play& play)
{
    return play.deployment.callerAddress(static_cast<int>(play.random() % DAEMONS));
}

Request streamRequest(Play& play, const std::string& name, const std::string& body)
{
    Request request;
    request.method = "POST";
    request.target = "/" + name + "?ms=" + std::to_string(FIRST_EVENT_MS) + "&events=" + std::to_string(EVENTS)
        + "&gap=" + std::to_string(GAP_MS);
    for (const auto& [field, value] : Deployment::validHeaders(12'000))
        request.fields.emplace_back(field, value);
    // Every prompt has an own last part; the part before it is shared by some chats.
    const std::string shared = "b" + std::to_string(play.random() % 40);
    const std::string own = "c" + std::to_string(play.random());
    request.fields.emplace_back("Model", "m");
    request.fields.emplace_back("Token-Usage", "500,60");
    request.fields.emplace_back("Prompt-Prefix", "a1:100," + shared + ":300," + own + ":100");
    request.body = body;
    return request;
}

void send(Play& play, const Request& request, std::function<void(int status, bool isComplete)> onDone)
{
    const auto holder = std::make_shared<Call::Ptr>();
    const auto status = std::make_shared<int>(0);
    Call::Hooks hooks;
    hooks.onHead = [status](const Poco::Net::HTTPResponse& head) { *status = head.getStatus(); };
    hooks.onEnd = [status, onDone, holder, &play] {
        onDone(*status, true);
        play.loop.after(0, [holder] { holder->reset(); });
    };
    hooks.onFailure = [status, onDone, holder, &play](goldcrestcleat::http::FailurePoint, const std::string&) {
        onDone(*status, false);
        play.loop.after(0, [holder] { holder->reset(); });
    };
    *holder = play.client.start(randomDaemon(play), request, hooks, Client::Reuse::Never);
}

void sendStream(Play& play)
{
    ++play.sent;
    send(play,
        streamRequest(play, play.sent % 2 == 0 ? "chat/s" : "talk/s", "question " + std::to_string(play.random())),
        [&](int status, bool isComplete) {
            const bool isServed = status == 200 && isComplete;
            ++(isServed ? play.complete : play.failed);
        });
}

/// The same path, caller and body each time, at any machine.
void sendDeadly(Play& play, Record& record)
{
    const int number = play.deadlySent++ / SENDS + 1;
    if (number > DEADLY_REQUESTS)
        return;
    Request request = streamRequest(
        play, hasTrouble() ? "talk/deadly" : "talk/sound", "the same question " + std::to_string(number));
    std::string id;
    for (auto& [field, value] : request.fields) {
        if (field == "Request-Id")
            id = value = REPEATED_ID_PREFIX + std::to_string(number) + "-" + value;
    }
    send(play, request, [&record, id](int status, bool isComplete) {
        record.write(
            "request " + id + ": status " + std::to_string(status) + (isComplete ? ", complete" : ", broken off"));
    });
}

/// Returns how many attempts with one of the repeated requests reached a server later than contactMs after its third
/// run.
std::size_t countLate(const Deployment& deployment, int number, Record& record)
{
    const std::string prefix = REPEATED_ID_PREFIX + std::to_string(number) + "-";
    const auto isRepeated = [&](const json& line) { return line["id"].get<std::string>().rfind(prefix, 0) == 0; };
    int runs = 0;
    long long thirdRunAt = 0;
    for (const json& line : deployment.serverEvents("run")) {
        if (!isRepeated(line))
            continue;
        const long long at = line["unixMs"];
        if (++runs == 3)
            thirdRunAt = at;
        record.write("run " + std::to_string(runs) + " of request " + std::to_string(number) + ": "
            + line["id"].get<std::string>() + " at " + line["server"].get<std::string>() + ", unix ms "
            + std::to_string(at));
    }
    std::set<std::string> late;
    for (const json& line : deployment.serverEvents("arrived")) {
        if (isRepeated(line) && thirdRunAt != 0 && line["unixMs"] > thirdRunAt + CONTACT_MS)
            late.insert(line["id"].get<std::string>());
    }
    record.write("request " + std::to_string(number) + ": ran " + std::to_string(runs) + " times; "
        + std::to_string(late.size()) + " attempts reached a server later than contactMs after the third run");
    return late.size();
}

void watchServers(Play& play)
{
    for (int i = 0; i < ENGINES; ++i) {
        auto& backAt = play.backAt.at(static_cast<std::size_t>(i));
        if (backAt == 0 && !play.deployment.isServerRunning(i)) {
            backAt = nowMs() + SERVER_BACK_MS;
            play.deployment.unregisterServer(i);
        } else if (backAt != 0 && nowMs() >= backAt) {
            play.deployment.startServer(i);
            backAt = 0;
        }
    }
}

int playDay(Record& record)
{
    DeploymentOptions options;
    options.daemons = DAEMONS;
    options.engines = ENGINES;
    options.slots = SLOTS;
    options.queue = SLOTS;
    Play play(options);
    play.deployment.start();
    play.backAt.resize(ENGINES);
    play.loop.every(1'000 / STREAMS_PER_S, [&] { sendStream(play); });
    play.loop.after(WARM_UP_MS, [&] { play.loop.every(DEADLY_EACH_MS, [&] { sendDeadly(play, record); }); });
    play.loop.every(50, [&] { watchServers(play); });
    play.loop.after(PLAY_MS, [&] { play.loop.stop(); });
    play.loop.run();

    std::size_t mostLate = 0;
    for (int number = 1; number <= DEADLY_REQUESTS; ++number)
        mostLate = std::max(mostLate, countLate(play.deployment, number, record));
    for (int i = 0; i < DAEMONS; ++i) {
        for (const json& line : play.deployment.logLines(i, "quarantined"))
            record.write("log of daemon " + std::to_string(i + 1) + ": " + line.dump());
        for (const json& line : play.deployment.logLines(i, "server-crashed"))
            record.write("log of daemon " + std::to_string(i + 1) + ": server-crashed, stage "
                + std::to_string(line.value("stage", -1)) + ", crash " + line.value("crash", "") + ", suspects "
                + std::to_string(line.value("suspectCount", 0)) + ", time " + line.value("time", ""));
    }
    record.write(std::to_string(play.sent) + " streams sent, " + std::to_string(play.complete) + " complete, "
        + std::to_string(play.failed) + " refused or broken off; at most " + std::to_string(mostLate)
        + " attempts with one of the repeated requests reached a server later than contactMs after its third run");
    if (play.complete < play.sent / 4)
        throw std::runtime_error("the streams were not served");
    return hasTrouble() && mostLate > MAX_RETRIES ? BROKEN : HELD;
}

} // namespace

int main(int argc, char** argv) { return runCase(argc, argv, playDay); }
