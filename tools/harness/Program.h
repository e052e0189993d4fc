#pragma once

#include <string>
#include <vector>

namespace goldcrestcleat::harness {

/// What a run of the program printed and returned.
struct ProgramRun {
    int exitCode = 0;
    std::string output; ///< up to the first empty line
    std::string errors;
};

/// Runs the program to its end. `folder` takes what it writes to standard error.
ProgramRun runProgram(const std::string& folder, std::vector<std::string> arguments);

} // namespace goldcrestcleat::harness
