#include "goldcrestcleat/gateway/ListenerCapacity.h"

#include <algorithm>
#include <limits>

#include <sys/resource.h>

namespace goldcrestcleat::gateway {

namespace {

    // Fractions of the descriptors that connections of callers may use. From the soft limit on, connections are closed
    // after their response, so that callers that become idle release theirs.
    constexpr double SOFT_LIMIT_FRACTION = 0.35;
    constexpr double HARD_LIMIT_FRACTION = 0.5;
    constexpr double AUXILIARY_LIMIT_FRACTION = 0.04; // a caller asks for entry addresses once in some seconds

    constexpr std::size_t MAX_INPUT_BYTES = 16 * 1024 * 1024; // of all requests of a daemon; a tenth of the smallest VM

    std::size_t share(double fraction, int descriptors)
    {
        return std::max<std::size_t>(1, static_cast<std::size_t>(fraction * descriptors));
    }

} // namespace

http::ServerCapacity callerCapacity(int descriptors)
{
    return { share(SOFT_LIMIT_FRACTION, descriptors), share(HARD_LIMIT_FRACTION, descriptors), MAX_INPUT_BYTES };
}

http::ServerCapacity auxiliaryCapacity(int descriptors)
{
    const std::size_t limit = share(AUXILIARY_LIMIT_FRACTION, descriptors);
    return { std::max<std::size_t>(1, limit / 2), limit, MAX_INPUT_BYTES };
}

int descriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > std::numeric_limits<int>::max())
        return std::numeric_limits<int>::max();
    return static_cast<int>(limit.rlim_cur);
}

} // namespace goldcrestcleat::gateway
