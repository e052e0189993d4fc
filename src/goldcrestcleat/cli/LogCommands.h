#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// What the logs of one or several VMs tell of a request.
struct RequestStory {
    std::vector<nlohmann::json> decisions; ///< lines that name the request, by time
    std::vector<nlohmann::json> surroundings; ///< changes of state at the same VM shortly before its end
    std::string cause; ///< one sentence
};

/// Reads log lines; text before a line's first brace is skipped, and lines that are not JSON objects are left out.
std::vector<nlohmann::json> readLogLines(std::istream& in);

/// Finds a request's story. Without a line that names it, `decisions` is empty.
RequestStory tellStory(std::vector<nlohmann::json> lines, const std::string& requestId);

/// Prints the story of a request from log files; returns the exit code.
int explainFromLogs(const std::vector<std::string>& files, const std::string& requestId);

} // namespace goldcrestcleat::cli
