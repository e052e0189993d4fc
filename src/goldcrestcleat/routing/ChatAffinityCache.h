#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <cstddef>
#include <vector>

namespace goldcrestcleat::routing {

/// Maps each chat, or any other context that engines cache, to the engine that served it last, within a fixed memory
/// budget.
///
/// A set-associative cache with 16 bytes per chat; a full set evicts its least recently used chat.
class ChatAffinityCache {
public:
    /// Allocates as many sets as fit into `maxBytes`, but at least one.
    explicit ChatAffinityCache(std::size_t maxBytes);

    /// Inserts or updates the chat's engine. Complexity: O(1).
    void put(ChatKey chat, NodeKey engine);

    /// Returns the chat's engine, or NO_NODE if it is not cached; counts as a use. Complexity: O(1).
    NodeKey find(ChatKey chat);

    std::size_t size() const { return size_; }
    std::size_t capacity() const { return slots_.size(); }

private:
    struct Slot {
        ChatKey chat = 0;
        NodeKey engine = NO_NODE;
        std::uint32_t usedAt = 0;
    };
    static_assert(sizeof(Slot) == 16, "a cached chat takes 16 bytes");

    static constexpr std::size_t SLOTS_PER_SET = 8;

    Slot* setOf(ChatKey chat);

    std::vector<Slot> slots_;
    std::uint32_t clock_ = 0;
    std::size_t size_ = 0;
};

} // namespace goldcrestcleat::routing
