#pragma once

#include "goldcrestcleat/routing/LoadView.h"

#include <string>

namespace goldcrestcleat::routing {

/// Parameters of the load bound, from the settings.
struct LoadBoundParameters {
    double bound = 1.25; ///< no engine may exceed this multiple of the mean load, plus one request
    double admitFactor = 1.10; ///< requests are admitted up to this multiple of the lowest recent mean
};

/// Returns true if an engine with `load` requests may accept one more.
///
/// An eligible engine with fewer than `maxRunning` requests always may if its load is at or below the current mean.
/// Above the mean, the lowest recent mean decides, so that the bound still holds if the mean drops slightly afterwards.
bool mayAdmit(
    const LoadView& view, const EngineEntry& engine, int load, const LoadBoundParameters& parameters, loop::TimeMs now);

/// Returns true if an engine with `load` requests exceeds the bound.
///
/// `departures` is the number of requests on other engines that may finish, and so lower the mean, before the caller
/// acts on the result.
bool isOverBound(
    const LoadView& view, const EngineEntry& engine, int load, const LoadBoundParameters& parameters, int departures);

} // namespace goldcrestcleat::routing
