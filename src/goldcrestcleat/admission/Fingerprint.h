#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace goldcrestcleat::admission {

/// 64-bit hash of what requests can have in common: a complete content, or one part of a prompt. The lowest bit is 1
/// for a part and 0 for a content.
using Fingerprint = std::uint64_t;

constexpr bool isPart(Fingerprint fingerprint) { return (fingerprint & 1U) != 0; }

/// Returns the hash of a workspace's request content.
Fingerprint fingerprintOf(const std::string& workspace, const std::string& body);

/// Returns the hash of a part of a prompt, which requests of all workspaces may share.
Fingerprint fingerprintOfPart(std::string_view partId);

/// Returns the content's hash followed by those of the parts, each once. The last part is left out: it belongs to the
/// request itself. Complexity: O(n log n).
std::vector<Fingerprint> fingerprintsOf(Fingerprint content, const std::vector<std::string_view>& partIds);

/// Returns a hash as it is written to logs and rows: 16 hexadecimal digits.
std::string toHex(Fingerprint fingerprint);

/// Parses 16 hexadecimal digits; returns nothing for any other text.
std::optional<Fingerprint> parseFingerprint(std::string_view hex);

} // namespace goldcrestcleat::admission
