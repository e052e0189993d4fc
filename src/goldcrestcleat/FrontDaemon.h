#pragma once

#include "goldcrestcleat/gateway/FrontGateway.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/store/RowStore.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrestcleat {

/// Everything that a daemon needs of the deployment that it runs on; formats and calls, no decisions.
struct FrontPorts {
    std::string configurationTable;
    std::string configurationKey;
    std::string serversTable;

    /// Throws Error with ConfigurationInvalid.
    std::function<routes::Configuration(const std::string& text)> parseConfiguration;

    /// Throws Error with ServerEntryInvalid.
    std::function<upstreams::ServerEntry(const std::string& id, const std::string& text)> parseServer;

    std::function<store::RowStore(loop::EventLoop&, const std::string& storeAddress)> makeStore;
    forwarding::Dialect dialect;
    gateway::EntryDialect entry;
};

/// The daemon of one entry VM on a deployment that keeps configuration and servers in its store.
class FrontDaemon {
public:
    /// Reads the settings. Throws SettingsError.
    FrontDaemon(std::string settingsPath, FrontPorts ports);
    ~FrontDaemon();

    /// Serves until a stop was requested and carried out; returns the exit code.
    int run();

    /// Begins a planned stop. Safe to call from a signal handler.
    void requestStop();

    /// Reads the settings file again. Safe to call from a signal handler.
    void requestReload();

private:
    class Parts;
    std::unique_ptr<Parts> parts_;
};

} // namespace goldcrestcleat
