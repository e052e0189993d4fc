#pragma once

#include "goldcrestcleat/fleet/PeerMessages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// In-memory copy of the shared configuration: profiles, retired upstreams and planned stops, each with a version.
///
/// An item's version never decreases, whatever the order in which the store and the peers deliver updates.
class ConfigCache {
public:
    using Item = ConfigItems::Item;

    /// Stores an item if its version is higher than the known one; returns true if it was stored.
    bool apply(const Item& item);

    const Item* find(const std::string& kind, const std::string& id) const;

    /// Returns the items of a kind, ordered by id.
    std::vector<Item> ofKind(const std::string& kind) const;

    std::vector<Item> all() const;

    /// Returns a digest of all kinds, ids and versions; caches with the same items have equal digests.
    std::uint32_t digest() const { return digest_; }

    /// Called after an item was stored.
    std::function<void(const Item&)> onChange;

private:
    static std::uint32_t itemDigest(const Item& item);

    std::map<std::pair<std::string, std::string>, Item> items_;
    std::uint32_t digest_ = 0;
};

constexpr const char* PROFILE_KIND = "profile";
constexpr const char* UPSTREAM_KIND = "upstream";
constexpr const char* STOP_KIND = "stop";
constexpr const char* QUARANTINE_KIND = "quarantine";

} // namespace goldcrestcleat::fleet
