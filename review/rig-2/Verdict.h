#pragma once

#include <nlohmann/json.hpp>

#include <fstream>
#include <mutex>
#include <string>

namespace review {

/// Exit codes of a case.
constexpr int HELD = 0;
constexpr int BROKEN = 1;
constexpr int NOT_RUN = 2;

/// Returns whether the case is to cause its disruption.
bool hasTrouble();

/// Milliseconds of the steady clock.
long long nowMs();

/// Writes what was sent, answered and run to `record.txt` in the folder of the case.
class Record {
public:
    explicit Record(const std::string& path);

    /// Appends a line with the time since the start of the case. Safe to call from several threads.
    void write(const std::string& line);
    void write(const nlohmann::json& line)
    {
        write(line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
    long long startedAt_;
};

/// Runs a case with its record and returns its exit code; NOT_RUN if it throws.
int runCase(int argc, char** argv, int (*play)(Record&));

} // namespace review
