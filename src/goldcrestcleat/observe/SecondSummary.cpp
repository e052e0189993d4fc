#include "goldcrestcleat/observe/SecondSummary.h"

#include <algorithm>

namespace goldcrestcleat::observe {

using nlohmann::json;

namespace {

    /// Returns the value below which a share of the values lie; reorders them.
    loop::TimeMs percentile(std::vector<loop::TimeMs>& values, double share)
    {
        const auto at = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
        std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at), values.end());
        return values[at];
    }

} // namespace

void SecondSummary::add(const std::string& kind, errors::ResultCode code, loop::TimeMs firstAnswerMs)
{
    ++codes_[static_cast<int>(code)];
    Kind& counted = kinds_[kind];
    ++counted.count;
    if (firstAnswerMs > 0)
        counted.firstAnswerMs.push_back(firstAnswerMs);
}

json SecondSummary::take()
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
