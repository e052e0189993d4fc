#pragma once

#include "goldcrestcleat/gateway/FrontGateway.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/store/RowStore.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrestcleat {

/// Adapter to the platform that a daemon runs on: names, document formats and protocols. It makes no routing decisions.
struct PlatformAdapter {
    std::string configurationTable;
    std::string configurationKey;
    std::string evacuationKeyPrefix {}; ///< of rows of the same table that name an evacuated data centre
    std::string serversTable;

    std::string workspacesMember; ///< member of the configuration document that lists the workspaces

    /// Parses the configuration document. Throws Error with ConfigurationInvalid.
    std::function<routes::Configuration(const std::string& text)> parseConfiguration;

    /// Parses the entry of a server. Throws Error with ServerEntryInvalid.
    std::function<upstreams::ServerEntry(const std::string& id, const std::string& text)> parseServer;

    std::function<store::RowStore(loop::EventLoop&, const std::string& storeAddress)> makeStore;
    forwarding::Dialect dialect;
    gateway::EntryDialect entryDialect;
};

/// The daemon of one entry VM on a platform that keeps its configuration and its servers in a store.
class FrontDaemon {
public:
    /// Loads the settings. Throws SettingsError.
    FrontDaemon(std::string settingsPath, PlatformAdapter adapter);
    ~FrontDaemon();

    /// Serves until a requested stop has completed; returns the exit code.
    int run();

    /// Begins a planned stop. Safe to call from a signal handler.
    void requestStop();

    /// Reloads the settings file if it has changed. Safe to call from a signal handler.
    void requestReload();

private:
    class Components;
    std::unique_ptr<Components> components_;
};

} // namespace goldcrestcleat
