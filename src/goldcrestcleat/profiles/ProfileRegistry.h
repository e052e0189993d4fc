#pragma once

#include "goldcrestcleat/profiles/Profile.h"

#include <map>
#include <string>

namespace goldcrestcleat::profiles {

/// The active profiles: those of the settings, overridden by published versions.
class ProfileRegistry {
public:
    static constexpr const char* DEFAULT_NAME = "default";

    /// Registers the profiles of the settings as version 0, and a default profile if they contain none.
    explicit ProfileRegistry(const std::vector<Profile>& initial);

    /// Activates a published version and returns true. Returns false if the document is invalid or the active version
    /// is at least as high.
    bool apply(const std::string& name, std::uint64_t version, const nlohmann::json& document);

    const Profile* find(const std::string& name) const;

    /// Returns the profiles, ordered by name.
    std::vector<Profile> all() const;

private:
    std::map<std::string, Profile> profiles_;
};

} // namespace goldcrestcleat::profiles
