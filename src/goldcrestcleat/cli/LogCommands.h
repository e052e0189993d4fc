#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// Reads the lines of several log files; nothing, with a message, when one can't be read.
std::optional<std::vector<nlohmann::json>> readLogFiles(const std::vector<std::string>& files);

/// Says whether a line tells of a change of what a daemon believes, not of a request.
bool isChangeOfState(const nlohmann::json& line);

/// Returns the Unix second of a line, or nothing when it has no time.
std::optional<std::int64_t> secondOf(const nlohmann::json& line);

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
