#include "goldcrestcleat/http/InputMemory.h"

#include <cassert>

namespace goldcrestcleat::http {

namespace {

    bool isStalled(const HeldInput& held, loop::TimeMs now)
    {
        return held.isUnfinished && now - held.lastInputAt >= STALLED_MS;
    }

    bool isUnused(const HeldInput& held, loop::TimeMs now)
    {
        return held.hasSentNothing && now - held.lastInputAt >= UNUSED_MS;
    }

} // namespace

std::optional<std::size_t> findCostliestStalled(const std::vector<HeldInput>& held, loop::TimeMs now)
{
    std::optional<std::size_t> costliest;
    double highestCost = 0;
    for (std::size_t i = 0; i < held.size(); ++i) {
        const double cost = static_cast<double>(held[i].bytes) * static_cast<double>(now - held[i].lastInputAt);
        if (!isStalled(held[i], now) || cost <= highestCost)
            continue;
        highestCost = cost;
        costliest = i;
    }
    return costliest;
}

std::optional<std::size_t> findLongestStalled(const std::vector<HeldInput>& held, loop::TimeMs now)
{
    std::optional<std::size_t> longest;
    for (std::size_t i = 0; i < held.size(); ++i) {
        const bool mayBeClosed = isStalled(held[i], now) || isUnused(held[i], now);
        if (mayBeClosed && (!longest || held[i].lastInputAt < held[*longest].lastInputAt))
            longest = i;
    }
    return longest;
}

InputMemory::HolderId InputMemory::add(Holder holder)
{
    const HolderId id = nextId_++;
    holders_.emplace(id, std::move(holder));
    return id;
}

void InputMemory::freeStalled(loop::TimeMs now)
{
    if (noneStalledAt_ && now - *noneStalledAt_ < SEARCH_PERIOD_MS)
        return;
    noneStalledAt_.reset();
    while (isExceeded()) {
        std::vector<HolderId> ids;
        std::vector<HeldInput> held;
        for (const auto& [id, holder] : holders_) {
            ids.push_back(id);
            held.push_back(holder.held());
        }
        const auto costliest = findCostliestStalled(held, now);
        if (!costliest) {
            noneStalledAt_ = now;
            return;
        }
        const auto before = bytes_;
        const auto giveUp = holders_.at(ids[*costliest]).giveUp; // a copy, since the holder may remove itself
        giveUp();
        if (bytes_ >= before)
            return; // nothing was freed; trying again would not end
    }
}

bool InputMemory::mustRefuse(bool isSmall) const { return bytes() > (isSmall ? limit_ + limit_ / 2 : limit_); }

} // namespace goldcrestcleat::http
