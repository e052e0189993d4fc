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
    constexpr std::size_t MAX_CHANGES = 500; // rows of the table of changes

    /// Values by second of the day.
    using Series = std::map<std::int64_t, double>;
    using SeriesByName = std::map<std::string, Series>;

    struct Day {
        SeriesByName results; ///< requests by how they ended
        SeriesByName waits; ///< ms to the head of the answer, by kind and percentile
        SeriesByName loads; ///< requests by server
        SeriesByName versions; ///< configuration by VM
        SeriesByName peers; ///< peers that are up, by VM
        std::vector<const json*> changes; ///< lines that tell of changes of state
        std::optional<std::int64_t> first;
        std::int64_t last = 0;
    };

    std::string escaped(const std::string& text)
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

    void addSecond(Day& day, const json& line, std::int64_t second)
    {
        day.first = std::min(day.first.value_or(second), second);
        day.last = std::max(day.last, second);
        const json codes = objectOf(line, "codes");
        for (const auto& [code, count] : codes.items())
            day.results[resultName(code)][second] += count.is_number() ? count.get<double>() : 0;
        const json kinds = objectOf(line, "kinds");
        for (const auto& [kind, counts] : kinds.items()) {
            for (const char* percentile : { "p50", "p95" }) {
                double& worst = day.waits[kind + " " + percentile][second];
                worst = std::max(worst, numberOf(counts, percentile));
            }
        }
        const json loads = objectOf(line, "loads");
        for (const auto& [server, load] : loads.items()) {
            double& highest = day.loads[server][second];
            highest = std::max(highest, load.is_number() ? load.get<double>() : 0);
        }
        const std::string vm = textOf(line, "vm");
        day.versions[vm][second] = numberOf(line, "config");
        day.peers[vm][second] = numberOf(line, "peers");
    }

    Day readDay(const std::vector<json>& lines)
    {
        Day day;
        for (const auto& line : lines) {
            const auto second = secondOf(line);
            if (second && textOf(line, "event") == "second")
                addSecond(day, line, *second);
            else if (isChangeOfState(line))
                day.changes.push_back(&line);
        }
        std::stable_sort(day.changes.begin(), day.changes.end(),
            [](const json* a, const json* b) { return textOf(*a, "time") < textOf(*b, "time"); });
        return day;
    }

    double highestOf(const SeriesByName& all)
    {
        double highest = 1;
        for (const auto& [name, series] : all) {
            for (const auto& [second, value] : series)
                highest = std::max(highest, value);
        }
        return highest;
    }

    std::string colour(std::size_t index)
    {
        constexpr std::size_t GOLDEN_ANGLE = 137; // degrees; neighbours differ most
        return "hsl(" + std::to_string(index * GOLDEN_ANGLE % 360) + ",65%,42%)";
    }

    std::string number(double value)
    {
        char text[32];
        std::snprintf(text, sizeof text, "%.6g", value);
        return text;
    }

    /// Returns one plot with a line for each series and their names below it.
    std::string plot(const std::string& title, const SeriesByName& all, const Day& day)
    {
        const double highest = highestOf(all);
        const auto from = day.first.value_or(0);
        const double span = static_cast<double>(std::max<std::int64_t>(day.last - from, 1));
        std::ostringstream svg;
        std::ostringstream names;
        svg << "<h2>" << escaped(title) << "</h2><svg viewBox=\"0 0 " << PLOT_WIDTH + 2 * MARGIN << " "
            << PLOT_HEIGHT + MARGIN << "\"><rect x=\"" << MARGIN << "\" y=\"10\" width=\"" << PLOT_WIDTH
            << "\" height=\"" << PLOT_HEIGHT << "\"/><text x=\"2\" y=\"18\">" << number(highest)
            << "</text><text x=\"2\" y=\"" << PLOT_HEIGHT + 10 << "\">0</text><text x=\"" << MARGIN << "\" y=\""
            << PLOT_HEIGHT + 28 << "\">0 s</text><text x=\"" << PLOT_WIDTH + MARGIN - 30 << "\" y=\""
            << PLOT_HEIGHT + 28 << "\">" << number(span) << " s</text>";
        std::size_t index = 0;
        for (const auto& [name, series] : all) {
            svg << "<polyline stroke=\"" << colour(index) << "\" points=\"";
            for (const auto& [second, value] : series) {
                const double x = MARGIN + PLOT_WIDTH * static_cast<double>(second - from) / span;
                const double y = 10 + PLOT_HEIGHT * (1 - value / highest);
                svg << number(x) << "," << number(y) << " ";
            }
            svg << "\"/>";
            names << "<span style=\"color:" << colour(index) << "\">" << escaped(name) << "</span> ";
            ++index;
        }
        svg << "</svg><p>" << names.str() << "</p>";
        return svg.str();
    }

    std::string totals(const Day& day)
    {
        std::ostringstream table;
        table << "<h2>How requests ended</h2><table><tr><th>result</th><th>requests</th></tr>";
        for (const auto& [name, series] : day.results) {
            double sum = 0;
            for (const auto& [second, count] : series)
                sum += count;
            table << "<tr><td>" << escaped(name) << "</td><td>" << number(sum) << "</td></tr>";
        }
        table << "</table>";
        return table.str();
    }

    std::string changes(const Day& day)
    {
        std::ostringstream table;
        table << "<h2>Changes of state</h2><table>";
        for (std::size_t i = 0; i < std::min(day.changes.size(), MAX_CHANGES); ++i) {
            json fields = *day.changes[i];
            const std::string time = textOf(fields, "time");
            const std::string vm = textOf(fields, "vm");
            const std::string event = textOf(fields, "event");
            for (const char* name : { "time", "vm", "event", "level" })
                fields.erase(name);
            table << "<tr><td>" << escaped(time) << "</td><td>" << escaped(vm) << "</td><td>" << escaped(event)
                  << "</td><td>" << escaped(fields.dump()) << "</td></tr>";
        }
        table << "</table>";
        if (day.changes.size() > MAX_CHANGES)
            table << "<p>" << day.changes.size() - MAX_CHANGES << " later ones are left out.</p>";
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
    const Day day = readDay(lines);
    return PAGE_HEAD + totals(day) + plot("Requests a second, by result", day.results, day)
        + plot("Wait for the head of an answer, ms, worst VM", day.waits, day)
        + plot("Requests at each server, as believed by the VMs", day.loads, day)
        + plot("Configuration version by VM", day.versions, day) + plot("Peers that are up, by VM", day.peers, day)
        + changes(day) + "</body></html>\n";
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
        std::cerr << outPath << " can't be written\n";
        return ExitCode::Failed;
    }
    std::cout << "wrote " << outPath << " from " << lines->size() << " lines\n";
    return ExitCode::Success;
}

} // namespace goldcrestcleat::cli
