#include "bench/Measures.h"

#include <algorithm>

namespace bench {

namespace {

    struct Loads {
        std::vector<int> running;
        double mean = 0;
        int highest = 0;

        void update(const std::function<bool(int, TimeMs)>& isLive, TimeMs at)
        {
            int total = 0;
            int count = 0;
            highest = 0;
            for (std::size_t engine = 0; engine < running.size(); ++engine) {
                if (!isLive(static_cast<int>(engine), at))
                    continue;
                total += running[engine];
                highest = std::max(highest, running[engine]);
                ++count;
            }
            mean = count == 0 ? 0 : static_cast<double>(total) / count;
        }

        bool isAboveBound() const { return highest > LOAD_BOUND * mean + 1; }
    };

} // namespace

Skew computeSkew(std::vector<LoadChange> changes, int engines, TimeMs from, TimeMs to,
    const std::function<bool(int engine, TimeMs at)>& isLive)
{
    std::stable_sort(changes.begin(), changes.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
    Skew skew;
    Loads loads;
    loads.running.resize(static_cast<std::size_t>(engines));
    std::vector<double> ratios;
    double meanSum = 0;
    TimeMs breachStart = -1;
    std::size_t next = 0;
    for (TimeMs sampleAt = from; sampleAt < to; sampleAt += SAMPLE_MS) {
        for (; next < changes.size() && changes[next].at <= sampleAt; ++next) {
            const auto& change = changes[next];
            loads.running[static_cast<std::size_t>(change.engine)] = change.running;
            if (!change.isStart || change.at < from || !isLive(change.engine, change.at))
                continue;
            loads.update(isLive, change.at);
            skew.placementBreaches += change.running > LOAD_BOUND * loads.mean + 1;
        }
        loads.update(isLive, sampleAt);
        ++skew.samples;
        meanSum += loads.mean;
        if (loads.mean > 0)
            ratios.push_back(loads.highest / loads.mean);
        if (!loads.isAboveBound()) {
            breachStart = -1;
            continue;
        }
        ++skew.breaches;
        if (breachStart < 0)
            breachStart = sampleAt;
        skew.longestBreachMs = std::max(skew.longestBreachMs, sampleAt - breachStart + SAMPLE_MS);
    }
    skew.p50 = percentile(ratios, 0.5);
    skew.p99 = percentile(ratios, 0.99);
    skew.highest = percentile(ratios, 1);
    skew.meanLoad = skew.samples == 0 ? 0 : meanSum / skew.samples;
    return skew;
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    return values[at];
}

} // namespace bench
