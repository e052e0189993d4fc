#pragma once

#include "goldcrestcleat/fleet/PeerMessages.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// Versioned items of the shared configuration: profiles, retired upstreams, planned stops.
///
/// An item's version never goes down, whatever the order in which the store and the peers deliver it.
class ConfigBook {
public:
    using Item = ConfigItems::Item;

    /// Takes an item if its version is higher than the known one; true when taken.
    bool apply(const Item& item);

    const Item* find(const std::string& kind, const std::string& id) const;

    /// Returns the items of a kind, in id order.
    std::vector<Item> ofKind(const std::string& kind) const;

    std::vector<Item> all() const;

    /// Returns a digest of all kinds, ids and versions; equal books have equal digests.
    std::uint32_t digest() const { return digest_; }

    /// Called after an item was taken.
    std::function<void(const Item&)> onChange;

private:
    static std::uint32_t itemDigest(const Item& item);

    std::map<std::pair<std::string, std::string>, Item> items_;
    std::uint32_t digest_ = 0;
};

/// Kinds of configuration items.
constexpr const char* PROFILE_KIND = "profile";
constexpr const char* UPSTREAM_KIND = "upstream";
constexpr const char* STOP_KIND = "stop";

} // namespace goldcrestcleat::fleet
