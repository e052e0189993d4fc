#pragma once

#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::observe {

/// Aggregates the results of the requests finished in one second for a log line, which covers all of them at any rate.
class PerSecondSummary {
public:
    /// Records a finished request. `firstAnswerMs` is the time to the response head, or 0 without a response.
    void add(const std::string& kind, errors::ResultCode code, loop::TimeMs firstAnswerMs);

    bool isEmpty() const { return kinds_.empty(); }

    /// Returns the aggregate and resets it.
    ///
    /// Shape: `{"codes": {NUMBER: count}, "kinds": {KIND: {"n": count, "p50": ms, "p95": ms}}}`.
    nlohmann::json take();

private:
    struct Kind {
        int count = 0;
        std::vector<loop::TimeMs> firstAnswerMs;
    };

    std::map<int, int> codes_;
    std::map<std::string, Kind> kinds_;
};

} // namespace goldcrestcleat::observe
