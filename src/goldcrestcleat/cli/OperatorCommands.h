#pragma once

#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// Runs an operator's subcommand against a daemon's admin listener; returns an exit code.
int runOperatorCommand(const std::vector<std::string>& arguments);

} // namespace goldcrestcleat::cli
