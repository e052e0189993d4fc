#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace goldcrestcleat::observe {

enum class LogLevel { Debug, Info, Warn, Error };

/// Writes JSON lines through log4cplus: time, level, VM, event and the event's fields.
///
/// Fields never hold prompts, answers, keys or tokens.
class Log {
public:
    /// Sets up log4cplus to write to standard error. `level` is debug, info, warn or error.
    Log(std::string vm, const std::string& level);

    void write(LogLevel level, const std::string& event, nlohmann::json fields = nlohmann::json::object()) const;

    void debug(const std::string& event, nlohmann::json fields) const
    {
        write(LogLevel::Debug, event, std::move(fields));
    }
    void info(const std::string& event, nlohmann::json fields = nlohmann::json::object()) const
    {
        write(LogLevel::Info, event, std::move(fields));
    }
    void warn(const std::string& event, nlohmann::json fields) const
    {
        write(LogLevel::Warn, event, std::move(fields));
    }
    void error(const std::string& event, nlohmann::json fields) const
    {
        write(LogLevel::Error, event, std::move(fields));
    }

private:
    std::string vm_;
    LogLevel threshold_;
};

} // namespace goldcrestcleat::observe
