#pragma once

#include <list>
#include <unordered_map>

namespace bench {

/// A simulated engine: an LRU cache of complete chats, and the number of running requests.
struct FakeEngine {
    std::list<std::pair<int, int>> order; // chat and tokens, most recently used first
    std::unordered_map<int, std::list<std::pair<int, int>>::iterator> chats;
    long long tokens = 0;
    int running = 0;

    int warmTokens(int chat) const
    {
        const auto found = chats.find(chat);
        return found == chats.end() ? 0 : found->second->second;
    }

    void put(int chat, int size, long long capacity)
    {
        const auto found = chats.find(chat);
        if (found != chats.end()) {
            tokens -= found->second->second;
            order.erase(found->second);
        }
        order.emplace_front(chat, size);
        chats[chat] = order.begin();
        tokens += size;
        while (tokens > capacity) {
            tokens -= order.back().second;
            chats.erase(order.back().first);
            order.pop_back();
        }
    }
};

} // namespace bench
