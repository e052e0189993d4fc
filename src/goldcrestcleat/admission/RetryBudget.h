#pragma once

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::admission {

/// Caps retries to a share of the first attempts, so that a fault can't multiply the load.
class RetryBudget {
public:
    static constexpr double RETRIES_PER_REQUEST = 0.2;
    static constexpr double MAX_SAVED = 50;

    /// Earns a share of a retry.
    void onRequest() { saved_ = std::min(saved_ + RETRIES_PER_REQUEST, MAX_SAVED); }

    /// Takes one retry; false when the budget is spent.
    bool tryTake()
    {
        if (saved_ < 1)
            return false;
        saved_ -= 1;
        assert(saved_ >= 0);
        return true;
    }

    double saved() const { return saved_; }

private:
    double saved_ = MAX_SAVED;
};

} // namespace goldcrestcleat::admission
