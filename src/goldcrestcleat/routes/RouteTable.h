#pragma once

#include "goldcrestcleat/routes/Configuration.h"

#include <memory>
#include <string_view>
#include <unordered_map>

namespace goldcrestcleat::routes {

/// An immutable version of the configuration, indexed for lookups on the request path.
class RouteTable {
public:
    using Ptr = std::shared_ptr<const RouteTable>;

    explicit RouteTable(Configuration configuration);

    /// Returns the host's route with the longest matching path prefix, or null.
    ///
    /// Host names are compared case-insensitively; a port is ignored. Complexity: O(number of path segments).
    const Route* find(const std::string& host, std::string_view path) const;

    /// Returns the workspace to which a key belongs, or null. Complexity: O(1).
    const Workspace* findWorkspace(const std::string& key) const;

    /// Returns the regions that the routes of a host permit; none if a route permits all. Complexity: O(routes of the
    /// host).
    std::vector<std::string> regionsOf(const std::string& host) const;

    /// Returns what the configuration states about a service, or null. Complexity: O(1).
    const Service* findService(const std::string& name) const;

    /// Returns true if keys are checked on the routes that need one; without any workspace they are not.
    bool isKeyCheckEnabled() const { return !configuration_.workspaces.empty(); }

    const Configuration& configuration() const { return configuration_; }
    std::uint64_t version() const { return configuration_.version; }

private:
    using PrefixIndex = std::unordered_map<std::string, const Route*>;

    Configuration configuration_;
    std::unordered_map<std::string, PrefixIndex> hosts_;
    std::unordered_map<std::string, const Workspace*> keys_;
    std::unordered_map<std::string, const Service*> services_;
};

/// Chooses one of a route's services according to their weights; `draw` is uniformly distributed in [0, 1).
const std::string& chooseService(const Route& route, double draw);

} // namespace goldcrestcleat::routes
