#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <algorithm>
#include <deque>
#include <map>
#include <string>

namespace goldcrestcleat::admission {

/// This daemon's part of a retry budget that the whole fleet shares, by service.
///
/// Within each window a service may get, from all daemons together, a share of its requests as retries and a fixed
/// number beyond that. The share is earned by the requests that this daemon saw; of the fixed number it may use its
/// part among the daemons that it knows of.
class SharedRetryBudget {
public:
    struct Rule {
        double ratio = 0.1; ///< retries for each request
        double extra = 10; ///< retries beyond that, of all daemons together
        loop::TimeMs windowMs = 10'000;
        int daemons = 1; ///< that share the budget
    };

    /// Part of the allowance that is used; the rest covers requests that are counted in another window than here.
    static constexpr double USED_SHARE = 0.8;

    void setRule(const Rule& rule) { rule_ = rule; }
    const Rule& rule() const { return rule_; }

    void onRequest(const std::string& service, loop::TimeMs now) { window(service, now).requests.push_back(now); }

    /// Takes one retry; false when the budget of this window is spent.
    bool tryTake(const std::string& service, loop::TimeMs now)
    {
        if (left(service, now) < 1)
            return false;
        windows_[service].retries.push_back(now);
        return true;
    }

    /// Returns how many retries a service has left in this window; fractions have to grow to one first.
    double left(const std::string& service, loop::TimeMs now)
    {
        const Window& counts = window(service, now);
        const double earned = rule_.ratio * static_cast<double>(counts.requests.size());
        const double allowed = USED_SHARE * (earned + rule_.extra / std::max(1, rule_.daemons));
        return allowed - static_cast<double>(counts.retries.size());
    }

private:
    struct Window {
        std::deque<loop::TimeMs> requests;
        std::deque<loop::TimeMs> retries;
    };

    Window& window(const std::string& service, loop::TimeMs now)
    {
        Window& counts = windows_[service];
        for (auto* times : { &counts.requests, &counts.retries }) {
            while (!times->empty() && times->front() <= now - rule_.windowMs)
                times->pop_front();
        }
        return counts;
    }

    Rule rule_;
    std::map<std::string, Window> windows_;
};

} // namespace goldcrestcleat::admission
