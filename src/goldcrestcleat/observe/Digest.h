#pragma once

#include <string>
#include <string_view>

/// Logging, metrics, per-request decision records and cryptographic digests.
namespace goldcrestcleat::observe {

/// Returns the SHA-256 of a text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// Returns the HMAC-SHA-256 of a text in lower-case hexadecimal.
std::string hmacSha256Hex(const std::string& secret, std::string_view text);

/// Compares two strings in a time that depends only on their lengths, to prevent timing attacks.
bool equalConstantTime(std::string_view a, std::string_view b);

/// Returns `bytes` random bytes from the operating system's generator, in hexadecimal.
std::string randomHex(std::size_t bytes);

} // namespace goldcrestcleat::observe
