#pragma once

#include "goldcrestcleat/FrontDaemon.h"

#include <string>

namespace goldcrestcleat::cli {

/// Checks a configuration before it is sent and prints what is wrong with it, and what differs from the one in force.
///
/// `inForcePath` may be empty. Returns an exit code: `BadSettings` if there is an error. Throws Error with
/// ConfigurationInvalid for a document that cannot be read.
int checkConfigurationFile(
    const PlatformAdapter& adapter, const std::string& path, const std::string& inForcePath, bool asJson);

} // namespace goldcrestcleat::cli
