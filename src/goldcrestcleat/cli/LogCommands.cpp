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

    constexpr Poco::Timestamp::TimeDiff SURROUNDINGS_US = 3'000'000; // changes of state that far before the end

    Poco::Timestamp timeOf(const json& line)
    {
        Poco::DateTime time;
        int zone = 0;
        if (!Poco::DateTimeParser::tryParse(
                Poco::DateTimeFormat::ISO8601_FRAC_FORMAT, textOf(line, "time"), time, zone))
            return 0;
        return time.timestamp();
    }

    std::string causeOfRefusal(const json& line)
    {
        for (const auto& row : errors::allResults()) {
            if (static_cast<int>(row.code) != integerOf(line, "code"))
                continue;
            const std::string context = textOf(line, "context");
            return "refused by " + textOf(line, "vm") + " with " + std::to_string(integerOf(line, "code")) + " "
                + row.name + ": " + row.message + (context.empty() ? "" : " (" + context + ")")
                + (integerOf(line, "maybeRan") > 0 ? "; a server may have run it" : "; no server ran it");
        }
        return "refused with an unknown code";
    }

    std::string causeOf(const std::vector<json>& decisions)
    {
        const json& last = decisions.back();
        const std::string event = textOf(last, "event");
        const std::string server = textOf(last, "server");
        if (event == "served")
            return "served after " + std::to_string(integerOf(last, "ms")) + " ms in "
                + std::to_string(integerOf(last, "attempts")) + " attempt(s)";
        if (event == "refused")
            return causeOfRefusal(last);
        if (event == "caller-gone")
            return "the caller closed its connection after " + std::to_string(integerOf(last, "ms")) + " ms";
        if (event == "cut")
            return "the stream was cut after event " + std::to_string(integerOf(last, "lastEvent")) + " ("
                + textOf(last, "reason") + "): its server failed and the route does not allow another attempt";
        return "the log ends with '" + event + "'; the daemon may have ended, or its later lines were left out";
    }

    void printLine(const json& line)
    {
        std::cout << textOf(line, "time") << " " << textOf(line, "vm") << " " << textOf(line, "event");
        static const std::set<std::string> shown = { "time", "vm", "event", "level", "request" };
        for (const auto& [name, value] : line.items()) {
            if (shown.count(name) == 0)
                std::cout << " " << name << "=" << value.dump();
        }
        std::cout << "\n";
    }

} // namespace

std::vector<json> readLogLines(std::istream& in)
{
    std::vector<json> lines;
    for (std::string text; std::getline(in, text);) {
        const auto start = text.find('{');
        if (start == std::string::npos)
            continue;
        json line = json::parse(text.substr(start), nullptr, false);
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
            std::cerr << path << " can't be read\n";
            return std::nullopt;
        }
        auto more = readLogLines(file);
        std::move(more.begin(), more.end(), std::back_inserter(lines));
    }
    return lines;
}

bool isChangeOfState(const json& line)
{
    static const std::set<std::string> events = { "started", "stopped", "stop-begun", "reloaded", "reload-failed",
        "configuration", "configuration-invalid", "store-lost", "store-regained", "peer-up", "peer-down",
        "peer-forgotten", "server-removed", "server", "server-lost", "server-regained", "loop-late", "loop-slow" };
    return events.count(textOf(line, "event")) > 0;
}

std::optional<std::int64_t> secondOf(const json& line)
{
    const Poco::Timestamp time = timeOf(line);
    return time.epochMicroseconds() == 0 ? std::nullopt : std::optional<std::int64_t>(time.epochTime());
}

RequestStory tellStory(std::vector<json> lines, const std::string& requestId)
{
    std::stable_sort(
        lines.begin(), lines.end(), [](const json& a, const json& b) { return textOf(a, "time") < textOf(b, "time"); });
    RequestStory story;
    for (const auto& line : lines) {
        if (textOf(line, "request") == requestId)
            story.decisions.push_back(line);
    }
    if (story.decisions.empty())
        return story;
    const json& last = story.decisions.back();
    const Poco::Timestamp end = timeOf(last);
    for (const auto& line : lines) {
        const Poco::Timestamp::TimeDiff before = end - timeOf(line);
        const bool isNear = before >= 0 && before <= SURROUNDINGS_US;
        if (isNear && textOf(line, "vm") == textOf(last, "vm") && isChangeOfState(line))
            story.surroundings.push_back(line);
    }
    story.cause = causeOf(story.decisions);
    return story;
}

int explainFromLogs(const std::vector<std::string>& files, const std::string& requestId)
{
    auto lines = readLogFiles(files);
    if (!lines)
        return ExitCode::Failed;
    const RequestStory story = tellStory(std::move(*lines), requestId);
    if (story.decisions.empty()) {
        std::cerr << "no line names request " << requestId
                  << ": it did not reach these VMs, or its lines were left out (see 'omitted')\n";
        return ExitCode::Failed;
    }
    for (const auto& line : story.decisions)
        printLine(line);
    if (!story.surroundings.empty())
        std::cout << "at the same VM, up to 3 s before:\n";
    for (const auto& line : story.surroundings)
        printLine(line);
    std::cout << "cause: " << story.cause << "\n";
    return ExitCode::Success;
}

} // namespace goldcrestcleat::cli
