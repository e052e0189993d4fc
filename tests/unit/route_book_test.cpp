#include "goldcrestcleat/routes/RouteTable.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <rapidcheck.h>

using namespace goldcrestcleat::routes;

namespace {

Route route(const std::string& host, const std::string& prefix)
{
    Route r;
    r.name = host + prefix;
    r.host = host;
    r.prefix = prefix;
    r.targets = { { "s", 1 } };
    return r;
}

Configuration configuration(std::vector<Route> routes)
{
    Configuration c;
    c.version = 1;
    c.routes = std::move(routes);
    return c;
}

/// Reference implementation that examines every route.
const Route* findByLinearSearch(const Configuration& c, const std::string& host, const std::string& path)
{
    const Route* longest = nullptr;
    for (const auto& r : c.routes) {
        const bool matches = r.host == host && path.rfind(r.prefix, 0) == 0;
        if (matches && (!longest || r.prefix.size() > longest->prefix.size()))
            longest = &r;
    }
    return longest;
}

} // namespace

Test(route_table, the_longest_prefix_of_the_host_wins)
{
    const RouteTable table(
        configuration({ route("a", "/"), route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/") }));
    cr_assert(table.find("a", "/x/y/z")->prefix == "/x/y/");
    cr_assert(table.find("a", "/x/y")->prefix == "/x/");
    cr_assert(table.find("a", "/q")->prefix == "/");
    cr_assert(table.find("A:8080", "/x/")->prefix == "/x/", "host names are case-insensitive, and the port is ignored");
    cr_assert_null(table.find("b", "/y/"));
    cr_assert_null(table.find("c", "/x/"));
    cr_assert_null(table.find("a", "x/y/"), "a path must begin with a slash");
}

Test(route_table, agrees_with_a_linear_search)
{
    cr_assert(rc::check([](const std::vector<std::vector<bool>>& prefixes, const std::vector<bool>& segments) {
        const auto pathOf = [](const std::vector<bool>& names) {
            std::string path = "/";
            for (const bool name : names)
                path += name ? "a/" : "b/";
            return path;
        };
        std::vector<Route> routes;
        for (const auto& prefix : prefixes)
            routes.push_back(route("h", pathOf(prefix)));
        const Configuration c = configuration(routes);
        const RouteTable table(c);
        for (const std::string& path : { pathOf(segments), pathOf(segments) + "end" }) {
            const Route* found = table.find("h", path);
            const Route* expected = findByLinearSearch(c, "h", path);
            RC_ASSERT((found != nullptr) == (expected != nullptr));
            const bool agrees = !found || found->prefix == expected->prefix;
            RC_ASSERT(agrees);
        }
    }));
}

Test(route_table, a_host_permits_regions_only_if_all_its_routes_do)
{
    Configuration configuration;
    for (const char* prefix : { "/a/", "/b/" }) {
        Route r;
        r.host = "h";
        r.prefix = prefix;
        r.targets = { { "s", 1 } };
        r.regions = { std::string("region of ") + prefix };
        configuration.routes.push_back(r);
    }
    auto regions = RouteTable(configuration).regionsOf("h");
    std::sort(regions.begin(), regions.end());
    cr_assert((regions == std::vector<std::string> { "region of /a/", "region of /b/" }));
    configuration.routes[1].regions.clear();
    cr_assert(RouteTable(configuration).regionsOf("h").empty());
    cr_assert(RouteTable(configuration).regionsOf("other").empty());
}

Test(route_table, a_split_selects_services_by_weight)
{
    Route r = route("a", "/");
    r.targets = { { "one", 90 }, { "none", 0 }, { "two", 10 } };
    cr_assert(chooseService(r, 0.0) == "one");
    cr_assert(chooseService(r, 0.899) == "one");
    cr_assert(chooseService(r, 0.9001) == "two");
    cr_assert(chooseService(r, 0.9999999999) == "two");
}

Test(route_table, keys_identify_their_workspace)
{
    Configuration c = configuration({ route("a", "/") });
    c.workspaces = { { "w1", { "k1", "k2" }, std::nullopt }, { "w2", { "k3" }, 4 } };
    const RouteTable table(c);
    cr_assert(table.isKeyCheckEnabled());
    cr_assert(table.findWorkspace("k2")->name == "w1");
    cr_assert_eq(*table.findWorkspace("k3")->priority, 4);
    cr_assert_null(table.findWorkspace(""));
    cr_assert_null(table.findWorkspace("k4"));
    cr_assert_not(RouteTable(configuration({ route("a", "/") })).isKeyCheckEnabled());
}
