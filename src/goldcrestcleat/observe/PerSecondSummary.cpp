#include "goldcrestcleat/observe/PerSecondSummary.h"

#include <algorithm>

namespace goldcrestcleat::observe {

using nlohmann::json;

namespace {

    /// Returns the value below which the given fraction of the values lies. Reorders the values.
    loop::TimeMs percentile(std::vector<loop::TimeMs>& values, double fraction)
    {
        const auto at = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
        return values[at];
    }

} // namespace

void PerSecondSummary::add(const std::string& kind, errors::ResultCode code, loop::TimeMs firstAnswerMs)
{
    ++codes_[static_cast<int>(code)];
    Kind& statistics = kinds_[kind];
    ++statistics.count;
    if (firstAnswerMs > 0)
        statistics.firstAnswerMs.push_back(firstAnswerMs);
}

json PerSecondSummary::take()
{
    json codes = json::object();
    for (const auto& [code, count] : codes_)
        codes[std::to_string(code)] = count;
    json kinds = json::object();
    for (auto& [name, kind] : kinds_) {
        kinds[name] = { { "n", kind.count } };
        if (kind.firstAnswerMs.empty())
            continue;
        kinds[name]["p50"] = percentile(kind.firstAnswerMs, 0.5);
        kinds[name]["p95"] = percentile(kind.firstAnswerMs, 0.95);
    }
    codes_.clear();
    kinds_.clear();
    return { { "codes", codes }, { "kinds", kinds } };
}

} // namespace goldcrestcleat::observe
