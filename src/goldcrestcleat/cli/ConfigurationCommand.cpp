#include "goldcrestcleat/cli/ConfigurationCommand.h"

#include "goldcrestcleat/cli/Commands.h"
#include "goldcrestcleat/routes/ConfigurationCheck.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iostream>
#include <iterator>

namespace goldcrestcleat::cli {

using nlohmann::json;
using routes::Finding;

namespace {

    routes::Configuration load(const PlatformAdapter& adapter, const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw errors::Error(errors::ResultCode::ConfigurationInvalid, "cannot read " + path);
        return adapter.parseConfiguration({ std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() });
    }

    /// Replaces the product's name of a member by that of the document.
    std::string toDocument(const PlatformAdapter& adapter, const std::string& pointer)
    {
        static const std::string workspaces = "/workspaces";
        if (pointer.rfind(workspaces, 0) != 0)
            return pointer;
        return "/" + adapter.workspacesMember + pointer.substr(workspaces.size());
    }

    const char* nameOf(Finding::Severity severity)
    {
        return severity == Finding::Severity::Error ? "error" : "warning";
    }

    void print(const std::vector<Finding>& findings, const std::vector<routes::Difference>& differences)
    {
        for (const auto& finding : findings)
            std::cout << nameOf(finding.severity) << " " << finding.pointer << ": " << finding.text << "\n";
        for (const auto& difference : differences)
            std::cout << "change " << difference.entry << ": " << difference.text << "\n";
        if (findings.empty())
            std::cout << "no error found\n";
    }

    void printJson(const std::vector<Finding>& findings, const std::vector<routes::Difference>& differences)
    {
        json document = { { "findings", json::array() }, { "changes", json::array() } };
        for (const auto& finding : findings)
            document["findings"].push_back(
                { { "severity", nameOf(finding.severity) }, { "pointer", finding.pointer }, { "text", finding.text } });
        for (const auto& difference : differences)
            document["changes"].push_back({ { "entry", difference.entry }, { "text", difference.text } });
        std::cout << document.dump(2) << "\n";
    }

} // namespace

int checkConfigurationFile(
    const PlatformAdapter& adapter, const std::string& path, const std::string& inForcePath, bool asJson)
{
    const routes::Configuration next = load(adapter, path);
    auto findings = routes::checkConfiguration(next);
    std::vector<routes::Difference> differences;
    if (!inForcePath.empty()) {
        const routes::Configuration inForce = load(adapter, inForcePath);
        differences = routes::compareConfigurations(inForce, next);
        if (next.version <= inForce.version)
            findings.push_back({ Finding::Severity::Error, "/version",
                "version " + std::to_string(next.version) + " would be ignored: version "
                    + std::to_string(inForce.version) + " is in force" });
    }
    for (auto& finding : findings)
        finding.pointer = toDocument(adapter, finding.pointer);
    if (asJson)
        printJson(findings, differences);
    else
        print(findings, differences);
    const bool hasError = std::any_of(findings.begin(), findings.end(),
        [](const Finding& finding) { return finding.severity == Finding::Severity::Error; });
    return hasError ? ExitCode::BadSettings : ExitCode::Success;
}

} // namespace goldcrestcleat::cli
