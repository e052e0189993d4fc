#pragma once

#include "goldcrestcleat/routing/Keys.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace goldcrestcleat::upstreams {

/// One start of a server. A restart under the same id has another start time or another address.
struct ServerInstance {
    routing::NodeKey server = routing::NO_NODE;
    std::int64_t startedAtMs = 0; ///< Unix time of its start; 0 if not stated
    std::string address;

    friend bool operator==(const ServerInstance& a, const ServerInstance& b)
    {
        return std::tie(a.server, a.startedAtMs, a.address) == std::tie(b.server, b.startedAtMs, b.address);
    }
    friend bool operator!=(const ServerInstance& a, const ServerInstance& b) { return !(a == b); }
};

/// A server as it registers itself in the store.
struct ServerEntry {
    std::string id; ///< usually unique to each start of a server
    std::string service;
    std::string address;
    std::string dataCentre;
    int slots = 1; ///< requests processed concurrently
    bool isLeaving = false; ///< accepts no new requests
    bool isEngine = false; ///< runs models
    std::int64_t startedAtMs = 0; ///< Unix time of its start; 0 if not stated
    std::int64_t coldLeftMs = 0; ///< how much longer it is cold, counted from when the entry was written

    ServerInstance instance() const { return { routing::nodeKey(id), startedAtMs, address }; }

    friend bool operator==(const ServerEntry& a, const ServerEntry& b)
    {
        return std::tie(a.id, a.service, a.address, a.dataCentre, a.slots, a.isLeaving, a.isEngine, a.startedAtMs,
                   a.coldLeftMs)
            == std::tie(b.id, b.service, b.address, b.dataCentre, b.slots, b.isLeaving, b.isEngine, b.startedAtMs,
                b.coldLeftMs);
    }
};

} // namespace goldcrestcleat::upstreams
