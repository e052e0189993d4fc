#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>

namespace goldcrestcleat::admission {

/// This daemon's part of a retry budget per service that is shared by the fleet.
///
/// Within each window, all daemons together may send a service `ratio` retries per request and a fixed number of
/// `extra` retries. For the first part, each daemon counts the requests that it received itself; the fixed number is
/// divided equally among the known daemons.
class SharedRetryBudget {
public:
    struct Parameters {
        double ratio = 0.1; ///< retries per request
        double extra = 10; ///< additional retries of all daemons together
        loop::TimeMs windowMs = 10'000;
        int daemons = 1; ///< number of daemons that share the budget
    };

    /// Share of the allowance that is used. The rest is a margin for requests that an observer counts in another window
    /// than this daemon does.
    static constexpr double USED_SHARE = 0.8;

    void setParameters(const Parameters& parameters) { parameters_ = parameters; }
    const Parameters& parameters() const { return parameters_; }

    void onRequest(const std::string& service, loop::TimeMs now) { window(service, now).requests.push_back(now); }

    /// Takes one retry; returns false if the budget of the current window is exhausted.
    bool tryTake(const std::string& service, loop::TimeMs now)
    {
        if (left(service, now) < 1)
            return false;
        windows_[service].retries.push_back(now);
        return true;
    }

    /// Returns the number of retries that a service has left in the current window; a retry needs at least 1.
    double left(const std::string& service, loop::TimeMs now)
    {
        const Window& current = window(service, now);
        const double earned = parameters_.ratio * static_cast<double>(current.requests.size());
        const double allowed = USED_SHARE * (earned + parameters_.extra / std::max(1, parameters_.daemons));
        return allowed - static_cast<double>(current.retries.size());
    }

private:
    struct Window {
        std::deque<loop::TimeMs> requests;
        std::deque<loop::TimeMs> retries;
    };

    Window& window(const std::string& service, loop::TimeMs now)
    {
        Window& current = windows_[service];
        for (auto* times : { &current.requests, &current.retries }) {
            while (!times->empty() && times->front() <= now - parameters_.windowMs)
                times->pop_front();
        }
        return current;
    }

    Parameters parameters_;
    std::map<std::string, Window> windows_;
};

} // namespace goldcrestcleat::admission
