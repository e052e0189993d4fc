#include "goldcrestcleat/routing/WarmPlacement.h"

#include <algorithm>

namespace goldcrestcleat::routing {

namespace {

    struct Ranked {
        std::uint64_t score = 0;
        const Candidate* candidate = nullptr;
    };

    std::vector<Ranked> rank(const std::vector<Candidate>& candidates, std::uint64_t contextKey)
    {
        std::vector<Ranked> ranked;
        ranked.reserve(candidates.size());
        for (const auto& candidate : candidates)
            ranked.push_back({ rendezvousScore(contextKey, candidate.key), &candidate });
        std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) { return a.score > b.score; });
        return ranked;
    }

    /// Returns the load per slot that the server would have with one more request.
    double loadPerSlot(const Candidate& candidate) { return (candidate.load + 1.0) / std::max(1, candidate.slots); }

} // namespace

WarmChoice chooseWarm(const std::vector<Candidate>& candidates, std::uint64_t contextKey, const WarmBound& bound)
{
    WarmChoice choice;
    if (candidates.empty())
        return choice;
    double total = 1; // the request itself
    for (const auto& candidate : candidates)
        total += candidate.load;
    const double limit = bound.factor * total / static_cast<double>(candidates.size()) + bound.slack;
    const auto ranked = rank(candidates, contextKey);
    const auto hasCapacity
        = [&](const Ranked& r) { return r.candidate->load + 1 <= limit && r.candidate->load < r.candidate->slots; };
    auto chosen = std::find_if(ranked.begin(), ranked.end(), hasCapacity);
    if (chosen == ranked.end()) {
        chosen = std::min_element(ranked.begin(), ranked.end(),
            [](const Ranked& a, const Ranked& b) { return loadPerSlot(*a.candidate) < loadPerSlot(*b.candidate); });
    }
    choice.server = chosen->candidate->key;
    choice.isFirstChoice = chosen == ranked.begin();
    if (ranked.size() > 1)
        choice.fetchFrom = choice.isFirstChoice ? ranked[1].candidate->key : ranked[0].candidate->key;
    return choice;
}

NodeKey chooseLeastLoaded(const std::vector<Candidate>& candidates, std::uint64_t salt)
{
    const Candidate* best = nullptr;
    for (const auto& candidate : candidates) {
        if (!best) {
            best = &candidate;
            continue;
        }
        const double difference = loadPerSlot(candidate) - loadPerSlot(*best);
        const bool winsTie = candidate.isInSameDataCentre != best->isInSameDataCentre
            ? candidate.isInSameDataCentre
            : rendezvousScore(salt, candidate.key) > rendezvousScore(salt, best->key);
        if (difference < 0 || (difference == 0 && winsTie))
            best = &candidate;
    }
    return best ? best->key : NO_NODE;
}

} // namespace goldcrestcleat::routing
