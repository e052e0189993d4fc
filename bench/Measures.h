#pragma once

#include "bench/Trace.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace bench {

/// A change in the number of running requests of an engine.
struct LoadChange {
    TimeMs at = 0;
    int engine = 0;
    int running = 0;
    bool isStart = false;
};

/// Skew of the load across engines, sampled every 100 ms.
struct Skew {
    int samples = 0;
    int breaches = 0; ///< samples in which an engine was above the bound of 1.25 x mean + 1
    int placementBreaches = 0; ///< starts that raised the load of an engine above the bound
    double p50 = 0; ///< of the ratio of the highest load to the mean load
    double p99 = 0;
    double highest = 0;
    double meanLoad = 0;
    TimeMs longestBreachMs = 0;
};

constexpr double LOAD_BOUND = 1.25;
constexpr TimeMs SAMPLE_MS = 100;

/// Computes the skew over [from, to). `isLive` returns whether an engine is included at a time.
Skew computeSkew(std::vector<LoadChange> changes, int engines, TimeMs from, TimeMs to,
    const std::function<bool(int engine, TimeMs at)>& isLive);

/// Returns the percentile at `share`, between 0 and 1; 0 if there are no values.
double percentile(std::vector<double> values, double share);

} // namespace bench
