#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <cstddef>
#include <vector>

namespace goldcrestcleat::routing {

/// Remembers which engine served a chat last, within a fixed number of bytes.
///
/// A set-associative table: 16 bytes a chat; a full set forgets its least recently used chat.
class ChatMemory {
public:
    /// Takes up to `maxBytes`, at least one set.
    explicit ChatMemory(std::size_t maxBytes);

    /// Remembers the engine. Complexity: O(1).
    void put(ChatKey chat, NodeKey engine);

    /// Returns the chat's engine, or NO_NODE. Complexity: O(1).
    NodeKey find(ChatKey chat);

    std::size_t size() const { return size_; }
    std::size_t capacity() const { return slots_.size(); }

private:
    struct Slot {
        ChatKey chat = 0;
        NodeKey engine = NO_NODE;
        std::uint32_t usedAt = 0;
    };
    static_assert(sizeof(Slot) == 16, "a remembered chat takes 16 bytes");

    static constexpr std::size_t SLOTS_PER_SET = 8;

    Slot* setOf(ChatKey chat);

    std::vector<Slot> slots_;
    std::uint32_t clock_ = 0;
    std::size_t size_ = 0;
};

} // namespace goldcrestcleat::routing
