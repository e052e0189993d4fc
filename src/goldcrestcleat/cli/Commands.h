#pragma once

#include <string>
#include <vector>

/// The command line: subcommands, their help and their exit codes.
namespace goldcrestcleat::cli {

/// Exit codes of the program, as documented in docs/OPERATIONS.md.
enum ExitCode : int {
    Success = 0,
    Failed = 1, ///< the daemon or the command failed; the message contains the result code
    BadUsage = 2, ///< unknown subcommand or flag
    BadSettings = 3, ///< the settings are invalid
    Refused = 4, ///< a daemon rejected the operator's command
    Unreachable = 5 ///< no daemon answered, or the answer broke off
};

/// Runs the subcommand that the first argument names and returns its exit code. `arguments` holds the positional
/// arguments without the program's name.
int runCommand(const std::vector<std::string>& arguments);

/// Returns the text of `--help` for one subcommand, or for the whole program if the name is unknown or empty.
std::string helpText(const std::string& subcommand);

} // namespace goldcrestcleat::cli
