#include "goldcrestcleat/cli/LogCommands.h"

#include "goldcrestcleat/cli/Commands.h"
#include "goldcrestcleat/cli/LogLine.h"
#include "goldcrestcleat/errors/ResultCode.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeParser.h>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <set>

namespace goldcrestcleat::cli {

using nlohmann::json;

namespace {

    constexpr Poco::Timestamp::TimeDiff PRECEDING_WINDOW_US = 3'000'000; // up to the last event

    Poco::Timestamp timeOf(const json& line)
    {
        Poco::DateTime time;
        int zone = 0;
        if (!Poco::DateTimeParser::tryParse(
                Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, stringOf(line, "time"), time, zone))
            return 0;
        return time.timestamp();
    }

    std::string describeRefusal(const json& line)
    {
        for (const auto& row : errors::allResults()) {
            if (static_cast<int>(row.code) != integerOf(line, "code"))
                continue;
            const std::string context = stringOf(line, "context");
            return "refused by " + stringOf(line, "vm") + " with " + std::to_string(integerOf(line, "code")) + " "
                + row.name + ": " + row.message + (context.empty() ? "" : " (" + context + ")")
                + (integerOf(line, "maybeRan") > 0 ? "; a server may have run it" : "; no server ran it");
        }
        return "refused with an unknown result code";
    }

    std::string describeCause(const std::vector<json>& events)
    {
        const json& last = events.back();
        const std::string event = stringOf(last, "event");
        const std::string server = stringOf(last, "server");
        if (event == "served")
            return "served after " + std::to_string(integerOf(last, "ms")) + " ms in "
                + std::to_string(integerOf(last, "attempts")) + " attempt(s)";
        if (event == "refused")
            return describeRefusal(last);
        if (event == "caller-gone")
            return "the caller closed its connection after " + std::to_string(integerOf(last, "ms")) + " ms";
        if (event == "cut")
            return "the stream was cut after event " + std::to_string(integerOf(last, "lastEvent")) + " ("
                + stringOf(last, "reason") + "): its server failed and the route allows no further attempt";
        return "the log ends with '" + event + "'; the daemon may have stopped, or later lines were omitted";
    }

    void printLine(const json& line)
    {
        std::cout << stringOf(line, "time") << " " << stringOf(line, "vm") << " " << stringOf(line, "event");
        static const std::set<std::string> omitted = { "time", "vm", "event", "level", "request" };
        for (const auto& [name, value] : line.items()) {
            if (omitted.count(name) == 0)
                std::cout << " " << name << "=" << value.dump();
        }
        std::cout << "\n";
    }

} // namespace

std::vector<json> readLogLines(std::istream& in)
{
    std::vector<json> lines;
    for (std::string text; std::getline(in, text);) {
        const auto brace = text.find('{');
        if (brace == std::string::npos)
            continue;
        json line = json::parse(text.substr(brace), nullptr, false);
        if (line.is_object())
            lines.push_back(std::move(line));
    }
    return lines;
}

std::optional<std::vector<json>> readLogFiles(const std::vector<std::string>& files)
{
    std::vector<json> lines;
    for (const auto& path : files) {
        std::ifstream file(path);
        if (!file) {
            std::cerr << path << " cannot be read\n";
            return std::nullopt;
        }
        auto fileLines = readLogLines(file);
        std::move(fileLines.begin(), fileLines.end(), std::back_inserter(lines));
    }
    return lines;
}

bool isStateChange(const json& line)
{
    static const std::set<std::string> events
        = { "started", "stopped", "stop-begun", "reloaded", "reload-failed", "configuration", "configuration-invalid",
              "store-lost", "store-regained", "peer-up", "peer-down", "peer-forgotten", "server-removed",
              "server-given-up", "server", "server-lost", "server-regained", "loop-late", "loop-slow" };
    return events.count(stringOf(line, "event")) > 0;
}

std::optional<std::int64_t> unixSecondOf(const json& line)
{
    const Poco::Timestamp time = timeOf(line);
    return time.epochMicroseconds() == 0 ? std::nullopt : std::optional<std::int64_t>(time.epochTime());
}

RequestTimeline buildTimeline(std::vector<json> lines, const std::string& requestId)
{
    std::stable_sort(lines.begin(), lines.end(),
        [](const json& a, const json& b) { return stringOf(a, "time") < stringOf(b, "time"); });
    RequestTimeline timeline;
    for (const auto& line : lines) {
        if (stringOf(line, "request") == requestId)
            timeline.events.push_back(line);
    }
    if (timeline.events.empty())
        return timeline;
    const json& last = timeline.events.back();
    const Poco::Timestamp lastTime = timeOf(last);
    for (const auto& line : lines) {
        const Poco::Timestamp::TimeDiff age = lastTime - timeOf(line);
        const bool isInWindow = age >= 0 && age <= PRECEDING_WINDOW_US;
        if (isInWindow && stringOf(line, "vm") == stringOf(last, "vm") && isStateChange(line))
            timeline.precedingStateChanges.push_back(line);
    }
    timeline.cause = describeCause(timeline.events);
    return timeline;
}

int explainFromLogs(const std::vector<std::string>& files, const std::string& requestId)
{
    auto lines = readLogFiles(files);
    if (!lines)
        return ExitCode::Failed;
    const RequestTimeline timeline = buildTimeline(std::move(*lines), requestId);
    if (timeline.events.empty()) {
        std::cerr << "no log line has the request id " << requestId
                  << ": it did not reach these VMs, or its lines were omitted (see 'omitted')\n";
        return ExitCode::Failed;
    }
    for (const auto& line : timeline.events)
        printLine(line);
    if (!timeline.precedingStateChanges.empty())
        std::cout << "state changes at the same VM in the 3 s before:\n";
    for (const auto& line : timeline.precedingStateChanges)
        printLine(line);
    std::cout << "cause: " << timeline.cause << "\n";
    return ExitCode::Success;
}

} // namespace goldcrestcleat::cli
