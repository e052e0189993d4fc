#include "Common.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "address; port 0 takes a free one");
ABSL_FLAG(std::string, truth, "", "file that gets the truth log");
ABSL_FLAG(std::string, faults, "{}", "fault switches and speeds as a JSON object");

/// Program entry: `standin platform|engine|service|rowstore|server [--listen A] [--truth FILE] [--faults JSON]`.
int main(int argc, char** argv)
{
    const std::vector<char*> rest = absl::ParseCommandLine(argc, argv);
    const std::string kind = rest.size() > 1 ? rest[1] : "";
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
