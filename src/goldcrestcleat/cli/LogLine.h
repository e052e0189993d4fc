#pragma once

#include <nlohmann/json.hpp>

#include <string>

/// Members of log lines. Files may be torn or come from other programs: a member of another type counts as absent.
namespace goldcrestcleat::cli {

inline std::string textOf(const nlohmann::json& line, const char* name)
{
    const auto member = line.find(name);
    return member != line.end() && member->is_string() ? member->get<std::string>() : std::string();
}

inline double numberOf(const nlohmann::json& line, const char* name)
{
    const auto member = line.find(name);
    return member != line.end() && member->is_number() ? member->get<double>() : 0;
}

inline std::int64_t integerOf(const nlohmann::json& line, const char* name)
{
    const auto member = line.find(name);
    return member != line.end() && member->is_number_integer() ? member->get<std::int64_t>() : 0;
}

/// Returns a member that holds an object, or an empty one.
inline nlohmann::json objectOf(const nlohmann::json& line, const char* name)
{
    const auto member = line.find(name);
    return member != line.end() && member->is_object() ? *member : nlohmann::json::object();
}

} // namespace goldcrestcleat::cli
