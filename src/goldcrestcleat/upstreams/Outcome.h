#pragma once

namespace goldcrestcleat::upstreams {

/// How a request ended at a server, as far as the server's health goes.
enum class Outcome {
    Answered,
    ServerError, ///< it answered that it failed
    Broken, ///< no whole answer, or one that can't be trusted
    Rejected, ///< it said that it did not run the request
    Unreachable ///< no connection
};

} // namespace goldcrestcleat::upstreams
