#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cmath>
#include <map>
#include <string>

namespace goldcrestcleat::routing {

/// Mean time that the requests of each service are open, as a moving average.
class ServiceDurations {
public:
    void record(const std::string& service, loop::TimeMs durationMs)
    {
        const auto ms = static_cast<double>(durationMs);
        const auto [known, isNew] = meanMs_.emplace(service, ms);
        if (!isNew)
            known->second += SAMPLE_WEIGHT * (ms - known->second);
    }

    /// Returns the mean, or 0 if no request has ended yet.
    double meanMs(const std::string& service) const
    {
        const auto known = meanMs_.find(service);
        return known == meanMs_.end() ? 0 : known->second;
    }

private:
    static constexpr double SAMPLE_WEIGHT = 0.05;

    std::map<std::string, double> meanMs_;
};

/// Returns the share of reported requests that are still open when the report is `ageMs` old; 1 for unknown durations.
inline double openShare(loop::TimeMs ageMs, double meanDurationMs)
{
    return meanDurationMs > 0 ? std::exp(-static_cast<double>(ageMs) / meanDurationMs) : 1;
}

/// Estimates the load of a server from a report of some time ago.
///
/// Of the reported requests, `openShare` are still open. Requests that have started since are assumed to be spread
/// evenly, which keeps the mean. Where requests are much shorter than the age of the reports, all servers are therefore
/// estimated alike, and the daemons do not all choose the server that was the least loaded one.
inline double estimateLoad(double reported, double mean, double openShare)
{
    return mean + (reported - mean) * openShare;
}

} // namespace goldcrestcleat::routing
