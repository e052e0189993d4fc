#pragma once

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::admission {

/// Limits retries to a share of the requests, so that retries cannot multiply the load during an outage.
class RetryBudget {
public:
    static constexpr double RETRIES_PER_REQUEST = 0.2;
    static constexpr double MAX_BALANCE = 50;

    /// Adds RETRIES_PER_REQUEST to the balance.
    void onRequest() { balance_ = std::min(balance_ + RETRIES_PER_REQUEST, MAX_BALANCE); }

    /// Takes one retry; returns false if the budget is exhausted.
    bool tryTake()
    {
        if (balance_ < 1)
            return false;
        balance_ -= 1;
        assert(balance_ >= 0);
        return true;
    }

    double balance() const { return balance_; }

private:
    double balance_ = MAX_BALANCE;
};

} // namespace goldcrestcleat::admission
