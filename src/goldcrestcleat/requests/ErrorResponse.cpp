#include "goldcrestcleat/requests/ErrorResponse.h"

#include <nlohmann/json.hpp>

namespace goldcrestcleat::requests {

std::string errorBody(const ErrorResponse& response, const std::string& requestId)
{
    const auto& row = errors::info(response.code);
    nlohmann::json error = {
        { "code", static_cast<int>(response.code) },
        { "name", row.name },
        { "message", row.message },
        { "executed", errors::toString(response.executed.value_or(row.executed)) },
        { "request", requestId },
    };
    if (!response.context.empty())
        error["context"] = response.context;
    if (response.retryAfterSeconds > 0)
        error["retryAfterSeconds"] = response.retryAfterSeconds;
    if (response.earlierAttemptsUnknown)
        error["earlierAttempts"] = "unknown";
    return nlohmann::json { { "error", error } }.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void refuse(http::Exchange& exchange, const ErrorResponse& response, const std::string& requestId)
{
    const std::string body = errorBody(response, requestId);
    if (exchange.isStreaming()) {
        exchange.write("data: " + body + "\n\n");
        exchange.truncateStream(); // a caller must not take it for complete, even one that does not know the end marker
        return;
    }
    http::Fields fields = { { "Content-Type", "application/json" }, { "X-Request-Id", requestId } };
    if (response.retryAfterSeconds > 0)
        fields.emplace_back("Retry-After", std::to_string(response.retryAfterSeconds));
    exchange.reply(errors::info(response.code).httpStatus, fields, body);
}

} // namespace goldcrestcleat::requests
