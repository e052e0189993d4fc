#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// Returns a self-contained HTML page with plots, made from the log lines of one or several VMs.
///
/// It shows requests by second and result, times to the head of the answer by kind of route, loads by server,
/// configuration versions and connected peers by VM, and the state changes. Requests are counted from the summary that
/// each daemon logs every second, since log lines of single requests may be omitted.
std::string reportPage(const std::vector<nlohmann::json>& lines);

/// Reads log files and writes the page; returns the exit code.
int reportFromLogs(const std::vector<std::string>& files, const std::string& outPath);

} // namespace goldcrestcleat::cli
