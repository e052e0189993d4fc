#include "goldcrestcleat/routing/WarmPlacement.h"

#include <algorithm>
#include <cmath>

namespace goldcrestcleat::routing {

namespace {

    constexpr double SAME_LOAD = 0.05; // loads per slot that differ by less are equal, as they are estimates
    constexpr double MAX_PREFERRED_LOAD = 0.75; // per slot, up to which the own data centre is preferred

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

    /// Returns the effective load per slot that the server would have with one more request.
    double loadPerSlot(const Candidate& candidate)
    {
        return candidate.nextEffectiveLoad() / std::max(1, candidate.slots);
    }

    /// Returns whether the server is preferred to equally loaded ones.
    bool isPreferred(const Candidate& candidate)
    {
        return candidate.isInSameDataCentre && loadPerSlot(candidate) <= MAX_PREFERRED_LOAD;
    }

} // namespace

WarmChoice chooseWarm(const std::vector<Candidate>& candidates, std::uint64_t contextKey, const WarmBound& bound)
{
    WarmChoice choice;
    if (candidates.empty())
        return choice;
    double total = 1; // the request itself
    double capacity = 0; // in servers that are not slow
    for (const auto& candidate : candidates) {
        total += candidate.load;
        capacity += 1 / candidate.slowness;
    }
    const double limit = bound.factor * total / capacity + bound.slack;
    const auto ranked = rank(candidates, contextKey);
    const auto hasCapacity = [&](const Ranked& r) {
        return r.candidate->nextEffectiveLoad() <= limit && r.candidate->effectiveLoad() < r.candidate->slots;
    };
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
    if (candidates.empty())
        return NO_NODE;
    const auto least = std::min_element(candidates.begin(), candidates.end(),
        [](const Candidate& a, const Candidate& b) { return loadPerSlot(a) < loadPerSlot(b); });
    const double limit = loadPerSlot(*least) + SAME_LOAD;
    const Candidate* best = nullptr;
    std::uint64_t bestScore = 0;
    for (const auto& candidate : candidates) {
        if (loadPerSlot(candidate) > limit)
            continue;
        const std::uint64_t score = rendezvousScore(salt, candidate.key);
        const bool isBetter = best && isPreferred(candidate) != isPreferred(*best) ? isPreferred(candidate)
                                                                                   : !best || score > bestScore;
        if (!isBetter)
            continue;
        best = &candidate;
        bestScore = score;
    }
    return best->key;
}

} // namespace goldcrestcleat::routing
