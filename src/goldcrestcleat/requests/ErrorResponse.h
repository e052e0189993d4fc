#pragma once

#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/http/Server.h"

#include <optional>
#include <string>

namespace goldcrestcleat::requests {

/// An error to be sent to a caller.
struct ErrorResponse {
    errors::ResultCode code = errors::ResultCode::Internal;
    std::string context;
    std::optional<errors::Executed> executed; ///< defaults to that of the result code
    int retryAfterSeconds = 0; ///< 0 for none
    bool earlierAttemptsUnknown = false; ///< an earlier call with the same idempotency key may have been executed
};

/// Returns the JSON body of an error response.
std::string errorBody(const ErrorResponse& response, const std::string& requestId);

/// Sends an error response; in a stream that has begun, as an error event after which the stream is truncated.
void refuse(http::Exchange& exchange, const ErrorResponse& response, const std::string& requestId);

} // namespace goldcrestcleat::requests
