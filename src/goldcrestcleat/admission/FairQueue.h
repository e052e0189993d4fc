#pragma once

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

/// Admission control: fair queueing, concurrency limits, retry budgets and quarantine of crashing requests.
namespace goldcrestcleat::admission {

/// Weighted fair queue over flows: each flow's share of the dequeued cost is proportional to its weight.
///
/// Implements start-time fair queueing: an item's start tag is the maximum of the queue's virtual time and the last
/// finish tag of its flow, and the item with the lowest start tag is dequeued first. `Item` is any movable type.
template <typename Item> class FairQueue {
    static_assert(std::is_move_constructible_v<Item>, "FairQueue needs a movable item type");

public:
    using Id = std::uint64_t;

    /// Adds an item. Cost and weight must be positive. Complexity: O(log n).
    Id push(std::uint64_t flow, double cost, double weight, Item item)
    {
        assert(cost > 0 && weight > 0);
        double& finish = finishTags_[flow];
        const double start = std::max(virtualTime_, finish);
        finish = start + cost / weight;
        const Id id = nextId_++;
        items_.emplace(std::make_pair(start, id), std::move(item));
        startTags_[id] = start;
        return id;
    }

    /// Returns the next item, or null if the queue is empty.
    const Item* front() const { return items_.empty() ? nullptr : &items_.begin()->second; }

    /// Removes and returns the next item, if any.
    std::optional<Item> pop()
    {
        if (items_.empty())
            return std::nullopt;
        const auto first = items_.begin();
        virtualTime_ = first->first.first;
        return takeAt(first);
    }

    /// Removes and returns the item with the given id, regardless of order; returns nothing for an unknown id.
    std::optional<Item> remove(Id id)
    {
        const auto tag = startTags_.find(id);
        if (tag == startTags_.end())
            return std::nullopt;
        return takeAt(items_.find({ tag->second, id }));
    }

    /// Removes and returns the first item, in dequeue order, that satisfies the condition.
    template <typename Condition> std::optional<Item> popFirst(Condition condition)
    {
        for (auto it = items_.begin(); it != items_.end(); ++it) {
            if (!condition(it->second))
                continue;
            virtualTime_ = std::max(virtualTime_, it->first.first);
            return takeAt(it);
        }
        return std::nullopt;
    }

    std::size_t size() const { return items_.size(); }
    bool empty() const { return items_.empty(); }

private:
    using Items = std::map<std::pair<double, Id>, Item>;

    std::optional<Item> takeAt(typename Items::iterator at)
    {
        std::optional<Item> item(std::move(at->second));
        startTags_.erase(at->first.second);
        items_.erase(at);
        if (items_.empty())
            finishTags_.clear(); // flows start equal again after the queue was empty
        assert(startTags_.size() == items_.size());
        return item;
    }

    Items items_;
    std::unordered_map<Id, double> startTags_;
    std::unordered_map<std::uint64_t, double> finishTags_;
    double virtualTime_ = 0;
    Id nextId_ = 1;
};

} // namespace goldcrestcleat::admission
