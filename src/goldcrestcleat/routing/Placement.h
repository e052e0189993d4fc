#pragma once

#include "goldcrestcleat/routing/LoadView.h"

#include <random>
#include <string>
#include <vector>

namespace goldcrestcleat::routing {

/// Why an engine was chosen.
enum class PlacementReason {
    None,
    Hint, ///< the caller's hint names it
    Memory, ///< this daemon remembers the chat there
    Hashed, ///< the chat's first engine by hashing
    LeastLoaded
}; ///< the least loaded of a sample

const char* toString(PlacementReason reason);

/// What a placement decision is made from.
struct PlacementQuery {
    ChatKey chat = 0;
    std::string model;
    bool isReturning = false; ///< the chat has earlier turns
    NodeKey hinted = NO_NODE;
    NodeKey remembered = NO_NODE;
    std::vector<NodeKey> tried; ///< engines that denied or failed this request
};

/// An engine to ask for a ticket, and whether its cache is likely to hold the chat.
struct PlacementChoice {
    NodeKey engine = NO_NODE;
    PlacementReason reason = PlacementReason::None;
    bool isWarm = false;
};

/// Engines looked at for a place by load.
constexpr int LEAST_LOADED_SAMPLES = 32;

/// Chooses the next engine to ask. Complexity: O(log n) for the first choice, O(LEAST_LOADED_SAMPLES) after it.
PlacementChoice choosePlacement(const LoadView& view, const PlacementQuery& query, std::mt19937_64& random);

} // namespace goldcrestcleat::routing
