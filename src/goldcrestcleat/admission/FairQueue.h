#pragma once

#include <algorithm>
#include <cassert>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

/// Who may start work, and when: fairness, limits, retry budgets and quarantine.
namespace goldcrestcleat::admission {

/// Weighted fair queue over flows: a flow's share of started cost follows its weight.
///
/// Start-time fair queueing: an item's tag is the later of the queue's virtual time and its
/// flow's last finish tag; the lowest tag leaves first. `Item` is any movable type.
template <typename Item> class FairQueue {
    static_assert(std::is_move_constructible_v<Item>, "FairQueue needs a movable item type");

public:
    using Id = std::uint64_t;

    /// Adds an item. Cost and weight must be positive. Complexity: O(log n).
    Id push(std::uint64_t flow, double cost, double weight, Item item)
    {
        assert(cost > 0 && weight > 0);
        double& finish = flowFinish_[flow];
        const double start = std::max(virtualTime_, finish);
        finish = start + cost / weight;
        const Id id = nextId_++;
        items_.emplace(std::make_pair(start, id), std::move(item));
        tags_[id] = start;
        return id;
    }

    /// Returns the item that leaves next, or null.
    const Item* front() const { return items_.empty() ? nullptr : &items_.begin()->second; }

    /// Takes the item that leaves next.
    std::optional<Item> pop()
    {
        if (items_.empty())
            return std::nullopt;
        const auto first = items_.begin();
        virtualTime_ = first->first.first;
        return takeAt(first);
    }

    /// Takes an item out of turn; nothing for an unknown id.
    std::optional<Item> remove(Id id)
    {
        const auto tag = tags_.find(id);
        if (tag == tags_.end())
            return std::nullopt;
        return takeAt(items_.find({ tag->second, id }));
    }

    /// Takes the first item, in leaving order, that satisfies the condition.
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
        tags_.erase(at->first.second);
        items_.erase(at);
        if (items_.empty())
            flowFinish_.clear(); // an idle queue forgets who had how much
        assert(tags_.size() == items_.size());
        return item;
    }

    Items items_;
    std::unordered_map<Id, double> tags_;
    std::unordered_map<std::uint64_t, double> flowFinish_;
    double virtualTime_ = 0;
    Id nextId_ = 1;
};

} // namespace goldcrestcleat::admission
