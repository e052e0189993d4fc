#pragma once

#include "goldcrestcleat/routes/Configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace goldcrestcleat::routes {

/// One version of the configuration with indexes for the request path; never changes once built.
class RouteBook {
public:
    using Ptr = std::shared_ptr<const RouteBook>;

    explicit RouteBook(Configuration configuration);

    /// Returns the route of a host with the longest prefix of the path, or null.
    ///
    /// Host names are compared without regard to case; a port is ignored. Complexity: O(segments of the path).
    const Route* find(const std::string& host, std::string_view path) const;

    /// Returns the workspace that holds a key, or null. Complexity: O(1).
    const KeyHolder* holderOf(const std::string& key) const;

    /// True when routes that need a key check it.
    bool checksKeys() const { return !configuration_.workspaces.empty(); }

    const Configuration& configuration() const { return configuration_; }
    std::uint64_t version() const { return configuration_.version; }

private:
    using PrefixIndex = std::unordered_map<std::string, const Route*>;

    Configuration configuration_;
    std::unordered_map<std::string, PrefixIndex> hosts_;
    std::unordered_map<std::string, const KeyHolder*> keys_;
};

/// Chooses one of a route's services by its share; `draw` is uniform in [0, 1).
const std::string& chooseService(const Route& route, double draw);

} // namespace goldcrestcleat::routes
