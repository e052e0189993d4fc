#pragma once

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/http/MessageReader.h"
#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/profiles/Profile.h"

#include <string>
#include <vector>

/// Checked settings of a daemon.
namespace goldcrestcleat::settings {

/// An entry VM as the settings name it.
struct EntryVm {
    std::string id;
    std::string dataCentre;
    std::string caller; ///< IP:port for callers
    std::string peer; ///< IP:port for other daemons
};

/// A model engine.
struct Engine {
    std::string id;
    std::string address;
    std::string dataCentre;
    std::string model;
    int maxRunning = 64; ///< never more requests at once, whatever the mean
};

/// One server of a plain service.
struct Service {
    std::string id;
    std::string name; ///< servers of one name stand for each other
    std::string address;
    std::string dataCentre;
};

/// A customer of the deployment.
struct Workspace {
    std::string id;
    std::string keyHash; ///< SHA-256 of the key, in hexadecimal
    double weight = 1.0; ///< share in the fair queue
    int maxOpen = 512; ///< requests open at one daemon
};

/// Someone who may use the admin listener.
struct Operator {
    std::string name;
    std::string tokenHash; ///< SHA-256 of the token, in hexadecimal
};

/// How placement weighs even load against warm context.
struct Routing {
    double loadBound = 1.25; ///< no engine carries more than this multiple of the mean, plus one
    double admitFactor = 1.10; ///< multiple of the mean up to which new work is admitted
    loop::TimeMs meanWindowMs = 500; ///< the lowest mean of this window counts
    std::size_t chatMemoryBytes = 4 * 1024 * 1024; ///< for chats that run away from their first engine
    double reuseWeight = 0.5; ///< 0 favours even load, 1 favours warm context
};

/// Time allowances, in ms.
struct Timeouts {
    loop::TimeMs requestReadMs = 10'000;
    loop::TimeMs callerIdleMs = 60'000;
    loop::TimeMs callerStallMs = 30'000;
    loop::TimeMs serviceMs = 10'000;
    loop::TimeMs platformMs = 1'000;
    loop::TimeMs entryTtlMs = 10'000; ///< how long callers may keep an entry answer
    loop::TimeMs peerSilenceMs = 1'500; ///< a peer silent for longer is taken for dead
};

/// All settings of one daemon.
struct Settings {
    EntryVm self;
    std::string adminAddress;
    std::string metricsAddress;
    std::string platformAddress; ///< table service and VM list
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

/// Parses a document; returns what could be read and appends every fault.
Settings parseSettings(const nlohmann::json& document, std::vector<documents::Fault>& faults);

/// Reads a settings file. Throws SettingsError that lists all faults, a line each.
Settings loadSettings(const std::string& path);

} // namespace goldcrestcleat::settings
