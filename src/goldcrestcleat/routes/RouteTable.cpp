#include "goldcrestcleat/routes/RouteTable.h"

#include <Poco/String.h>

#include <cassert>

namespace goldcrestcleat::routes {

namespace {

    std::string hostWithoutPort(const std::string& host)
    {
        const auto colon = host.find(':');
        return Poco::toLower(host.substr(0, colon));
    }

} // namespace

RouteTable::RouteTable(Configuration configuration)
    : configuration_(std::move(configuration))
{
    for (const auto& route : configuration_.routes) {
        assert(!route.targets.empty());
        hosts_[hostWithoutPort(route.host)].emplace(route.prefix, &route);
    }
    for (const auto& workspace : configuration_.workspaces) {
        for (const auto& key : workspace.keys)
            keys_.emplace(key, &workspace);
    }
    for (const auto& service : configuration_.services)
        services_.emplace(service.name, &service);
}

const Route* RouteTable::find(const std::string& host, std::string_view path) const
{
    const auto prefixes = hosts_.find(hostWithoutPort(host));
    if (prefixes == hosts_.end())
        return nullptr;
    for (auto end = path.rfind('/'); end != std::string_view::npos; end = path.rfind('/', end - 1)) {
        const auto found = prefixes->second.find(std::string(path.substr(0, end + 1)));
        if (found != prefixes->second.end())
            return found->second;
        if (end == 0)
            break;
    }
    return nullptr;
}

const Workspace* RouteTable::findWorkspace(const std::string& key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : found->second;
}

std::vector<std::string> RouteTable::regionsOf(const std::string& host) const
{
    std::vector<std::string> regions;
    const auto prefixes = hosts_.find(hostWithoutPort(host));
    if (prefixes == hosts_.end())
        return regions;
    for (const auto& [prefix, route] : prefixes->second) {
        if (route->regions.empty())
            return {};
        regions.insert(regions.end(), route->regions.begin(), route->regions.end());
    }
    return regions;
}

const Service* RouteTable::findService(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

const std::string& chooseService(const Route& route, double draw)
{
    double total = 0;
    for (const auto& target : route.targets)
        total += target.weight;
    double remaining = draw * total;
    for (const auto& target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0)
            return target.service;
    }
    // Rounding errors can leave a remainder; it must not select a target without a share.
    for (auto target = route.targets.rbegin(); target != route.targets.rend(); ++target) {
        if (target->weight > 0)
            return target->service;
    }
    return route.targets.back().service;
}

} // namespace goldcrestcleat::routes
