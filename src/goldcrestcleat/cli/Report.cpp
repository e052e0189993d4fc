#include "goldcrestcleat/cli/Report.h"

#include "goldcrestcleat/cli/Commands.h"
#include "goldcrestcleat/cli/LogCommands.h"
#include "goldcrestcleat/cli/LogLine.h"
#include "goldcrestcleat/errors/ResultCode.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <optional>
#include <set>
#include <sstream>

namespace goldcrestcleat::cli {

using nlohmann::json;

namespace {

    constexpr int PLOT_WIDTH = 900;
    constexpr int PLOT_HEIGHT = 180;
    constexpr int MARGIN = 50;
    constexpr std::size_t MAX_STATE_CHANGES = 500; // rows of the table of state changes

    /// Values by Unix second.
    using Series = std::map<std::int64_t, double>;
    using SeriesByName = std::map<std::string, Series>;

    struct ReportData {
        SeriesByName requestsByResult; ///< number of requests
        SeriesByName waitMsByKind; ///< time to the head of the answer, by kind of route and percentile
        SeriesByName loadByServer; ///< open requests as estimated by the VM with the highest estimate
        SeriesByName versionByVm; ///< configuration version
        SeriesByName peersByVm; ///< number of connected peers
        std::vector<const json*> stateChanges; ///< log lines, in order of time
        std::optional<std::int64_t> firstSecond;
        std::int64_t lastSecond = 0;
    };

    std::string escapeHtml(const std::string& text)
    {
        std::string out;
        for (const char c : text) {
            if (c == '<')
                out += "&lt;";
            else if (c == '&')
                out += "&amp;";
            else
                out += c;
        }
        return out;
    }

    std::string resultName(const std::string& code)
    {
        for (const auto& row : errors::allResults()) {
            if (std::to_string(static_cast<int>(row.code)) == code)
                return code == "0" ? "served" : code + " " + row.name;
        }
        return code;
    }

    void addSecondSummary(ReportData& data, const json& line, std::int64_t second)
    {
        data.firstSecond = std::min(data.firstSecond.value_or(second), second);
        data.lastSecond = std::max(data.lastSecond, second);
        const json codes = objectOf(line, "codes");
        for (const auto& [code, count] : codes.items())
            data.requestsByResult[resultName(code)][second] += count.is_number() ? count.get<double>() : 0;
        const json kinds = objectOf(line, "kinds");
        for (const auto& [kind, counts] : kinds.items()) {
            for (const char* percentile : { "p50", "p95" }) {
                double& worst = data.waitMsByKind[kind + " " + percentile][second];
                worst = std::max(worst, numberOf(counts, percentile));
            }
        }
        const json loads = objectOf(line, "loads");
        for (const auto& [server, load] : loads.items()) {
            double& highest = data.loadByServer[server][second];
            highest = std::max(highest, load.is_number() ? load.get<double>() : 0);
        }
        const std::string vm = stringOf(line, "vm");
        data.versionByVm[vm][second] = numberOf(line, "config");
        data.peersByVm[vm][second] = numberOf(line, "peers");
    }

    ReportData aggregateLines(const std::vector<json>& lines)
    {
        ReportData data;
        for (const auto& line : lines) {
            const auto second = unixSecondOf(line);
            if (second && stringOf(line, "event") == "second")
                addSecondSummary(data, line, *second);
            else if (isStateChange(line))
                data.stateChanges.push_back(&line);
        }
        std::stable_sort(data.stateChanges.begin(), data.stateChanges.end(),
            [](const json* a, const json* b) { return stringOf(*a, "time") < stringOf(*b, "time"); });
        return data;
    }

    double highestValue(const SeriesByName& seriesByName)
    {
        double highest = 1;
        for (const auto& [name, series] : seriesByName) {
            for (const auto& [second, value] : series)
                highest = std::max(highest, value);
        }
        return highest;
    }

    std::string lineColour(std::size_t index)
    {
        constexpr std::size_t GOLDEN_ANGLE = 137; // degrees; keeps the hues of neighbouring lines far apart
        return "hsl(" + std::to_string(index * GOLDEN_ANGLE % 360) + ",65%,42%)";
    }

    std::string formatNumber(double value)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.6g", value);
        return text;
    }

