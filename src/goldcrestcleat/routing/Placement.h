#pragma once

#include "goldcrestcleat/routing/LoadView.h"

#include <random>
#include <string>
#include <vector>

namespace goldcrestcleat::routing {

/// The rule that selected an engine.
enum class PlacementReason {
    None,
    AffinityToken, ///< named by the caller's affinity token
    Remembered, ///< served the chat last
    Hashed, ///< the chat maps to it on the hash ring
    LeastLoaded ///< the least loaded of a random sample
};

const char* toString(PlacementReason reason);

/// Input of a placement decision.
struct PlacementQuery {
    ChatKey chat = 0;
    std::string model;
    bool isReturning = false; ///< the chat has earlier turns
    NodeKey preferredEngine = NO_NODE; ///< named by the caller's affinity token
    NodeKey rememberedEngine = NO_NODE; ///< served the chat last
    std::vector<NodeKey> tried; ///< engines on which this request was denied or failed
};

/// The engine on which to request a ticket.
struct PlacementChoice {
    NodeKey engine = NO_NODE;
    PlacementReason reason = PlacementReason::None;
    bool isWarm = false; ///< the engine's cache probably holds the chat's context
};

/// Sample size of the least-loaded selection.
constexpr int LEAST_LOADED_SAMPLES = 32;

/// Chooses the engine on which to request the next ticket.
///
/// The order is: the preferred engine, the remembered one, the one on the hash ring (only if none was tried yet), the
/// least loaded one. Complexity: O(log n) for the first choice, O(LEAST_LOADED_SAMPLES) for later ones.
PlacementChoice choosePlacement(const LoadView& view, const PlacementQuery& query, std::mt19937_64& random);

} // namespace goldcrestcleat::routing
