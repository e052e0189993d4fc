#include "goldcrestcleat/fleet/ConfigCache.h"

#include <cassert>

namespace goldcrestcleat::fleet {

bool ConfigCache::apply(const Item& item)
{
    const auto key = std::make_pair(item.kind, item.id);
    const auto known = items_.find(key);
    if (known != items_.end()) {
        if (item.version <= known->second.version)
            return false;
        digest_ ^= itemDigest(known->second);
    }
    items_[key] = item;
    digest_ ^= itemDigest(item);
    assert(items_.at(key).version == item.version);
    if (onChange)
        onChange(item);
    return true;
}

const ConfigCache::Item* ConfigCache::find(const std::string& kind, const std::string& id) const
{
    const auto found = items_.find({ kind, id });
    return found == items_.end() ? nullptr : &found->second;
}

std::vector<ConfigCache::Item> ConfigCache::ofKind(const std::string& kind) const
{
    std::vector<Item> result;
    for (const auto& [key, item] : items_) {
        if (key.first == kind)
            result.push_back(item);
    }
    return result;
}

std::vector<ConfigCache::Item> ConfigCache::all() const
{
    std::vector<Item> result;
    for (const auto& [key, item] : items_)
        result.push_back(item);
    return result;
}

std::uint32_t ConfigCache::itemDigest(const Item& item)
{
    return routing::nodeKey(item.kind + "/" + item.id + "/" + std::to_string(item.version));
}

} // namespace goldcrestcleat::fleet
