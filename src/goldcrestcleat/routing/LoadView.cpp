#include "goldcrestcleat/routing/LoadView.h"

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::routing {

void LoadView::putEngine(const EngineEntry& entry)
{
    const auto old = engines_.find(entry.key);
    EngineEntry next = entry;
    std::string oldModel;
    if (old != engines_.end()) {
        next.load = old->second.load;
        next.loadUpdatedAt = old->second.loadUpdatedAt;
        oldModel = old->second.model;
        const bool sameRing = oldModel == next.model && old->second.eligible == next.eligible;
        old->second = next;
        if (sameRing)
            return;
    } else {
        engines_[entry.key] = next;
    }
    if (!oldModel.empty() && oldModel != next.model)
        rebuild(oldModel);
    rebuild(next.model);
}

void LoadView::removeEngine(NodeKey key)
{
    const auto entry = engines_.find(key);
    if (entry == engines_.end())
        return;
    const std::string model = entry->second.model;
    engines_.erase(entry);
    rebuild(model);
}

void LoadView::setLoad(NodeKey key, int load, loop::TimeMs now)
{
    const auto entry = engines_.find(key);
    if (entry == engines_.end())
        return;
    Model& model = models_[entry->second.model];
    if (entry->second.eligible)
        model.totalLoad += load - entry->second.load;
    entry->second.load = load;
    entry->second.loadUpdatedAt = now;
    recordMean(model, now);
    checkInvariants(model);
}

const EngineEntry* LoadView::find(NodeKey key) const
{
    const auto entry = engines_.find(key);
    return entry == engines_.end() ? nullptr : &entry->second;
}

double LoadView::mean(const std::string& model) const
{
    const auto found = models_.find(model);
    if (found == models_.end() || found->second.eligible.empty())
        return 0;
    return static_cast<double>(found->second.totalLoad) / static_cast<double>(found->second.eligible.size());
}

double LoadView::lowestMean(const std::string& model, loop::TimeMs now) const
{
    const auto found = models_.find(model);
    if (found == models_.end())
        return 0;
    const auto& minima = found->second.minima;
    // The last value before the window was still the mean when the window began.
    std::size_t first = 0;
    while (first + 1 < minima.size() && minima[first + 1].first <= now - meanWindowMs_)
        ++first;
    double lowest = mean(model);
    if (first < minima.size())
        lowest = std::min(lowest, minima[first].second);
    return lowest;
}

std::size_t LoadView::eligibleCount(const std::string& model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? 0 : found->second.eligible.size();
}

bool LoadView::hasModel(const std::string& model) const { return models_.count(model) > 0; }

NodeKey LoadView::hashedEngine(const std::string& model, ChatKey chat) const
{
    const auto found = models_.find(model);
    if (found == models_.end())
        return NO_NODE;
    const Model& entry = found->second;
    if (entry.isRingStale)
        entry.ring = HashRing(entry.eligible);
    entry.isRingStale = false;
    return entry.ring.pick(chat);
}

NodeKey LoadView::leastLoaded(
    const std::string& model, const std::vector<NodeKey>& excluded, int samples, std::mt19937_64& random) const
{
    const auto found = models_.find(model);
    if (found == models_.end() || found->second.eligible.empty())
        return NO_NODE;
    const auto& keys = found->second.eligible;
    const std::size_t count = std::min(keys.size(), static_cast<std::size_t>(samples) + excluded.size());
    const std::size_t start = random() % keys.size();
    const std::size_t stride = keys.size() / count;
    NodeKey best = NO_NODE;
    int bestLoad = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const NodeKey key = keys[(start + i * stride) % keys.size()];
        if (std::find(excluded.begin(), excluded.end(), key) != excluded.end())
            continue;
        const int load = engines_.at(key).load;
        if (best == NO_NODE || load < bestLoad) {
            best = key;
            bestLoad = load;
        }
    }
    return best;
}

std::vector<NodeKey> LoadView::eligible(const std::string& model) const
{
    const auto found = models_.find(model);
    return found == models_.end() ? std::vector<NodeKey>() : found->second.eligible;
}

std::vector<EngineEntry> LoadView::entries() const
{
    std::vector<EngineEntry> all;
    all.reserve(engines_.size());
    for (const auto& [key, entry] : engines_)
        all.push_back(entry);
    return all;
}

// ---- private ----

void LoadView::rebuild(const std::string& name)
{
    Model& model = models_[name];
    model.eligible.clear();
    model.totalLoad = 0;
    for (const auto& [key, entry] : engines_) {
        if (entry.model != name || !entry.eligible)
            continue;
        model.eligible.push_back(key);
        model.totalLoad += entry.load;
    }
    std::sort(model.eligible.begin(), model.eligible.end());
    model.isRingStale = true;
    model.minima.clear(); // means over different sets of engines are not comparable
    checkInvariants(model);
}

void LoadView::recordMean(Model& model, loop::TimeMs now)
{
    if (model.eligible.empty())
        return;
    const double mean = static_cast<double>(model.totalLoad) / static_cast<double>(model.eligible.size());
    auto& minima = model.minima;
    while (!minima.empty() && minima.back().second >= mean)
        minima.pop_back();
    minima.emplace_back(now, mean);
    while (minima.size() > 1 && minima[1].first <= now - meanWindowMs_)
        minima.pop_front();
}

void LoadView::checkInvariants([[maybe_unused]] const Model& model) const
{
    assert(std::is_sorted(model.eligible.begin(), model.eligible.end()));
    assert(model.totalLoad >= 0);
}

} // namespace goldcrestcleat::routing
