#pragma once

#include "goldcrestcleat/FrontDaemon.h"
#include "goldcrestcleat/settings/FrontSettings.h"

#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// Lists the bans of front daemons in their store, or lifts one; returns the exit code.
int runStoredQuarantine(
    const std::vector<std::string>& arguments, const settings::FrontSettings& settings, const PlatformAdapter& adapter);

} // namespace goldcrestcleat::cli
