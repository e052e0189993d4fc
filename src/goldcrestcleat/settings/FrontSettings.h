#pragma once

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/settings/Settings.h"

#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::settings {

/// Guarantees of the deployment that daemons must observe, in ms unless stated otherwise.
struct Bounds {
    loop::TimeMs stopGraceMs = 8'000; ///< from the stop signal until the process is killed
    double retryRatio = 0.2; ///< retries allowed per request to a service, for all daemons together
    double retryExtra = 10; ///< further retries allowed per window
    loop::TimeMs retryWindowMs = 10'000; ///< over which requests and retries are counted
    double loadFactor = 2.0; ///< multiple of the mean load that no engine may exceed
    double coldOverage = 1; ///< multiple of the requests that a cold server tolerates which may be sent to it
    loop::TimeMs entryTtlMs = 2'000; ///< how long callers may cache the response to an entry lookup
};

/// Settings of a daemon that reads its configuration, upstreams and peers from the deployment's store.
struct FrontSettings {
    EntryVm self;
    std::string readinessAddress;
    std::string entryAddress; ///< empty if this daemon does not serve entry lookups
    std::string metricsAddress; ///< empty for none
    std::string storeAddress;
    std::map<std::string, std::string> regions; ///< by data centre; needed where the configuration names regions
    Bounds bounds;
    int descriptors = 1'024; ///< limit of open files and sockets; the default is the usual one of a process
    std::string logLevel = "info";

    /// Returns the region of a data centre, empty if it is not known.
    std::string regionOf(const std::string& dataCentre) const;
};

/// Parses a document. Returns the valid settings and appends all faults; unknown members are faults.
FrontSettings parseFrontSettings(const nlohmann::json& document, std::vector<documents::Fault>& faults);

/// Loads a settings file. Throws SettingsError that lists all faults, one per line.
FrontSettings loadFrontSettings(const std::string& path);

} // namespace goldcrestcleat::settings
