#include "harness/Program.h"

#include "harness/Process.h"

#include <fstream>
#include <iterator>

namespace goldcrestcleat::harness {

namespace {

    constexpr int EXIT_TIMEOUT_MS = 30'000;

} // namespace

ProgramRun runProgram(const std::string& folder, std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), GOLDCRESTCLEAT_BINARY);
    const std::string errorPath = folder + "/cli.err";
    std::ofstream(errorPath, std::ios::trunc).close();
    Process process(arguments, errorPath);
    ProgramRun result;
    for (std::string line = process.readLine(); !line.empty(); line = process.readLine())
        result.output += line + "\n";
    result.exitCode = process.waitForExit(EXIT_TIMEOUT_MS);
    std::ifstream file(errorPath);
    result.errors.assign(std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>());
    return result;
}

} // namespace goldcrestcleat::harness
