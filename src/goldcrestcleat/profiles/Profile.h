#pragma once

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Versioned request profiles.
namespace goldcrestcleat::profiles {

/// Timeouts, limits and scheduling parameters for one type of request; not modified after parsing.
struct Profile {
    std::string name;
    std::uint64_t version = 0; ///< 0 for a profile from the settings
    std::string model; ///< default for requests that name no model; may be empty
    int priority = 1; ///< from 0, the most urgent, to 3
    loop::TimeMs deadlineMs = 60'000; ///< from the arrival of the request until its processing must have started
    loop::TimeMs firstTokenMs = 10'000; ///< from sending the request until the first token
    loop::TimeMs stallMs = 5'000; ///< longest pause between two parts of an answer
    loop::TimeMs warmWaitMs = 300; ///< how long to queue for the engine that holds the chat's context
    double cost = 1.0; ///< cost of one request in the fair queue
    int retries = 2; ///< attempts after the first one
    int maxOpenPerWorkspace = 256;
    bool mustNotRepeat = false; ///< service calls need an idempotency claim whatever their method

    bool operator==(const Profile& other) const;
    bool operator!=(const Profile& other) const { return !(*this == other); }
};

/// Reads a profile's members; faults are appended to the reader's list.
Profile readProfile(documents::ObjectReader& reader);

/// Parses a profile document. Does not throw; faults are appended to `faults`.
Profile parseProfile(const nlohmann::json& document, std::vector<documents::Fault>& faults);

/// Returns the profile as a JSON object without its version.
nlohmann::json toJson(const Profile& profile);

} // namespace goldcrestcleat::profiles
