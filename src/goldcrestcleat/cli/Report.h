#pragma once

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace goldcrestcleat::cli {

/// Returns a self-contained HTML page with plots of a day, from the lines of the logs of one or several VMs.
///
/// It shows requests by second and result, waits by kind, loads by server, configuration versions and peers by VM, and
/// the changes of state. Only lines that are written each second are counted, so that the counts are whole.
std::string reportPage(const std::vector<nlohmann::json>& lines);

/// Reads log files and writes the page; returns an exit code.
int reportFromLogs(const std::vector<std::string>& files, const std::string& outPath);

} // namespace goldcrestcleat::cli
