#pragma once

#include "goldcrestcleat/documents/ObjectReader.h"

#include <fstream>
#include <string>

namespace goldcrestcleat::documents {

/// Loads and parses a JSON file, which may contain comments. Throws SettingsError that lists all faults, one per line.
template <typename Document, typename Parse> Document loadDocument(const std::string& path, Parse parse)
{
    std::ifstream file(path);
    if (!file)
        throw errors::SettingsError(errors::ResultCode::SettingsUnreadable, path);
    nlohmann::json json;
    try {
        json = nlohmann::json::parse(file, nullptr, true, /*ignore_comments*/ true);
    } catch (const nlohmann::json::exception& e) {
        throw errors::SettingsError(errors::ResultCode::SettingsSyntax, path + ": " + e.what());
    }
    std::vector<Fault> faults;
    Document document = parse(json, faults);
    if (faults.empty())
        return document;
    std::string lines = path + " has " + std::to_string(faults.size()) + " fault(s)";
    for (const Fault& fault : faults)
        lines += "\n" + toString(fault);
    throw errors::SettingsError(faults.front().code, lines);
}

} // namespace goldcrestcleat::documents
