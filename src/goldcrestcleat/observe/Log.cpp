#include "goldcrestcleat/observe/Log.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <log4cplus/appender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>
#include <log4cplus/spi/loggingevent.h>

#include <atomic>

#include <poll.h>
#include <unistd.h>

namespace goldcrestcleat::observe {

namespace {

    LogLevel parseLevel(const std::string& name)
    {
        if (name == "debug")
            return LogLevel::Debug;
        if (name == "warn")
            return LogLevel::Warn;
        return name == "error" ? LogLevel::Error : LogLevel::Info;
    }

    const char* levelName(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return "debug";
        case LogLevel::Info:
            return "info";
        case LogLevel::Warn:
            return "warn";
        case LogLevel::Error:
            break;
        }
        return "error";
    }

    log4cplus::LogLevel toLog4cplus(LogLevel level)
    {
        switch (level) {
        case LogLevel::Debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case LogLevel::Info:
            return log4cplus::INFO_LOG_LEVEL;
        case LogLevel::Warn:
            return log4cplus::WARN_LOG_LEVEL;
        case LogLevel::Error:
            break;
        }
        return log4cplus::ERROR_LOG_LEVEL;
    }

    std::atomic<std::uint64_t> totalDropped { 0 };

    /// Writes lines to a descriptor and drops those that would block, so that a slow reader cannot stall the process.
    class NonBlockingAppender : public log4cplus::Appender {
    public:
        explicit NonBlockingAppender(int descriptor)
            : descriptor_(descriptor)
        {
        }

        ~NonBlockingAppender() override { destructorImpl(); }

        void close() override { }

    protected:
        void append(const log4cplus::spi::InternalLoggingEvent& event) override
        {
            std::string line = event.getMessage() + "\n";
            if (dropped_ > 0)
                line += "{\"event\":\"log-lines-dropped\",\"count\":" + std::to_string(dropped_) + "}\n";
            pollfd ready = { descriptor_, POLLOUT, 0 };
            const bool isWritten = ::poll(&ready, 1, 0) == 1 && (ready.revents & POLLOUT) != 0
                && ::write(descriptor_, line.data(), line.size()) == static_cast<ssize_t>(line.size());
            dropped_ = isWritten ? 0 : dropped_ + 1;
            totalDropped += isWritten ? 0 : 1;
        }

    private:
        int descriptor_;
        std::uint64_t dropped_ = 0;
    };

    log4cplus::Logger& logger()
    {
        static log4cplus::Initializer initializer;
        static log4cplus::Logger instance = log4cplus::Logger::getInstance("goldcrestcleat");
        return instance;
    }

} // namespace

Log::Log(std::string vm, const std::string& level, Sink sink)
    : vm_(std::move(vm))
    , threshold_(parseLevel(level))
{
    log4cplus::Logger& root = logger();
    root.removeAllAppenders();
    root.addAppender(log4cplus::SharedAppenderPtr(
        new NonBlockingAppender(sink == Sink::StandardError ? STDERR_FILENO : STDOUT_FILENO)));
    root.setLogLevel(toLog4cplus(threshold_));
}

std::uint64_t Log::droppedLines() { return totalDropped; }

void Log::infoRateLimited(const std::string& event, nlohmann::json fields) const
{
    if (threshold_ > LogLevel::Info)
        return;
    RateWindow& window = windows_[event];
    const std::int64_t second = Poco::Timestamp().epochTime();
    if (window.second != second) {
        window.second = second;
        window.lines = 0;
    }
    if (++window.lines > MAX_LINES_PER_EVENT) {
        ++window.omitted;
        ++omittedLines_;
        return;
    }
    if (window.omitted > 0)
        fields["omitted"] = window.omitted;
    window.omitted = 0;
    write(LogLevel::Info, event, std::move(fields));
}

void Log::write(LogLevel level, const std::string& event, nlohmann::json fields) const
{
    if (level < threshold_)
        return;
    fields["time"] = Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
    fields["level"] = levelName(level);
    fields["vm"] = vm_;
    fields["event"] = event;
    const std::string line = fields.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    logger().log(toLog4cplus(level), line);
}

} // namespace goldcrestcleat::observe
