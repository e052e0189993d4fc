#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace goldcrestcleat::observe {

enum class LogLevel { Debug, Info, Warn, Error };

/// Writes JSON lines through log4cplus: time, level, VM, event and the event's fields.
///
/// Fields must not contain prompts, responses, keys or tokens.
class Log {
public:
    enum class Sink { StandardError, StandardOutput };

    /// Maximum number of lines per event and second that `infoRateLimited` writes, which limits the volume under load.
    static constexpr int MAX_LINES_PER_EVENT = 20;

    /// Configures log4cplus. `level` is debug, info, warn or error. Lines that cannot be written without blocking are
    /// dropped and counted.
    Log(std::string vm, const std::string& level, Sink sink = Sink::StandardError);

    /// Writes a line at info level unless the event has reached `MAX_LINES_PER_EVENT` in the current second. The next
    /// line of the event states how many were omitted.
    void infoRateLimited(const std::string& event, nlohmann::json fields) const;

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

    /// Returns the number of lines omitted by `infoRateLimited` so far.
    std::uint64_t omittedLines() const { return omittedLines_; }

    /// Returns the number of lines dropped so far because the sink would have blocked.
    static std::uint64_t droppedLines();

private:
    struct RateWindow {
        std::int64_t second = 0;
        int lines = 0;
        std::uint64_t omitted = 0;
    };

    std::string vm_;
    LogLevel threshold_;
    mutable std::map<std::string, RateWindow> windows_;
    mutable std::uint64_t omittedLines_ = 0;
};

} // namespace goldcrestcleat::observe
