#include "goldcrestcleat/admission/Fingerprint.h"

#include <absl/strings/str_cat.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

namespace goldcrestcleat::admission {

namespace {

    constexpr Fingerprint PART_BIT = 1;
    constexpr std::size_t HEX_DIGITS = 16;
    constexpr int HEX_BASE = 16;

} // namespace

Fingerprint fingerprintOf(const std::string& workspace, const std::string& body)
{
    const auto seed = XXH3_64bits(workspace.data(), workspace.size());
    return XXH3_64bits_withSeed(body.data(), body.size(), seed) & ~PART_BIT;
}

Fingerprint fingerprintOfPart(std::string_view partId) { return XXH3_64bits(partId.data(), partId.size()) | PART_BIT; }

std::vector<Fingerprint> fingerprintsOf(Fingerprint content, const std::vector<std::string_view>& partIds)
{
    std::vector<Fingerprint> fingerprints = { content };
    for (std::size_t i = 0; i + 1 < partIds.size(); ++i)
        fingerprints.push_back(fingerprintOfPart(partIds[i]));
    std::sort(fingerprints.begin() + 1, fingerprints.end());
    fingerprints.erase(std::unique(fingerprints.begin() + 1, fingerprints.end()), fingerprints.end());
    return fingerprints;
}

std::string toHex(Fingerprint fingerprint) { return absl::StrCat(absl::Hex(fingerprint, absl::kZeroPad16)); }

std::optional<Fingerprint> parseFingerprint(std::string_view hex)
{
    Fingerprint fingerprint = 0;
    const auto* end = hex.data() + hex.size();
    const auto result = std::from_chars(hex.data(), end, fingerprint, HEX_BASE);
    const bool isValid = hex.size() == HEX_DIGITS && result.ec == std::errc() && result.ptr == end;
    return isValid ? std::optional<Fingerprint>(fingerprint) : std::nullopt;
}

} // namespace goldcrestcleat::admission
