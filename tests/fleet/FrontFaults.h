#pragma once

#include "harness/FrontRig.h"

#include <csignal>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace proofs {

using namespace goldcrestcleat::harness;
using nlohmann::json;

constexpr int DAEMONS = 4;
constexpr int ENGINES = 4;
constexpr int APPS = 3;

/// Injects one fault a step and undoes all at the end.
class FrontFaults {
public:
    FrontFaults(FrontRig& rig, std::uint64_t seed)
        : rig_(rig)
        , random_(seed)
    {
    }

    void step()
    {
        static const std::vector<void (FrontFaults::*)()> kinds = { &FrontFaults::killDaemon, &FrontFaults::stopDaemon,
            &FrontFaults::freezeDaemon, &FrontFaults::reviveDaemons, &FrontFaults::reviveDaemons,
            &FrontFaults::cutStore, &FrontFaults::healStore, &FrontFaults::troubleStore, &FrontFaults::calmStore,
            &FrontFaults::cutServer, &FrontFaults::healServers, &FrontFaults::crashServer, &FrontFaults::reviveServers,
            &FrontFaults::spoilServer, &FrontFaults::spoilServer, &FrontFaults::drainServer,
            &FrontFaults::changeConfiguration, &FrontFaults::dropHistory, &FrontFaults::reload };
        (this->*kinds[random_() % kinds.size()])();
    }

    void undoAll()
    {
        healStore();
        calmStore();
        healServers();
        for (int i = 0; i < DAEMONS; ++i)
            rig_.daemon(i).resume();
        reviveServers();
        for (const auto& name : names_)
            rig_.setServerFaults(
                name, { { "hangNext", 0 }, { "stallNext", 0 }, { "crashNext", 0 }, { "shedNext", 0 } });
        for (const auto& name : names_)
            rig_.registerServer(name);
        reviveDaemons();
    }

    /// Daemons that ended though nobody ended them.
    int unexplainedEnds()
    {
        int ends = 0;
        for (int i = 0; i < DAEMONS; ++i)
            ends += !rig_.daemon(i).isRunning() && ended_.count(i) == 0;
        return ends;
    }

private:
    int anyDaemon() { return static_cast<int>(random_() % DAEMONS); }
    const std::string& anyServer() { return names_[random_() % names_.size()]; }

    void killDaemon()
    {
        const int daemon = anyDaemon();
        rig_.daemon(daemon).kill();
        ended_.insert(daemon);
    }

    void stopDaemon()
    {
        const int daemon = anyDaemon();
        rig_.daemon(daemon).signal(SIGTERM);
        ended_.insert(daemon);
    }

    void freezeDaemon() { rig_.daemon(anyDaemon()).suspend(); }

    void reviveDaemons()
    {
        for (int i = 0; i < DAEMONS; ++i) {
            rig_.daemon(i).resume();
            if (!rig_.daemon(i).isRunning()) {
                rig_.startDaemon(i);
                ended_.erase(i);
            }
        }
    }

    void cutStore()
    {
        auto& relay = rig_.storeRelay(anyDaemon());
        switch (random_() % 3) {
        case 0:
            relay.setMode(RelayMode::Closed);
            break;
        case 1:
            relay.setMode(RelayMode::Blackhole);
            break;
        default:
            relay.blackholeConnections();
        }
    }

    void healStore()
    {
        for (int i = 0; i < DAEMONS; ++i)
            rig_.storeRelay(i).setMode(RelayMode::Open);
    }

    void troubleStore()
    {
        static const std::vector<json> troubles
            = { { { "busy", 1 } }, { { "reset", 1 } }, { { "silent", 1 } }, { { "delayMs", 200 } } };
        rig_.controlStore(troubles[random_() % troubles.size()]);
    }

    void calmStore() { rig_.controlStore({ { "busy", 0 }, { "reset", 0 }, { "silent", 0 }, { "delayMs", 0 } }); }

    void cutServer()
    {
        auto& relay = rig_.serverRelay(anyServer());
        if (random_() % 2)
            relay.blackholeConnections();
        else
            relay.setMode(random_() % 2 ? RelayMode::Closed : RelayMode::Blackhole);
    }

    void healServers()
    {
        for (const auto& name : names_)
            rig_.serverRelay(name).setMode(RelayMode::Open);
    }

    void crashServer() { rig_.server(anyServer()).kill(); }

    void reviveServers()
    {
        for (const auto& name : names_) {
            if (!rig_.server(name).isRunning())
                rig_.startServer(name, name.rfind("app", 0) == 0 ? "app" : "llm");
        }
    }

    void spoilServer()
    {
        static const std::vector<const char*> faults = { "dropReplyNext", "crossNext", "unsignedNext", "shedNext",
            "errorNext", "truncateNext", "stallNext", "hangNext", "crashNext" };
        const auto& name = anyServer();
        if (rig_.server(name).isRunning())
            rig_.setServerFaults(name, { { faults[random_() % faults.size()], 1 + random_() % 3 } });
    }

    void drainServer()
    {
        const auto& name = anyServer();
        if (random_() % 2)
            rig_.registerServer(name, { { "state", random_() % 2 ? "draining" : "ready" } });
        else
            rig_.unregisterServer(name);
    }

    void changeConfiguration()
    {
        rig_.configuration["routes"][0]["timeoutMs"] = 7'000 + random_() % 1'000;
        rig_.publish();
    }

    void dropHistory() { rig_.controlStore({ { "compact", true } }); }

    void reload() { rig_.daemon(anyDaemon()).signal(SIGHUP); }

    FrontRig& rig_;
    std::mt19937_64 random_;
    std::set<int> ended_;
    const std::vector<std::string> names_ = [] {
        std::vector<std::string> names;
        for (int i = 0; i < ENGINES; ++i)
            names.push_back(FrontRig::engineName(i));
        for (int i = 0; i < APPS; ++i)
            names.push_back(FrontRig::appName(i));
        return names;
    }();
};

} // namespace proofs