    /// Returns one plot with a line for each series and their names below it.
    std::string renderPlot(const std::string& title, const SeriesByName& seriesByName, const ReportData& data)
    {
        const double highest = highestValue(seriesByName);
        const auto from = data.firstSecond.value_or(0);
        const double span = static_cast<double>(std::max<std::int64_t>(data.lastSecond - from, 1));
        std::ostringstream svg;
        std::ostringstream names;
        svg << "<h2>" << escapeHtml(title) << "</h2><svg viewBox=\"0 0 " << PLOT_WIDTH + 2 * MARGIN << " "
            << PLOT_HEIGHT + MARGIN << "\"><rect x=\"" << MARGIN << "\" y=\"10\" width=\"" << PLOT_WIDTH
            << "\" height=\"" << PLOT_HEIGHT << "\"/><text x=\"2\" y=\"18\">" << formatNumber(highest)
            << "</text><text x=\"2\" y=\"" << PLOT_HEIGHT + 10 << "\">0</text><text x=\"" << MARGIN << "\" y=\""
            << PLOT_HEIGHT + 28 << "\">0 s</text><text x=\"" << PLOT_WIDTH + MARGIN - 30 << "\" y=\""
            << PLOT_HEIGHT + 28 << "\">" << formatNumber(span) << " s</text>";
        std::size_t index = 0;
        for (const auto& [name, series] : seriesByName) {
            svg << "<polyline stroke=\"" << lineColour(index) << "\" points=\"";
            for (const auto& [second, value] : series) {
                const double x = MARGIN + PLOT_WIDTH * static_cast<double>(second - from) / span;
                const double y = 10 + PLOT_HEIGHT * (1 - value / highest);
                svg << formatNumber(x) << "," << formatNumber(y) << " ";
            }
            svg << "\"/>";
            names << "<span style=\"color:" << lineColour(index) << "\">" << escapeHtml(name) << "</span> ";
            ++index;
        }
        svg << "</svg><p>" << names.str() << "</p>";
        return svg.str();
    }

    std::string renderTotals(const ReportData& data)
    {
        std::ostringstream table;
        table << "<h2>Results of requests</h2><table><tr><th>result</th><th>requests</th></tr>";
        for (const auto& [name, series] : data.requestsByResult) {
            double sum = 0;
            for (const auto& [second, count] : series)
                sum += count;
            table << "<tr><td>" << escapeHtml(name) << "</td><td>" << formatNumber(sum) << "</td></tr>";
        }
        table << "</table>";
        return table.str();
    }

    std::string renderStateChanges(const ReportData& data)
    {
        std::ostringstream table;
        table << "<h2>State changes</h2><table>";
        for (std::size_t i = 0; i < std::min(data.stateChanges.size(), MAX_STATE_CHANGES); ++i) {
            json fields = *data.stateChanges[i];
            const std::string time = stringOf(fields, "time");
            const std::string vm = stringOf(fields, "vm");
            const std::string event = stringOf(fields, "event");
            for (const char* name : { "time", "vm", "event", "level" })
                fields.erase(name);
            table << "<tr><td>" << escapeHtml(time) << "</td><td>" << escapeHtml(vm) << "</td><td>" << escapeHtml(event)
                  << "</td><td>" << escapeHtml(fields.dump()) << "</td></tr>";
        }
        table << "</table>";
        if (data.stateChanges.size() > MAX_STATE_CHANGES)
            table << "<p>" << data.stateChanges.size() - MAX_STATE_CHANGES << " later state changes are omitted.</p>";
        return table.str();
    }

    constexpr const char* PAGE_HEAD
        = "<!DOCTYPE html><html><head><meta charset=\"utf-8\"><title>goldcrestcleat: "
          "report</title><style>body{font:14px sans-serif;margin:2em;max-width:1000px}"
          "rect{fill:#fafafa;stroke:#ccc}polyline{fill:none;stroke-width:1.5}"
          "text{font-size:12px}td,th{text-align:left;padding:0 1em 0 0}</style></head><body>"
          "<h1>goldcrestcleat: report from logs</h1>";

} // namespace

std::string reportPage(const std::vector<json>& lines)
{
    const ReportData data = aggregateLines(lines);
    return PAGE_HEAD + renderTotals(data) + renderPlot("Requests per second, by result", data.requestsByResult, data)
        + renderPlot("Time to the head of the answer in ms, highest of all VMs", data.waitMsByKind, data)
        + renderPlot("Open requests at each server, highest estimate of all VMs", data.loadByServer, data)
        + renderPlot("Configuration version by VM", data.versionByVm, data)
        + renderPlot("Connected peers by VM", data.peersByVm, data) + renderStateChanges(data) + "</body></html>\n";
}

int reportFromLogs(const std::vector<std::string>& files, const std::string& outPath)
{
    const auto lines = readLogFiles(files);
    if (!lines)
        return ExitCode::Failed;
    std::ofstream out(outPath);
    out << reportPage(*lines);
    out.flush();
    if (!out) {
        std::cerr << outPath << " cannot be written\n";
        return ExitCode::Failed;
    }
    std::cout << "wrote " << outPath << " from " << lines->size() << " lines\n";
    return ExitCode::Success;
}

} // namespace goldcrestcleat::cli
