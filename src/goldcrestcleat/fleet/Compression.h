#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace goldcrestcleat::fleet {

/// Compresses bytes in the zlib format.
std::string compress(std::string_view bytes);

/// Decompresses bytes. Throws PeerError with PeerFrameInvalid if they are malformed or exceed `maxBytes`.
std::string decompress(std::string_view bytes, std::size_t maxBytes);

} // namespace goldcrestcleat::fleet
