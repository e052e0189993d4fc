#pragma once

#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// Runs an operator's subcommand by requests to a daemon's admin listener; returns the exit code.
int runOperatorCommand(const std::vector<std::string>& arguments);

} // namespace goldcrestcleat::cli
