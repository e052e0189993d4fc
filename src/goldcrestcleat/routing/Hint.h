#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <string>

namespace goldcrestcleat::routing {

/// Makes and reads the opaque hint that a caller brings back with a chat.
///
/// A hint names the engine that served the chat last. It is sealed with a keyed digest, and it is
/// only advice: placement treats the engine like any other candidate.
class HintSealer {
public:
    explicit HintSealer(std::string secret)
        : secret_(std::move(secret))
    {
    }

    /// Returns a printable hint of at most 24 bytes.
    std::string seal(ChatKey chat, NodeKey engine) const;

    /// Returns the engine, or NO_NODE for a hint that is forged, garbled or of another chat.
    NodeKey open(ChatKey chat, const std::string& hint) const;

private:
    std::string digest(ChatKey chat, const std::string& engineHex) const;

    std::string secret_;
};

} // namespace goldcrestcleat::routing
