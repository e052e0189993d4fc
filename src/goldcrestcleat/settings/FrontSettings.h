#pragma once

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/settings/Settings.h"

#include <string>
#include <vector>

namespace goldcrestcleat::settings {

/// Promises of the deployment that bound what a daemon may do, in ms unless said otherwise.
struct Bounds {
    loop::TimeMs upstreamLeavesMs = 2'000; ///< after its leaving was acknowledged, an upstream gets no request
    loop::TimeMs stopGraceMs = 8'000; ///< between the stop signal and the kill
    double retryRatio = 0.2; ///< retries of a service for each of its requests, of all daemons together
    double retryExtra = 10; ///< retries beyond that
    loop::TimeMs retryWindowMs = 10'000;
    double loadFactor = 2.0; ///< multiple of the mean load that no engine may exceed
    loop::TimeMs entryTtlMs = 2'000; ///< callers may keep an entry answer this long
};

/// Settings of a daemon whose configuration, upstreams and peers are found in the deployment's store.
struct FrontSettings {
    EntryVm self;
    std::string readinessAddress;
    std::string entryAddress; ///< empty where this daemon answers no entry questions
    std::string metricsAddress; ///< empty for none
    std::string storeAddress;
    Bounds bounds;
    int descriptors = 1'024; ///< files and sockets that the process may have open; the default is the usual limit
    std::string logLevel = "info";
};

/// Parses a document; returns what could be read and appends every fault. Unknown members are faults.
FrontSettings parseFrontSettings(const nlohmann::json& document, std::vector<documents::Fault>& faults);

/// Reads a settings file. Throws SettingsError that lists all faults, a line each.
FrontSettings loadFrontSettings(const std::string& path);

} // namespace goldcrestcleat::settings
