#include "Common.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address to listen on; port 0 selects a free port");
ABSL_FLAG(std::string, truth, "", "file to which the truth log is appended");
ABSL_FLAG(std::string, faults, "{}", "fault switches and timing parameters as a JSON object");

/// Runs a stand-in: `standin platform|engine|service|rowstore|server [--listen A] [--truth FILE] [--faults JSON]`.
int main(int argc, char** argv)
{
    const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
    const std::string kind = arguments.size() > 1 ? arguments[1] : "";
    const std::string address = absl::GetFlag(FLAGS_listen);
    const std::string truth = absl::GetFlag(FLAGS_truth);
    const auto faults = nlohmann::json::parse(absl::GetFlag(FLAGS_faults));
    if (kind == "engine")
        return standins::runEngine(address, truth, faults);
    if (kind == "service")
        return standins::runService(address, truth, faults);
    if (kind == "platform")
        return standins::runPlatform(address, truth, faults);
    if (kind == "rowstore")
        return standins::runRowStore(address, truth, faults);
    if (kind == "server")
        return standins::runSignedServer(address, truth, faults);
    std::cerr << "usage: standin platform|engine|service|rowstore|server [FLAGS]\n";
    return 2;
}
