#pragma once

namespace goldcrestcleat::upstreams {

/// Result of a request at a server, as it affects the server's health.
enum class Outcome {
    Answered,
    ServerError, ///< a response that reports a failure of the server
    Broken, ///< no complete response, or an invalid one
    Rejected, ///< the server stated that it did not execute the request
    Unreachable ///< no connection could be opened
};

} // namespace goldcrestcleat::upstreams
