#pragma once

#include "goldcrestcleat/documents/ObjectReader.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

/// Versioned profiles that describe kinds of work.
namespace goldcrestcleat::profiles {

/// What a kind of work needs; an immutable value once parsed.
struct Profile {
    std::string name;
    std::uint64_t version = 0; ///< 0 when it comes from the settings
    std::string model; ///< used when the request names none; empty for any
    int priority = 1; ///< 0 is the most urgent, 3 the least
    loop::TimeMs deadlineMs = 60'000; ///< from arrival until the work has to start
    loop::TimeMs firstTokenMs = 10'000; ///< from sending until the first token
    loop::TimeMs stallMs = 5'000; ///< between two parts of an answer
    loop::TimeMs warmWaitMs = 300; ///< how long to wait for the engine that holds the context
    double cost = 1.0; ///< weight of one request in the fair queue
    int retries = 2; ///< further attempts after the first
    int maxOpenPerWorkspace = 256;
    bool mustNotRepeat = false; ///< service calls are claimed whatever their method

    bool operator==(const Profile& other) const;
    bool operator!=(const Profile& other) const { return !(*this == other); }
};

/// Reads a profile's members; faults go to the reader's list.
Profile readProfile(documents::ObjectReader& reader);

/// Parses a whole document; throws nothing, faults are appended.
Profile parseProfile(const nlohmann::json& document, std::vector<documents::Fault>& faults);

/// Returns the members without the version.
nlohmann::json toJson(const Profile& profile);

} // namespace goldcrestcleat::profiles
