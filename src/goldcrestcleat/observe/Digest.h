#pragma once

#include <string>
#include <string_view>

/// Logs, metrics, explanations and digests of secrets.
namespace goldcrestcleat::observe {

/// Returns the SHA-256 of a text in lower-case hexadecimal.
std::string sha256Hex(std::string_view text);

/// Returns the HMAC-SHA-256 of a text in lower-case hexadecimal.
std::string hmacSha256Hex(const std::string& secret, std::string_view text);

/// Compares in a time that depends on the lengths only.
bool equalConstantTime(std::string_view a, std::string_view b);

/// Returns `bytes` random bytes from the system's generator, in hexadecimal.
std::string randomHex(std::size_t bytes);

} // namespace goldcrestcleat::observe
