#pragma once

#include "goldcrestcleat/routes/Configuration.h"

#include <string>
#include <vector>

namespace goldcrestcleat::routes {

/// Something about a configuration that its operator should know before it is sent.
struct Finding {
    enum class Severity {
        Error, ///< the configuration would be ignored, or contradicts itself
        Warning ///< a part of it has no effect
    };

    Severity severity = Severity::Error;
    std::string pointer; ///< JSON pointer to the entry, in the order of the document
    std::string text;

    friend bool operator==(const Finding& a, const Finding& b)
    {
        return a.severity == b.severity && a.pointer == b.pointer && a.text == b.text;
    }
};

/// Returns errors, entries that can never match, and limits that contradict each other.
std::vector<Finding> checkConfiguration(const Configuration& configuration);

/// A difference between two configurations.
struct Difference {
    std::string entry; ///< such as "route r1"
    std::string text; ///< such as "added" or "timeoutMs 8000 -> 10000"

    friend bool operator==(const Difference& a, const Difference& b) { return a.entry == b.entry && a.text == b.text; }
};

/// Returns what changes from one configuration to another, without the order of entries. Keys are only counted.
std::vector<Difference> compareConfigurations(const Configuration& inForce, const Configuration& next);

} // namespace goldcrestcleat::routes
