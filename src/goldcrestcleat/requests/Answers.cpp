#include "goldcrestcleat/requests/Answers.h"

#include <nlohmann/json.hpp>

namespace goldcrestcleat::requests {

std::string refusalBody(const Refusal& refusal, const std::string& requestId)
{
    const auto& row = errors::info(refusal.code);
    nlohmann::json error = {
        { "code", static_cast<int>(refusal.code) },
        { "name", row.name },
        { "message", row.message },
        { "executed", errors::toString(refusal.executed.value_or(row.executed)) },
        { "request", requestId },
    };
    if (!refusal.context.empty())
        error["context"] = refusal.context;
    if (refusal.retryAfterSeconds > 0)
        error["retryAfterSeconds"] = refusal.retryAfterSeconds;
    if (refusal.earlierAttemptsUnknown)
        error["earlierAttempts"] = "unknown";
    return nlohmann::json { { "error", error } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void refuse(http::Exchange& exchange, const Refusal& refusal, const std::string& requestId)
{
    const std::string body = refusalBody(refusal, requestId);
    if (exchange.isStreaming()) {
        exchange.write("data: " + body + "\n\n");
        exchange.finishStream(); // without the end marker, which only a whole answer gets
        return;
    }
    http::Fields fields = { { "Content-Type", "application/json" }, { "X-Request-Id", requestId } };
    if (refusal.retryAfterSeconds > 0)
        fields.emplace_back("Retry-After", std::to_string(refusal.retryAfterSeconds));
    exchange.reply(errors::info(refusal.code).httpStatus, fields, body);
}

} // namespace goldcrestcleat::requests
