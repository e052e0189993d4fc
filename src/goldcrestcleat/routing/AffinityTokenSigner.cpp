#include "goldcrestcleat/routing/AffinityTokenSigner.h"

#include "goldcrestcleat/observe/Digest.h"

#include <cstdio>

namespace goldcrestcleat::routing {

namespace {

    constexpr std::size_t ENGINE_HEX_DIGITS = 8;
    constexpr std::size_t DIGEST_HEX_DIGITS = 16;

} // namespace

std::string AffinityTokenSigner::sign(ChatKey chat, NodeKey engine) const
{
    char hex[ENGINE_HEX_DIGITS + 1];
    std::snprintf(hex, sizeof hex, "%08x", engine);
    return hex + digest(chat, hex);
}

NodeKey AffinityTokenSigner::verify(ChatKey chat, const std::string& token) const
{
    if (token.size() != ENGINE_HEX_DIGITS + DIGEST_HEX_DIGITS)
        return NO_NODE;
    const std::string engineHex = token.substr(0, ENGINE_HEX_DIGITS);
    if (!observe::equalConstantTime(token.substr(ENGINE_HEX_DIGITS), digest(chat, engineHex)))
        return NO_NODE;
    return static_cast<NodeKey>(std::stoul(engineHex, nullptr, 16));
}

std::string AffinityTokenSigner::digest(ChatKey chat, const std::string& engineHex) const
{
    return observe::hmacSha256Hex(secret_, "hint:" + std::to_string(chat) + ":" + engineHex)
        .substr(0, DIGEST_HEX_DIGITS);
}

} // namespace goldcrestcleat::routing
