#pragma once

#include "goldcrestcleat/errors/ResultCode.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Reading of hand-written JSON documents, with reports of all their faults.
namespace goldcrestcleat::documents {

/// A validation error in a JSON document.
struct Fault {
    errors::ResultCode code;
    std::string pointer; ///< JSON pointer to the faulty value
    std::string detail;

    bool operator==(const Fault& other) const
    {
        return code == other.code && pointer == other.pointer && detail == other.detail;
    }
};

/// Returns true for IP:port with a numeric IPv4 address.
bool isSocketAddress(const std::string& text);

/// Returns true for a socket address to which connections can be opened, that is, one whose port is not 0.
bool isDialableAddress(const std::string& text);

/// Formats a fault as one line: number, name, pointer and detail.
std::string toString(const Fault& fault);

/// Reads typed members of a JSON object, and collects all faults instead of stopping at the first one.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json& object, std::string pointer, std::vector<Fault>& faults);

    /// Reads a string. Without a fallback, the member is required.
    std::string text(const std::string& key);
    std::string text(const std::string& key, const std::string& fallback);

    /// Reads a string that consists of letters, digits, '.', '_' and '-'.
    std::string identifier(const std::string& key);
    std::string identifier(const std::string& key, const std::string& fallback);

    /// Reads a socket address in the form IP:port.
    std::string address(const std::string& key);
    std::string address(const std::string& key, const std::string& fallback);

    /// Reads an object whose members are all strings. A missing member is read as an empty object.
    std::map<std::string, std::string> texts(const std::string& key);

    std::int64_t integer(const std::string& key, std::int64_t min, std::int64_t max, std::int64_t fallback);
    double number(const std::string& key, double min, double max, double fallback);
    bool boolean(const std::string& key, bool fallback);

    /// Calls `read` with a reader for the member. A missing member is read as an empty object.
    void object(const std::string& key, const std::function<void(ObjectReader&)>& read);

    /// Calls `read` with a reader for each element. A missing member is read as an empty array.
    void list(const std::string& key, const std::function<void(ObjectReader&)>& read);

    /// Records a fault if `seen` contains the value, otherwise adds it.
    void unique(const std::string& key, const std::string& value, std::set<std::string>& seen);

    /// Records a fault of a member.
    void fault(errors::ResultCode code, const std::string& key, const std::string& detail);

    /// Records a fault for each member that was not read.
    void finish();

private:
    const nlohmann::json* find(const std::string& key);
    std::string checkedText(const std::string& key, const std::string* fallback);
    std::string checkedIdentifier(const std::string& key, std::string value);
    std::string checkedAddress(const std::string& key, std::string value);

    const nlohmann::json& object_;
    std::string pointer_;
    std::vector<Fault>& faults_;
    std::set<std::string> read_;
};

} // namespace goldcrestcleat::documents
