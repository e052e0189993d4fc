#include "goldcrestcleat/profiles/ProfileRegistry.h"

namespace goldcrestcleat::profiles {

ProfileRegistry::ProfileRegistry(const std::vector<Profile>& initial)
{
    Profile defaultProfile;
    defaultProfile.name = DEFAULT_NAME;
    profiles_[defaultProfile.name] = defaultProfile;
    for (const Profile& profile : initial)
        profiles_[profile.name] = profile;
}

bool ProfileRegistry::apply(const std::string& name, std::uint64_t version, const nlohmann::json& document)
{
    std::vector<documents::Fault> faults;
    Profile profile = parseProfile(document, faults);
    if (!faults.empty() || profile.name != name)
        return false;
    const auto known = profiles_.find(name);
    if (known != profiles_.end() && known->second.version >= version)
        return false;
    profile.version = version;
    profiles_[name] = profile;
    return true;
}

const Profile* ProfileRegistry::find(const std::string& name) const
{
    const auto found = profiles_.find(name);
    return found == profiles_.end() ? nullptr : &found->second;
}

std::vector<Profile> ProfileRegistry::all() const
{
    std::vector<Profile> result;
    for (const auto& [name, profile] : profiles_)
        result.push_back(profile);
    return result;
}

} // namespace goldcrestcleat::profiles
