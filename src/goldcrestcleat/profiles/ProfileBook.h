#pragma once

#include "goldcrestcleat/profiles/Profile.h"

#include <map>
#include <string>

namespace goldcrestcleat::profiles {

/// The profiles in force: those of the settings, overridden by published versions.
class ProfileBook {
public:
    static constexpr const char* DEFAULT_NAME = "default";

    /// Takes the settings' profiles as version 0; adds a default profile if they have none.
    explicit ProfileBook(const std::vector<Profile>& initial);

    /// Takes a published version unless a higher one is in force; false when it was ignored or has faults.
    bool apply(const std::string& name, std::uint64_t version, const nlohmann::json& document);

    const Profile* find(const std::string& name) const;

    /// Returns the profiles in name order.
    std::vector<Profile> all() const;

private:
    std::map<std::string, Profile> profiles_;
};

} // namespace goldcrestcleat::profiles
