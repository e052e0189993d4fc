#pragma once

#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/http/Server.h"

#include <optional>
#include <string>

namespace goldcrestcleat::requests {

/// A result to be told to a caller.
struct Refusal {
    errors::ResultCode code = errors::ResultCode::Internal;
    std::string context;
    std::optional<errors::Executed> executed; ///< the code's own when absent
    int retryAfterSeconds = 0; ///< 0 for none
    bool earlierAttemptsUnknown = false; ///< an earlier call with the same idempotency key may have run
};

/// Returns the JSON body of a refusal.
std::string refusalBody(const Refusal& refusal, const std::string& requestId);

/// Sends a refusal; in a stream that has begun, as an error event without the end marker.
void refuse(http::Exchange& exchange, const Refusal& refusal, const std::string& requestId);

} // namespace goldcrestcleat::requests
