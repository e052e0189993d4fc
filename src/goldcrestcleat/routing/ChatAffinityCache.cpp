#include "goldcrestcleat/routing/ChatAffinityCache.h"

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::routing {

ChatAffinityCache::ChatAffinityCache(std::size_t maxBytes)
{
    const std::size_t sets = std::max<std::size_t>(1, maxBytes / (sizeof(Slot) * SLOTS_PER_SET));
    slots_.resize(sets * SLOTS_PER_SET);
}

void ChatAffinityCache::put(ChatKey chat, NodeKey engine)
{
    Slot* const set = setOf(chat);
    Slot* victim = set;
    for (Slot* slot = set; slot != set + SLOTS_PER_SET; ++slot) {
        if (slot->engine != NO_NODE && slot->chat == chat) {
            victim = slot;
            break;
        }
        const bool isOlder = clock_ - slot->usedAt > clock_ - victim->usedAt;
        if (victim->engine != NO_NODE && (slot->engine == NO_NODE || isOlder))
            victim = slot;
    }
    if (victim->engine == NO_NODE)
        ++size_;
    *victim = { chat, engine, ++clock_ };
    assert(size_ <= slots_.size());
}

NodeKey ChatAffinityCache::find(ChatKey chat)
{
    Slot* const set = setOf(chat);
    for (Slot* slot = set; slot != set + SLOTS_PER_SET; ++slot) {
        if (slot->engine == NO_NODE || slot->chat != chat)
            continue;
        slot->usedAt = ++clock_;
        return slot->engine;
    }
    return NO_NODE;
}

ChatAffinityCache::Slot* ChatAffinityCache::setOf(ChatKey chat)
{
    const std::size_t sets = slots_.size() / SLOTS_PER_SET;
    return &slots_[(rendezvousScore(chat, 2) % sets) * SLOTS_PER_SET];
}

} // namespace goldcrestcleat::routing
