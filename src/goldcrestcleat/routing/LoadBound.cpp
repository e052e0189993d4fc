#include "goldcrestcleat/routing/LoadBound.h"

#include <algorithm>

namespace goldcrestcleat::routing {

bool mayAdmit(
    const LoadView& view, const EngineEntry& engine, int load, const LoadBoundParameters& parameters, loop::TimeMs now)
{
    if (!engine.eligible || load >= engine.maxRunning)
        return false;
    const double current = view.mean(engine.model);
    const double lowest = view.lowestMean(engine.model, now);
    return load <= current || load <= parameters.admitFactor * lowest;
}

bool isOverBound(
    const LoadView& view, const EngineEntry& engine, int load, const LoadBoundParameters& parameters, int departures)
{
    const auto engines = static_cast<double>(std::max<std::size_t>(1, view.eligibleCount(engine.model)));
    const double mean = std::max(0.0, view.mean(engine.model) - departures / engines);
    return load > parameters.bound * mean + 1;
}

} // namespace goldcrestcleat::routing
