#include "goldcrestcleat/admission/Verdict.h"

#include "goldcrestcleat/errors/ResultCode.h"

namespace goldcrestcleat::admission {

using nlohmann::json;

bool operator==(const Verdict& a, const Verdict& b) { return toJson(a) == toJson(b); }

std::string describe(const Verdict& verdict)
{
    return (isPart(verdict.fingerprint) ? "prompt part " : "content ") + toHex(verdict.fingerprint) + " was present at "
        + std::to_string(verdict.crashes) + " crashes of servers, with " + std::to_string(verdict.answers)
        + " answers since";
}

json toJson(const Verdict& verdict)
{
    return { { "fingerprint", toHex(verdict.fingerprint) }, { "revision", verdict.revision },
        { "banned", verdict.isBanned }, { "crashes", verdict.crashes }, { "answers", verdict.answers },
        { "reporters", verdict.reporters }, { "changedBy", verdict.changedBy }, { "changedAtMs", verdict.changedAtMs },
        { "probes", verdict.probes }, { "answeredProbes", verdict.answeredProbes },
        { "confirmed", verdict.isConfirmed } };
}

Verdict parseVerdict(const json& document)
{
    const auto text = document.at("fingerprint").get<std::string>();
    const auto fingerprint = parseFingerprint(text);
    if (!fingerprint)
        throw errors::Error(
            errors::ResultCode::InvalidField, "/fingerprint must be 16 hexadecimal digits, not '" + text + "'");
    Verdict verdict;
    verdict.fingerprint = *fingerprint;
    verdict.revision = document.at("revision").get<std::uint64_t>();
    verdict.isBanned = document.at("banned").get<bool>();
    verdict.crashes = document.value("crashes", 0);
    verdict.answers = document.value("answers", 0);
    verdict.reporters = document.value("reporters", std::vector<std::string>());
    verdict.changedBy = document.value("changedBy", "");
    verdict.changedAtMs = document.value("changedAtMs", std::int64_t { 0 });
    verdict.probes = document.value("probes", 0);
    verdict.answeredProbes = document.value("answeredProbes", 0);
    verdict.isConfirmed = document.value("confirmed", false);
    return verdict;
}

} // namespace goldcrestcleat::admission
