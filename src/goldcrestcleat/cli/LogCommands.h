#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// Reads the lines of several log files. If a file cannot be read, prints a message and returns nothing.
std::optional<std::vector<nlohmann::json>> readLogFiles(const std::vector<std::string>& files);

/// Returns true if a line logs a change of a daemon's state, such as its configuration, peers, servers or store, rather
/// than an event of a request.
bool isStateChange(const nlohmann::json& line);

/// Returns the time of a line in Unix seconds, or nothing if it has none.
std::optional<std::int64_t> unixSecondOf(const nlohmann::json& line);

/// The log lines of one or several VMs that concern a request.
struct RequestTimeline {
    std::vector<nlohmann::json> events; ///< lines with the request's id, in order of time
    std::vector<nlohmann::json> precedingStateChanges; ///< at the VM of the last event, shortly before it
    std::string cause; ///< one sentence on how the request ended and why
};

/// Reads log lines. Skips text before the first brace of a line, and lines that are not JSON objects.
std::vector<nlohmann::json> readLogLines(std::istream& in);

/// Collects the timeline of a request. `events` is empty if no line has its id.
RequestTimeline buildTimeline(std::vector<nlohmann::json> lines, const std::string& requestId);

/// Prints the timeline of a request from log files; returns the exit code.
int explainFromLogs(const std::vector<std::string>& files, const std::string& requestId);

} // namespace goldcrestcleat::cli
