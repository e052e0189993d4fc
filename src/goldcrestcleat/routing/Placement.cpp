#include "goldcrestcleat/routing/Placement.h"

#include <algorithm>

namespace goldcrestcleat::routing {

namespace {

    bool isUsable(const LoadView& view, const PlacementQuery& query, NodeKey key)
    {
        if (key == NO_NODE || std::find(query.tried.begin(), query.tried.end(), key) != query.tried.end())
            return false;
        const EngineEntry* entry = view.find(key);
        return entry && entry->eligible && entry->model == query.model;
    }

} // namespace

const char* toString(PlacementReason reason)
{
    switch (reason) {
    case PlacementReason::AffinityToken:
        return "hint";
    case PlacementReason::Remembered:
        return "memory";
    case PlacementReason::Hashed:
        return "hashed";
    case PlacementReason::LeastLoaded:
        return "least-loaded";
    case PlacementReason::None:
        break;
    }
    return "none";
}

PlacementChoice choosePlacement(const LoadView& view, const PlacementQuery& query, std::mt19937_64& random)
{
    if (isUsable(view, query, query.preferredEngine))
        return { query.preferredEngine, PlacementReason::AffinityToken, true };
    if (isUsable(view, query, query.rememberedEngine))
        return { query.rememberedEngine, PlacementReason::Remembered, true };
    if (query.tried.empty()) {
        const NodeKey hashed = view.hashedEngine(query.model, query.chat);
        if (isUsable(view, query, hashed))
            return { hashed, PlacementReason::Hashed, query.isReturning };
    }
    const NodeKey least = view.leastLoaded(query.model, query.tried, LEAST_LOADED_SAMPLES, random);
    if (least == NO_NODE)
        return {};
    return { least, PlacementReason::LeastLoaded, false };
}

} // namespace goldcrestcleat::routing
