#pragma once

#include "goldcrestcleat/routing/LoadView.h"

#include <string>

namespace goldcrestcleat::routing {

/// Parameters of the load bound, as the settings give them.
struct LoadBoundRule {
    double bound = 1.25; ///< multiple of the mean, plus one request, that no engine may exceed
    double admitFactor = 1.10; ///< multiple of the lowest recent mean up to which work is admitted
};

/// Returns true when an engine that carries `load` requests may take one more.
///
/// An engine at or below the current mean may always take one; above it, the lowest recent mean decides,
/// so that the bound still holds after the mean has fallen a little.
bool mayAdmit(const LoadView& view, const EngineEntry& engine, int load, const LoadBoundRule& rule, loop::TimeMs now);

/// Returns true when an engine carries more than the bound allows.
///
/// `departures` is a number of requests that may finish elsewhere before the answer is acted on.
bool isOverBound(const LoadView& view, const EngineEntry& engine, int load, const LoadBoundRule& rule, int departures);

} // namespace goldcrestcleat::routing
