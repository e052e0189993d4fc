#include "Deployment.h"

#include "goldcrestcleat/observe/Digest.h"

#include <Poco/Timestamp.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

#include <unistd.h>

namespace review {

namespace {

    json route(const char* prefix, const char* kind, const char* service, bool isResumable)
    {
        return { { "name", std::string("r") + prefix }, { "host", Deployment::HOST }, { "prefix", prefix },
            { "kind", kind }, { "service", service }, { "timeoutMs", 12'000 }, { "goalMs", 400 }, { "attempts", 2 },
            { "priority", 1 }, { "noAuth", false }, { "sticky", std::string(service) == "llm" },
            { "resumable", isResumable }, { "gapTargetMs", 400 } };
    }

    json defaultConfiguration()
    {
        return { { "routes",
                     { route("/read/", "idempotent", "app", false), route("/book/", "non_idempotent", "app", false),
                         route("/chat/", "streaming", "llm", true), route("/talk/", "streaming", "llm", false) } },
            { "services", { { { "name", "app" }, { "maxConns", 500 } }, { { "name", "llm" }, { "maxConns", 500 } } } },
            { "tenants", { { { "name", "w1" }, { "apiKeys", { Deployment::KEY } } } } },
            { "limits",
                { { "headerBytes", 16'384 }, { "bodyBytes", 4'194'304 }, { "headerTimeoutMs", 3'000 },
                    { "idleTimeoutMs", 15'000 } } } };
    }

    constexpr int START_MS = 20'000;

} // namespace

Deployment::Deployment(const DeploymentOptions& options)
    : configuration(defaultConfiguration())
    , options_(options)
{
}

Deployment::~Deployment()
{
    daemons_.clear();
    servers_.clear();
}

void Deployment::start()
{
    if (chdir(REPOSITORY_FOLDER) != 0)
        throw std::runtime_error("cannot enter the repository");
    storeProcess_ = sandbox_.startStandin("rowstore", "store", sandbox_.newAddress(), json::object(), store_);
    servers_.resize(static_cast<std::size_t>(servers()));
    for (int i = 0; i < servers(); ++i) {
        servers_.at(static_cast<std::size_t>(i)).address = sandbox_.newAddress();
        startServer(i);
    }
    publish();
    for (int i = 0; i < options_.daemons; ++i) {
        for (auto* addresses : { &callers_, &readiness_, &entries_, &metrics_, &peers_ })
            addresses->push_back(sandbox_.newAddress());
    }
    daemons_.resize(static_cast<std::size_t>(options_.daemons));
    for (int i = 0; i < options_.daemons; ++i) {
        writeSettings(i);
        if (!options_.isStartedByCase)
            startDaemon(i);
    }
    if (options_.isStartedByCase)
        return;
    const bool isComplete = harness::waitUntil(
        [this] {
            for (int i = 0; i < options_.daemons; ++i) {
                const auto answer = harness::call(entries_.at(static_cast<std::size_t>(i)), "GET",
                    std::string("/goldcrestcleat/resolve?name=") + HOST + "&region=r&zone=dc1");
                if (answer.status != 200
                    || answer.json().at("addresses").size() != static_cast<std::size_t>(options_.daemons))
                    return false;
            }
            return true;
        },
        START_MS);
    if (!isComplete)
        throw std::runtime_error("the daemons did not find each other");
}

void Deployment::startDaemon(int index)
{
    auto& process = daemons_.at(static_cast<std::size_t>(index));
    process.reset();
    setenv("GOLDCRESTCLEAT_BOOT", settingsPath(index).c_str(), 1);
    process = std::make_unique<harness::Process>(std::vector<std::string> { "target/goldcrestcleat", "front" },
        sandbox_.folder() + "/vm" + std::to_string(index + 1) + ".log", harness::Process::Output::File);
}

bool Deployment::isDaemonRunning(int index)
{
    const auto& process = daemons_.at(static_cast<std::size_t>(index));
    return process && process->isRunning();
}

bool Deployment::isReady(int index) const
{
    const auto& address = readiness_.at(static_cast<std::size_t>(index));
    return harness::call(address, "GET", "/goldcrestcleat/readiness", "", {}, 1'000).status == 200;
}

void Deployment::startServer(int index)
{
    auto& server = servers_.at(static_cast<std::size_t>(index));
    const bool isEngine = index < options_.engines;
    server.process.reset();
    server.id = (isEngine ? "engine-" : "app-") + std::to_string(index + 1) + "-" + std::to_string(++server.starts);
    const std::vector<std::string> command = { SERVER_BINARY, "--listen=" + server.address, "--id=" + server.id,
        "--record=" + sandbox_.folder() + "/server-" + std::to_string(index) + ".record",
        "--slots=" + std::to_string(options_.slots), "--queue=" + std::to_string(options_.queue) };
    server.process = std::make_unique<harness::Process>(command, sandbox_.folder() + "/servers.log");
    if (server.process->readLine().rfind("listening ", 0) != 0)
        throw std::runtime_error("a server did not start");
    json entry = { { "service", isEngine ? "llm" : "app" }, { "address", server.address }, { "zone", "dc1" },
        { "version", "v1" }, { "slots", options_.slots }, { "state", "ready" }, { "coldLeftMs", 0 }, { "seq", 1 },
        { "born", Poco::Timestamp().epochMicroseconds() / 1'000 } };
    if (isEngine)
        entry["models"] = json::array({ { { "name", "m" } } });
    putServerRow(server.id, entry);
}

bool Deployment::isServerRunning(int index)
{
    const auto& process = servers_.at(static_cast<std::size_t>(index)).process;
    return process && process->isRunning();
}

void Deployment::unregisterServer(int index)
{
    control(
        { { "remove", { { { "table", "servers" }, { "key", servers_.at(static_cast<std::size_t>(index)).id } } } } });
}

void Deployment::putServerRow(const std::string& key, const json& entry) const
{
    control({ { "put", { { { "table", "servers" }, { "key", key }, { "text", entry.dump() } } } } });
}

void Deployment::publish()
{
    configuration["version"] = ++version_ * 3;
    control({ { "put", { { { "table", "op" }, { "key", "config" }, { "text", configuration.dump() } } } } });
}

std::string Deployment::settingsPath(int index) const
{
    return sandbox_.folder() + "/vm" + std::to_string(index + 1) + ".json";
}

std::vector<json> Deployment::serverEvents(const std::string& event) const
{
    std::vector<json> found;
    for (int i = 0; i < servers(); ++i) {
        std::ifstream file(sandbox_.folder() + "/server-" + std::to_string(i) + ".record");
        for (std::string line; std::getline(file, line);) {
            const json parsed = json::parse(line, nullptr, false);
            if (parsed.is_object() && parsed.value("event", "") == event)
                found.push_back(parsed);
        }
    }
    std::sort(found.begin(), found.end(),
        [](const json& a, const json& b) { return a["unixMs"].get<long long>() < b["unixMs"].get<long long>(); });
    return found;
}

std::vector<json> Deployment::logLines(int daemon, const std::string& event) const
{
    std::vector<json> lines;
    std::ifstream file(sandbox_.folder() + "/vm" + std::to_string(daemon + 1) + ".log");
    for (std::string line; std::getline(file, line);) {
        const json parsed = json::parse(line, nullptr, false);
        if (parsed.is_object() && parsed.value("event", "") == event)
            lines.push_back(parsed);
    }
    return lines;
}

harness::Headers Deployment::validHeaders(int deadlineMs)
{
    return { { "Host", HOST }, { "Request-Id", goldcrestcleat::observe::randomHex(8) },
        { "Request-Deadline", std::to_string(deadlineMs) }, { "Api-Key", KEY } };
}

// ---- private ----

void Deployment::writeSettings(int index) const
{
    const auto at = static_cast<std::size_t>(index);
    // As rendered from deploy/settings.json.template.
    json settings = { { "vm", "vm" + std::to_string(index + 1) }, { "dataCentre", "dc1" },
        { "callerAddress", callers_.at(at) }, { "readinessAddress", readiness_.at(at) },
        { "entryAddress", entries_.at(at) }, { "peerAddress", peers_.at(at) }, { "metricsAddress", metrics_.at(at) },
        { "storeAddress", store_ }, { "descriptors", options_.descriptors }, { "regions", { { "dc1", "r" } } },
        { "bounds",
            { { "stopGraceS", 8 }, { "retryRatio", 0.2 }, { "retryExtra", 58 }, { "retryWindowS", 10 },
                { "loadFactor", 2 }, { "longestEntryTtlS", 5 }, { "entryTtlS", 2 } } } };
    settings["bounds"].update(options_.bounds);
    std::ofstream(settingsPath(index)) << settings.dump(2);
}

} // namespace review
