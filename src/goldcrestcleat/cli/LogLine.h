#pragma once

#include <nlohmann/json.hpp>

#include <string>

/// Access to members of JSON log lines. Log files may be truncated or contain lines of other programs, so a member of
/// an unexpected type is treated as absent.
namespace goldcrestcleat::cli {

inline std::string stringOf(const nlohmann::json& line, const char* name)
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

/// Returns the object that a member holds, or an empty object.
inline nlohmann::json objectOf(const nlohmann::json& line, const char* name)
{
    const auto member = line.find(name);
    return member != line.end() && member->is_object() ? *member : nlohmann::json::object();
}

} // namespace goldcrestcleat::cli
