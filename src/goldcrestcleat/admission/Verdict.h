#pragma once

#include "goldcrestcleat/admission/Fingerprint.h"

#include <nlohmann/json.hpp>

#include <string>

namespace goldcrestcleat::admission {

/// Whether requests with a fingerprint are refused because they crash servers. Kept in the deployment's store.
struct Verdict {
    Fingerprint fingerprint = 0;
    std::uint64_t revision = 0; ///< increases with each change; a higher one replaces a lower one
    bool isBanned = true;
    int crashes = 0; ///< at which the fingerprint was a suspect when it was banned
    int answers = 0; ///< to requests with the fingerprint since its first crash
    std::vector<std::string> reporters; ///< VMs that reported the crashes
    std::string changedBy; ///< VM that banned or lifted, or the operator who lifted
    std::int64_t changedAtMs = 0; ///< Unix time of the last ban, probe or lift
    int probes = 0; ///< requests sent to find out whether the ban is still right, over the life of the fingerprint
    int answeredProbes = 0; ///< those that were answered
    bool isConfirmed = false; ///< a probe crashed its server; there are no further ones

    friend bool operator==(const Verdict& a, const Verdict& b);
};

/// Returns a sentence for logs and operators: what is refused, and the counts for and against it.
std::string describe(const Verdict& verdict);

/// Returns the JSON document of a verdict, which is also that of its row in the store.
nlohmann::json toJson(const Verdict& verdict);

/// Parses a document. Throws nlohmann::json::exception or Error with InvalidField.
Verdict parseVerdict(const nlohmann::json& document);

} // namespace goldcrestcleat::admission
