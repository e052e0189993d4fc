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
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    for (const auto& argument : arguments) {
        if (argument == "--help" || argument == "-h") {
            std::cout << cli::helpText(arguments.front());
            return cli::ExitCode::Success;
        }
    }
    absl::SetProgramUsageMessage(cli::helpText(""));
    const std::vector<char*> positionalArguments = absl::ParseCommandLine(argc, argv);
    return cli::runCommand(std::vector<std::string>(positionalArguments.begin() + 1, positionalArguments.end()));
}
