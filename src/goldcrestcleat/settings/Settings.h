#pragma once

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/http/MessageReader.h"
#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/profiles/Profile.h"

#include <string>
#include <vector>

/// Validated settings of a daemon.
namespace goldcrestcleat::settings {

/// A VM with a daemon that accepts requests.
struct EntryVm {
    std::string id;
    std::string dataCentre;
    std::string caller; ///< IP:port on which callers connect
    std::string peer; ///< IP:port on which other daemons connect
};

/// A model engine.
struct Engine {
    std::string id;
    std::string address;
    std::string dataCentre;
    std::string model;
    int maxRunning = 64; ///< maximum number of concurrent requests, independent of the mean load
};

/// A server of a service that runs no models.
struct Service {
    std::string id;
    std::string name; ///< servers with the same name are interchangeable
    std::string address;
    std::string dataCentre;
};

/// A customer of the deployment.
struct Workspace {
    std::string id;
    std::string keyHash; ///< SHA-256 of the key, in hexadecimal
    double weight = 1.0; ///< weight in the fair queue
    int maxOpen = 512; ///< maximum number of open requests per daemon
};

/// A user of the admin listener.
struct Operator {
    std::string name;
    std::string tokenHash; ///< SHA-256 of the token, in hexadecimal
};

/// Trade-off between even load and the reuse of cached context.
struct Routing {
    double loadBound = 1.25; ///< load limit of an engine: this multiple of the mean load, plus one
    double admitFactor = 1.10; ///< multiple of the mean load up to which new requests are admitted
    loop::TimeMs meanWindowMs = 500; ///< the minimum of the mean load within this window is used
    std::size_t chatMemoryBytes = 4 * 1024 * 1024; ///< memory limit for chats not on their preferred engine
    double reuseWeight = 0.5; ///< 0 favours even load, 1 favours warm context
};

/// Timeouts, in ms.
struct Timeouts {
    loop::TimeMs requestReadMs = 10'000;
    loop::TimeMs callerIdleMs = 60'000;
    loop::TimeMs callerStallMs = 30'000;
    loop::TimeMs serviceMs = 10'000;
    loop::TimeMs platformMs = 1'000;
    loop::TimeMs entryTtlMs = 10'000; ///< how long callers may cache the response to an entry lookup
    loop::TimeMs peerSilenceMs = 1'500; ///< a peer is considered dead after this time without a message
};

/// All settings of one daemon.
struct Settings {
    EntryVm self;
    std::string adminAddress;
    std::string metricsAddress;
    std::string platformAddress; ///< address of the table service and the VM list
    std::string fleetSecret;
    std::vector<EntryVm> entryVms;
    std::vector<Engine> engines;
    std::vector<Service> services;
    std::vector<Workspace> workspaces;
    std::vector<Operator> operators;
    std::vector<profiles::Profile> profiles;
    Routing routing;
    Timeouts timeouts;
    http::Limits limits;
    std::size_t answerBytes = 16 * 1024 * 1024;
    std::string logLevel = "info";
};

/// Parses a document. Returns the valid settings and appends all faults.
Settings parseSettings(const nlohmann::json& document, std::vector<documents::Fault>& faults);

/// Loads a settings file. Throws SettingsError that lists all faults, one per line.
Settings loadSettings(const std::string& path);

} // namespace goldcrestcleat::settings
