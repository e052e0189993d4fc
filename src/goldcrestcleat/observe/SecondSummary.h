#pragma once

#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/loop/EventLoop.h"

#include <nlohmann/json.hpp>

#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::observe {

/// Collects how requests ended in one second, for one log line that is whole however many there were.
class SecondSummary {
public:
    /// Records a finished request; `firstAnswerMs` 0 when no answer came.
    void add(const std::string& kind, errors::ResultCode code, loop::TimeMs firstAnswerMs);

    bool isEmpty() const { return kinds_.empty(); }

    /// Returns what was collected and starts anew.
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
