#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <string>

namespace goldcrestcleat::routing {

/// Signs and verifies the opaque affinity token that a caller sends with the next request of a chat.
///
/// A token names the engine that served the chat last and is authenticated by an HMAC. It only states a preference: the
/// load bound and eligibility apply to that engine as to any other.
class AffinityTokenSigner {
public:
    explicit AffinityTokenSigner(std::string secret)
        : secret_(std::move(secret))
    {
    }

    /// Returns a printable token of at most 24 bytes.
    std::string sign(ChatKey chat, NodeKey engine) const;

    /// Returns the engine that the token names, or NO_NODE if it is forged, malformed or issued for another chat.
    NodeKey verify(ChatKey chat, const std::string& token) const;

private:
    std::string digest(ChatKey chat, const std::string& engineHex) const;

    std::string secret_;
};

} // namespace goldcrestcleat::routing
