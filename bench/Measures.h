#pragma once

#include "bench/Trace.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bench {

/// A change of an engine's number of running requests.
struct LoadChange {
    TimeMs at = 0;
    int engine = 0;
    int running = 0;
    bool isStart = false;
};

/// Skew of load over engines, from samples each 100 ms.
struct Skew {
    int samples = 0;
    int breaches = 0; ///< samples with an engine above 1.25 x mean + 1
    int placementBreaches = 0; ///< starts that put an engine above the bound at that moment
    double p50 = 0; ///< of highest load over mean load
    double p99 = 0;
    double highest = 0;
    double meanLoad = 0;
    TimeMs longestBreachMs = 0;
};

constexpr double LOAD_BOUND = 1.25;
constexpr TimeMs SAMPLE_MS = 100;

/// Computes the skew over [from, to). `live` tells whether an engine counts at a time.
Skew computeSkew(std::vector<LoadChange> changes, int engines, TimeMs from, TimeMs to,
    const std::function<bool(int engine, TimeMs at)>& live);

/// Returns the value below which the share of the values lies; 0 for none.
double percentile(std::vector<double> values, double share);

} // namespace bench
