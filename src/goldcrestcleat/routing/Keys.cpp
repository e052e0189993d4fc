#include "goldcrestcleat/routing/Keys.h"

#include <xxhash.h>

namespace goldcrestcleat::routing {

NodeKey nodeKey(std::string_view id)
{
    const NodeKey key = XXH32(id.data(), id.size(), 0);
    return key == NO_NODE ? 1 : key;
}

ChatKey chatKey(std::string_view workspace, std::string_view chat)
{
    std::string text(workspace);
    text.push_back('\0');
    text.append(chat);
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvousScore(std::uint64_t key, NodeKey node)
{
    // The splitmix64 finalizer, applied to both keys combined.
    std::uint64_t x = key ^ (node * 0x9e3779b97f4a7c15ULL);
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
    return x ^ (x >> 31);
}

} // namespace goldcrestcleat::routing
