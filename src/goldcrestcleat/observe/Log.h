#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <string>

namespace goldcrestcleat::observe {

enum class LogLevel { Debug, Info, Warn, Error };

/// Writes JSON lines through log4cplus: time, level, VM, event and the event's fields.
///
/// Fields never hold prompts, answers, keys or tokens.
class Log {
public:
    enum class Sink { StandardError, StandardOutput };

    /// Lines of one event that `decision` writes in a second; the rest is counted. Bounds the volume under load.
    static constexpr int MAX_LINES_PER_EVENT = 20;

    /// Sets up log4cplus. `level` is debug, info, warn or error. Lines that the sink does not take at once are dropped
    /// and counted.
    Log(std::string vm, const std::string& level, Sink sink = Sink::StandardError);

    /// Writes a decision about a request, unless the event had its share of lines in this second; the next line of
    /// the event then says how many were left out.
    void decision(const std::string& event, nlohmann::json fields) const;

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

    /// Lines that `decision` left out so far.
    std::uint64_t omittedLines() const { return omittedLines_; }

    /// Lines that the sink did not take so far.
    static std::uint64_t droppedLines();

private:
    struct Share {
        std::int64_t second = 0;
        int lines = 0;
        std::uint64_t omitted = 0;
    };

    std::string vm_;
    LogLevel threshold_;
    mutable std::map<std::string, Share> shares_;
    mutable std::uint64_t omittedLines_ = 0;
};

} // namespace goldcrestcleat::observe
