#include "goldcrestcleat/documents/ObjectReader.h"

#include <Poco/Net/IPAddress.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <limits>
#include <optional>

namespace goldcrestcleat::documents {

using errors::ResultCode;
using nlohmann::json;

namespace {

    constexpr std::size_t MAX_IDENTIFIER_BYTES = 64;
    constexpr int MAX_PORT = 65'535;

    bool isIdentifier(const std::string& text)
    {
        const auto allowed = [](unsigned char c) { return std::isalnum(c) || c == '.' || c == '_' || c == '-'; };
        return !text.empty() && text.size() <= MAX_IDENTIFIER_BYTES && std::all_of(text.begin(), text.end(), allowed);
    }

    /// Returns the port of a text of the form IP:port with an IPv4 address, otherwise nothing.
    std::optional<int> portOf(const std::string& text)
    {
        const auto colon = text.rfind(':');
        if (colon == std::string::npos)
            return std::nullopt;
        int port = 0;
        const char* end = text.data() + text.size();
        const auto result = std::from_chars(text.data() + colon + 1, end, port);
        Poco::Net::IPAddress ip;
        const bool isValid = result.ec == std::errc() && result.ptr == end && port >= 0 && port <= MAX_PORT
            && Poco::Net::IPAddress::tryParse(text.substr(0, colon), ip) && ip.family() == Poco::Net::IPAddress::IPv4;
        return isValid ? std::optional<int>(port) : std::nullopt;
    }

} // namespace

bool isSocketAddress(const std::string& text) { return portOf(text).has_value(); }

bool isDialableAddress(const std::string& text) { return portOf(text).value_or(0) > 0; }

std::string toString(const Fault& fault)
{
    return std::to_string(static_cast<int>(fault.code)) + " " + errors::info(fault.code).name + " at "
        + (fault.pointer.empty() ? "/" : fault.pointer) + ": " + fault.detail;
}

ObjectReader::ObjectReader(const json& object, std::string pointer, std::vector<Fault>& faults)
    : object_(object)
    , pointer_(std::move(pointer))
    , faults_(faults)
{
    if (!object_.is_object())
        faults_.push_back({ ResultCode::WrongType, pointer_, "must be an object" });
}

std::string ObjectReader::text(const std::string& key) { return checkedText(key, nullptr); }

std::string ObjectReader::text(const std::string& key, const std::string& fallback)
{
    return checkedText(key, &fallback);
}

std::string ObjectReader::identifier(const std::string& key)
{
    return checkedIdentifier(key, checkedText(key, nullptr));
}

std::string ObjectReader::identifier(const std::string& key, const std::string& fallback)
{
    return checkedIdentifier(key, checkedText(key, &fallback));
}

std::string ObjectReader::address(const std::string& key) { return checkedAddress(key, checkedText(key, nullptr)); }

std::string ObjectReader::address(const std::string& key, const std::string& fallback)
{
    return checkedAddress(key, checkedText(key, &fallback));
}

std::int64_t ObjectReader::integer(const std::string& key, std::int64_t min, std::int64_t max, std::int64_t fallback)
{
    const json* value = find(key);
    if (!value)
        return fallback;
    if (!value->is_number_integer()) {
        fault(ResultCode::WrongType, key, "must be an integer");
        return fallback;
    }
    constexpr auto largest = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    const bool overflows = value->is_number_unsigned() && value->get<std::uint64_t>() > largest;
    const std::int64_t number = overflows ? max : value->get<std::int64_t>();
    if (overflows || number < min || number > max) {
        fault(ResultCode::OutOfRange, key, "must be " + std::to_string(min) + " to " + std::to_string(max));
        return fallback;
    }
    return number;
}

double ObjectReader::number(const std::string& key, double min, double max, double fallback)
{
    const json* value = find(key);
    if (!value)
        return fallback;
    if (!value->is_number()) {
        fault(ResultCode::WrongType, key, "must be a number");
        return fallback;
    }
    const double number = value->get<double>();
    if (!(number >= min && number <= max)) {
        fault(ResultCode::OutOfRange, key, "must be " + json(min).dump() + " to " + json(max).dump());
        return fallback;
    }
    return number;
}

bool ObjectReader::boolean(const std::string& key, bool fallback)
{
    const json* value = find(key);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        fault(ResultCode::WrongType, key, "must be true or false");
        return fallback;
    }
    return value->get<bool>();
}

std::map<std::string, std::string> ObjectReader::texts(const std::string& key)
{
    std::map<std::string, std::string> values;
    object(key, [&](ObjectReader& member) {
        if (!member.object_.is_object())
            return;
        for (const auto& [name, value] : member.object_.items())
            values[name] = member.text(name);
    });
    return values;
}

void ObjectReader::object(const std::string& key, const std::function<void(ObjectReader&)>& read)
{
    static const json empty = json::object();
    const json* value = find(key);
    ObjectReader member(value ? *value : empty, pointer_ + "/" + key, faults_);
    read(member);
    member.finish();
}

void ObjectReader::list(const std::string& key, const std::function<void(ObjectReader&)>& read)
{
    const json* value = find(key);
    if (!value)
        return;
    if (!value->is_array()) {
        fault(ResultCode::WrongType, key, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const auto& element : *value) {
        ObjectReader member(element, pointer_ + "/" + key + "/" + std::to_string(index++), faults_);
        read(member);
        member.finish();
    }
}

void ObjectReader::unique(const std::string& key, const std::string& value, std::set<std::string>& seen)
{
    if (!value.empty() && !seen.insert(value).second)
        fault(ResultCode::DuplicateId, key, "'" + value + "' is used twice");
}

void ObjectReader::fault(ResultCode code, const std::string& key, const std::string& detail)
{
    faults_.push_back({ code, pointer_ + "/" + key, detail });
}

void ObjectReader::finish()
{
    if (!object_.is_object())
        return;
    for (const auto& [key, value] : object_.items()) {
        if (read_.count(key) == 0)
            fault(ResultCode::UnknownSetting, key, "unknown setting");
    }
}

// ---- private ----

const json* ObjectReader::find(const std::string& key)
{
    read_.insert(key);
    if (!object_.is_object())
        return nullptr;
    const auto member = object_.find(key);
    return member == object_.end() ? nullptr : &*member;
}

std::string ObjectReader::checkedText(const std::string& key, const std::string* fallback)
{
    const json* value = find(key);
    if (!value) {
        if (!fallback && object_.is_object())
            fault(ResultCode::MissingSetting, key, "is required");
        return fallback ? *fallback : "";
    }
    if (!value->is_string()) {
        fault(ResultCode::WrongType, key, "must be a string");
        return fallback ? *fallback : "";
    }
    return value->get<std::string>();
}

std::string ObjectReader::checkedIdentifier(const std::string& key, std::string value)
{
    const json* member = find(key);
    if (member && member->is_string() && !isIdentifier(value))
        fault(ResultCode::OutOfRange, key, "must be 1 to 64 letters, digits, '.', '_' or '-'");
    return value;
}

std::string ObjectReader::checkedAddress(const std::string& key, std::string value)
{
    const json* member = find(key);
    if (member && member->is_string() && !isSocketAddress(value))
        fault(ResultCode::BadAddress, key, "must be IP:port");
    return value;
}

} // namespace goldcrestcleat::documents
