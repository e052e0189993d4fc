#include "goldcrestcleat/observe/Log.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

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

    log4cplus::Logger& logger()
    {
        static log4cplus::Initializer initializer;
        static log4cplus::Logger instance = log4cplus::Logger::getInstance("goldcrestcleat");
        return instance;
    }

} // namespace

Log::Log(std::string vm, const std::string& level)
    : vm_(std::move(vm))
    , threshold_(parseLevel(level))
{
    log4cplus::Logger& root = logger();
    root.removeAllAppenders();
    log4cplus::SharedAppenderPtr appender(
        new log4cplus::ConsoleAppender(/*logToStdErr*/ true, /*immediateFlush*/ true));
    appender->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    root.addAppender(appender);
    root.setLogLevel(toLog4cplus(threshold_));
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
