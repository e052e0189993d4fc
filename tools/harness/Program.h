#pragma once

#include <string>
#include <vector>

namespace goldcrestcleat::harness {

/// Output and exit code of a run of the program.
struct ProgramRun {
    int exitCode = 0;
    std::string output; ///< standard output up to the first empty line
    std::string errors; ///< standard error
};

/// Runs the program until it exits. Its standard error is written to a file in `folder`.
ProgramRun runProgram(const std::string& folder, std::vector<std::string> arguments);

} // namespace goldcrestcleat::harness
