#include "goldcrestcleat/cli/Commands.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <iostream>
#include <string>
#include <vector>

/// Program entry: `goldcrestcleat SUBCOMMAND [FLAGS]`.
int main(int argc, char** argv)
{
    using namespace goldcrestcleat;
    const std::vector<std::string> raw(argv + 1, argv + argc);
    for (const auto& argument : raw) {
        if (argument == "--help" || argument == "-h") {
            std::cout << cli::helpText(raw.front());
            return cli::ExitCode::Success;
        }
    }
    absl::SetProgramUsageMessage(cli::helpText(""));
    const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
    return cli::runCommand(std::vector<std::string>(rest.begin() + 1, rest.end()));
}
