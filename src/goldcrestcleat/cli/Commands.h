#pragma once

#include <string>
#include <vector>

/// The command line: subcommands, their help and their exit codes.
namespace goldcrestcleat::cli {

/// Exit codes of the program; docs/OPERATIONS.md lists them.
enum ExitCode : int {
    Success = 0,
    Failed = 1, ///< the daemon or the command failed; the message has the result's number
    BadUsage = 2, ///< unknown subcommand or flag
    BadSettings = 3, ///< the settings have faults
    Refused = 4, ///< a daemon refused the operator's command
    Unreachable = 5 ///< no daemon answered
};

/// Runs the subcommand named by the first argument that is no flag; `arguments` excludes the program's name.
int runCommand(const std::vector<std::string>& arguments);

/// Returns the text of `--help`, for the whole program or for one subcommand.
std::string helpText(const std::string& subcommand);

} // namespace goldcrestcleat::cli
