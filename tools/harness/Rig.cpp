#include "harness/Rig.h"

#include "goldcrestcleat/observe/Digest.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace goldcrestcleat::harness {

using nlohmann::json;

namespace {

    constexpr const char* FLEET_SECRET = "fleet-secret-for-tests";

    std::string randomNetwork()
    {
        std::random_device device;
        return "127." + std::to_string(16 + device() % 200) + "." + std::to_string(1 + device() % 250);
    }

    std::string dataCentre(int index) { return "dc" + std::to_string(index % 4 + 1); }

} // namespace

bool eventually(const std::function<bool()>& condition, int timeoutMs)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    while (std::chrono::steady_clock::now() < end) {
        if (condition())
            return true;
        sleepMs(20);
    }
    return condition();
}

void sleepMs(int ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

Rig::Rig(const RigOptions& options)
    : options_(options)
    , network_(randomNetwork())
{
    std::string pattern = (std::filesystem::temp_directory_path() / "goldcrestcleat-XXXXXX").string();
    if (!mkdtemp(pattern.data()))
        throw std::runtime_error("no temporary folder");
    folder_ = pattern;
    if (options_.binary.empty())
        options_.binary = GOLDCRESTCLEAT_BINARY;
}

Rig::~Rig()
{
    daemons_.clear();
    hub_.reset();
    engines_.clear();
    services_.clear();
    platform_.reset();
    if (!std::getenv("KEEP_RIG"))
        std::filesystem::remove_all(folder_);
}

void Rig::start()
{
    platform_ = startStandin("platform", "platform", newAddress(), json::object(), platformAddress_);
    engines_.resize(static_cast<std::size_t>(options_.engines));
    for (int i = 0; i < options_.engines; ++i) {
        engineAddresses_.push_back(newAddress());
        startEngine(i, options_.engineFaults);
    }
    for (int i = 0; i < options_.services; ++i) {
        serviceAddresses_.emplace_back();
        services_.push_back(
            startStandin("service", serviceId(i), newAddress(), json::object(), serviceAddresses_.back()));
    }
    for (int i = 0; i < options_.daemons; ++i) {
        callerAddresses_.push_back(newAddress());
        adminAddresses_.push_back(newAddress());
        peerAddresses_.push_back(newAddress());
        metricsAddresses_.push_back(newAddress());
    }
    if (options_.relays)
        addRelays();
    daemons_.resize(static_cast<std::size_t>(options_.daemons));
    for (int i = 0; i < options_.daemons; ++i) {
        writeSettings(i);
        startDaemon(i);
    }
    if (!waitForFleet(options_.daemons - 1))
        throw std::runtime_error("the fleet did not become ready; see the logs in " + folder_);
}

bool Rig::waitForFleet(int peers, int timeoutMs)
{
    return eventually(
        [&] {
            for (int i = 0; i < options_.daemons; ++i) {
                if (!daemons_[static_cast<std::size_t>(i)]->isRunning())
                    continue;
                const json status = admin(i, "GET", "/admin/status").json();
                if (!status.is_object() || !status.contains("daemons"))
                    return false;
                int up = 0;
                for (const auto& row : status["daemons"]) {
                    const bool isSelf = row.value("self", false);
                    if (isSelf && !row.value("ready", false))
                        return false;
                    up += !isSelf && row.value("up", false) && row.value("ready", false);
                }
                if (up < peers)
                    return false;
            }
            return true;
        },
        timeoutMs);
}

void Rig::startDaemon(int index)
{
    auto& slot = daemons_.at(static_cast<std::size_t>(index));
    slot.reset();
    slot = std::make_unique<Process>(
        std::vector<std::string> { options_.binary, "serve", "--config", settingsPath(index) },
        folder_ + "/" + vmId(index) + ".log");
}

void Rig::startEngine(int index, const json& faults)
{
    const auto at = static_cast<std::size_t>(index);
    engines_.at(at).reset();
    std::string bound;
    engines_.at(at) = startStandin("engine", engineId(index), engineAddresses_.at(at), faults, bound);
}

std::string Rig::settingsPath(int daemon) const { return folder_ + "/" + vmId(daemon) + ".json"; }

void Rig::setEngineFaults(int index, const json& faults)
{
    control(engineAddresses_.at(static_cast<std::size_t>(index)), faults);
}

void Rig::setServiceFaults(int index, const json& faults)
{
    control(serviceAddresses_.at(static_cast<std::size_t>(index)), faults);
}

void Rig::setPlatformFaults(const json& faults) { control(platformAddress_, faults); }

void Rig::setPeerPaths(int daemon, RelayMode mode)
{
    for (int other = 0; other < options_.daemons; ++other) {
        if (other != daemon)
            peerRelay(daemon, other).setMode(mode);
    }
}

Answer Rig::admin(int daemon, const std::string& method, const std::string& target, const json& body) const
{
    return call(adminAddress(daemon), method, target, method == "POST" ? body.dump() : "",
        { { "Authorization", "Bearer " + operatorToken() } });
}

Answer Rig::callService(int daemon, const std::string& method, const std::string& target, const std::string& key,
    const std::string& body, int timeoutMs) const
{
    Headers headers = { { "X-Workspace", workspaceId(0) }, { "Authorization", "Bearer " + workspaceKey(0) } };
    if (!key.empty())
        headers["Idempotency-Key"] = key;
    return call(callerAddress(daemon), method, "/v1/services/rota" + target, body, headers, timeoutMs);
}

std::vector<json> Rig::truth(const std::string& name) const
{
    std::vector<json> lines;
    std::ifstream file(folder_ + "/" + name + ".truth");
    std::string line;
    while (std::getline(file, line)) {
        json parsed = json::parse(line, nullptr, false);
        if (parsed.is_object())
            lines.push_back(std::move(parsed));
    }
    return lines;
}

std::string Rig::lastLogLine(int daemon) const
{
    std::ifstream file(folder_ + "/" + vmId(daemon) + ".log");
    std::string last;
    for (std::string line; std::getline(file, line);)
        last = line;
    return last;
}

int Rig::countRuns(const std::string& key) const
{
    const auto runs = allRuns();
    const auto found = runs.find(key);
    return found == runs.end() ? 0 : found->second;
}

std::map<std::string, int> Rig::allRuns() const
{
    std::map<std::string, int> runs;
    for (int i = 0; i < options_.services; ++i) {
        for (const auto& line : truth(serviceId(i))) {
            if (line["event"] == "run")
                ++runs[line["key"].get<std::string>()];
        }
    }
    return runs;
}

double Rig::metric(int daemon, const std::string& beginning) const
{
    std::istringstream lines(call(metricsAddress(daemon), "GET", "/metrics").body);
    std::string line;
    while (std::getline(lines, line)) {
        if (line.rfind(beginning, 0) == 0)
            return std::stod(line.substr(line.rfind(' ') + 1));
    }
    return 0;
}

// ---- private ----

Rig::ProcessPtr Rig::startStandin(const std::string& kind, const std::string& name, const std::string& address,
    const json& faults, std::string& boundAddress)
{
    const std::vector<std::string> command = { STANDIN_BINARY, kind, "--listen", address, "--truth",
        folder_ + "/" + name + ".truth", "--faults", faults.dump() };
    auto process = std::make_unique<Process>(command, folder_ + "/" + name + ".log");
    const std::string line = process->readLine();
    if (line.rfind("listening ", 0) != 0)
        throw std::runtime_error("stand-in " + name + " did not start");
    boundAddress = line.substr(10);
    return process;
}

std::string Rig::newAddress()
{
    // Each address has an IP of its own, so that a port that is free there stays free.
    const std::string ip = network_ + "." + std::to_string(nextHost_++);
    Poco::Net::ServerSocket probe(Poco::Net::SocketAddress(ip + ":0"));
    return probe.address().toString();
}

void Rig::addRelays()
{
    hub_ = std::make_unique<RelayHub>();
    for (int one = 0; one < options_.daemons; ++one) {
        for (int other = one + 1; other < options_.daemons; ++other) {
            peerRelayAddresses_[{ one, other }] = newAddress();
            peerRelays_[{ one, other }] = &hub_->add(peerRelayAddresses_[{ one, other }], peerAddress(other));
        }
        platformRelayAddresses_.push_back(newAddress());
        platformRelays_.push_back(&hub_->add(platformRelayAddresses_.back(), platformAddress_));
    }
    for (int i = 0; i < options_.engines; ++i) {
        engineRelayAddresses_.push_back(newAddress());
        engineRelays_.push_back(&hub_->add(engineRelayAddresses_.back(), engineAddress(i)));
    }
    hub_->start();
}

/// Returns the address at which a daemon finds a peer; the smaller one dials.
std::string Rig::shownPeerAddress(int daemon, int peer) const
{
    const auto relay = peerRelayAddresses_.find({ daemon, peer });
    return relay == peerRelayAddresses_.end() ? peerAddress(peer) : relay->second;
}

void Rig::writeSettings(int index) const
{
    json s
        = { { "vm", vmId(index) }, { "adminAddress", adminAddress(index) }, { "metricsAddress", metricsAddress(index) },
              { "platformAddress",
                  options_.relays ? platformRelayAddresses_.at(static_cast<std::size_t>(index)) : platformAddress_ },
              { "fleetSecret", FLEET_SECRET } };
    for (int i = 0; i < options_.daemons; ++i)
        s["entryVms"].push_back({ { "id", vmId(i) }, { "dataCentre", dataCentre(i) }, { "caller", callerAddress(i) },
            { "peer", shownPeerAddress(index, i) } });
    for (int i = 0; i < std::max(options_.engines, options_.engineEntries); ++i)
        s["engines"].push_back({ { "id", engineId(i) },
            { "address",
                options_.relays ? engineRelayAddresses_.at(static_cast<std::size_t>(i % options_.engines))
                                : engineAddress(i % options_.engines) },
            { "dataCentre", dataCentre(i) }, { "model", "assistant" } });
    for (int i = 0; i < options_.services; ++i)
        s["services"].push_back({ { "id", serviceId(i) }, { "name", "rota" },
            { "address", serviceAddresses_.at(static_cast<std::size_t>(i)) }, { "dataCentre", dataCentre(i) } });
    for (int i = 0; i < options_.workspaces; ++i)
        s["workspaces"].push_back({ { "id", workspaceId(i) }, { "keyHash", observe::sha256Hex(workspaceKey(i)) } });
    s["operators"] = json::array({ { { "name", "ops" }, { "tokenHash", observe::sha256Hex(operatorToken()) } } });
    s["timeouts"] = { { "entryTtlMs", 300 }, { "platformMs", 500 }, { "serviceMs", 2000 } };
    s.merge_patch(options_.settings);
    std::ofstream(settingsPath(index)) << s.dump(2);
}

void Rig::control(const std::string& address, const json& faults) { call(address, "POST", "/control", faults.dump()); }

} // namespace goldcrestcleat::harness
