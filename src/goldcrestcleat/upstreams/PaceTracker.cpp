#include "goldcrestcleat/upstreams/PaceTracker.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace goldcrestcleat::upstreams {

using routing::NodeKey;

namespace {

    constexpr double SAMPLE_WEIGHT = 0.2; // of a new sample in the moving average

    /// Returns a slowness some time after it was observed.
    double decayed(double slowness, loop::TimeMs ageMs)
    {
        const double halvings = static_cast<double>(ageMs) / static_cast<double>(PaceTracker::RECOVERY_HALF_LIFE_MS);
        const double now = 1 + (slowness - 1) * std::exp2(-std::max(0.0, halvings));
        return now < PaceTracker::MIN_SLOWNESS ? 1 : now;
    }

} // namespace

void PaceTracker::record(const std::string& service, NodeKey server, double ms, loop::TimeMs now)
{
    prune(now);
    Observation& observation = observations_[server];
    if (observation.samples == 0 || now - observation.sampledAt > OBSERVED_MS)
        observation = { service, ms, 0, now };
    observation.meanMs += SAMPLE_WEIGHT * (ms - observation.meanMs);
    observation.sampledAt = now;
    ++observation.samples;
    const double median = medianOf(service, now);
    if (observation.samples < MIN_SAMPLES || median <= 0)
        return;
    const double slowness = std::min(observation.meanMs / median, MAX_SLOWNESS);
    if (slowness >= MIN_SLOWNESS)
        observed_[server] = { slowness, now };
    else if (observed_.erase(server) > 0)
        reported_.erase(server); // reports of peers are no newer
    assert(slowness >= 0);
}

void PaceTracker::report(NodeKey server, double slowness, loop::TimeMs now)
{
    if (slowness >= MIN_SLOWNESS)
        reported_[server] = { std::min(slowness, MAX_SLOWNESS), now };
}

double PaceTracker::slowness(NodeKey server, loop::TimeMs now) const
{
    double slowness = 1;
    for (const auto* known : { &observed_, &reported_ }) {
        const auto found = known->find(server);
        if (found != known->end())
            slowness = std::max(slowness, decayed(found->second.value, now - found->second.at));
    }
    return slowness;
}

std::vector<std::pair<NodeKey, double>> PaceTracker::observedSlow(loop::TimeMs now) const
{
    std::vector<std::pair<NodeKey, double>> slow;
    for (const auto& [server, slowness] : observed_) {
        const double value = decayed(slowness.value, now - slowness.at);
        if (value >= MIN_SLOWNESS)
            slow.emplace_back(server, value);
    }
    return slow;
}

// ---- private ----

double PaceTracker::medianOf(const std::string& service, loop::TimeMs now)
{
    Median& median = medians_[service];
    if (median.computedAt != 0 && now - median.computedAt < MEDIAN_PERIOD_MS)
        return median.ms;
    std::vector<double> means;
    for (const auto& [server, observation] : observations_) {
        if (observation.service == service && observation.samples >= MIN_SAMPLES)
            means.push_back(observation.meanMs);
    }
    const auto middle = means.begin() + static_cast<std::ptrdiff_t>(means.size() / 2);
    std::nth_element(means.begin(), middle, means.end());
    median = { means.size() < MIN_SERVERS ? 0 : *middle, now };
    return median.ms;
}

/// Forgets servers without recent samples, so that the maps stay as small as the set of servers in use.
void PaceTracker::prune(loop::TimeMs now)
{
    if (now - prunedAt_ < OBSERVED_MS)
        return;
    prunedAt_ = now;
    const auto pruneOlder = [now](auto& map, auto timeOf) {
        for (auto it = map.begin(); it != map.end();)
            it = now - timeOf(it->second) > OBSERVED_MS ? map.erase(it) : std::next(it);
    };
    pruneOlder(observations_, [](const Observation& o) { return o.sampledAt; });
    pruneOlder(observed_, [](const Slowness& s) { return s.at; });
    pruneOlder(reported_, [](const Slowness& s) { return s.at; });
}

} // namespace goldcrestcleat::upstreams
