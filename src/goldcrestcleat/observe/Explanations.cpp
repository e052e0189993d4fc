#include "goldcrestcleat/observe/Explanations.h"

#include <cassert>

namespace goldcrestcleat::observe {

void Explanations::begin(
    const std::string& requestId, const std::string& workspace, const std::string& chat, loop::TimeMs now)
{
    if (order_.size() >= MAX_REQUESTS) {
        records_.erase(order_.front());
        order_.pop_front();
    }
    records_[requestId] = { workspace, chat, now, {} };
    order_.push_back(requestId);
    assert(records_.size() <= MAX_REQUESTS);
}

void Explanations::add(const std::string& requestId, loop::TimeMs now, const std::string& step, nlohmann::json details)
{
    const auto found = records_.find(requestId);
    if (found == records_.end() || found->second.steps.size() >= MAX_STEPS)
        return;
    details["step"] = step;
    details["afterMs"] = now - found->second.startedAt;
    found->second.steps.push_back(std::move(details));
}

nlohmann::json Explanations::findByRequest(const std::string& requestId) const
{
    const auto found = records_.find(requestId);
    return found == records_.end() ? nlohmann::json() : toJson(found->first, found->second);
}

nlohmann::json Explanations::findByChat(const std::string& chat) const
{
    nlohmann::json result = nlohmann::json::array();
    for (auto id = order_.rbegin(); id != order_.rend(); ++id) {
        const auto found = records_.find(*id);
        if (found != records_.end() && found->second.chat == chat)
            result.push_back(toJson(found->first, found->second));
    }
    return result;
}

nlohmann::json Explanations::toJson(const std::string& requestId, const Record& record)
{
    return { { "request", requestId }, { "workspace", record.workspace }, { "chat", record.chat },
        { "steps", record.steps } };
}

} // namespace goldcrestcleat::observe
