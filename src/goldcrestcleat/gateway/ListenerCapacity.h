#pragma once

#include "goldcrestcleat/http/Server.h"

namespace goldcrestcleat::gateway {

/// Returns the limits of the listener for callers of a process that may open so many descriptors.
///
/// The rest of the descriptors is for connections to servers, which each request needs, and for links to peers.
http::ServerCapacity callerCapacity(int descriptors);

/// Returns the limits of a listener whose requests are short and few, such as those for entry addresses.
http::ServerCapacity auxiliaryCapacity(int descriptors);

/// Returns the number of descriptors that the system lets this process open.
int descriptorLimit();

} // namespace goldcrestcleat::gateway
