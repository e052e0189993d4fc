#include "goldcrestcleat/routes/RouteTable.h"

#include <criterion/criterion.h>
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

/// The naive version: looks at every route.
const Route* naiveFind(const Configuration& c, const std::string& host, const std::string& path)
{
    const Route* best = nullptr;
    for (const auto& r : c.routes) {
        const bool fits = r.host == host && path.rfind(r.prefix, 0) == 0;
        if (fits && (!best || r.prefix.size() > best->prefix.size()))
            best = &r;
    }
    return best;
}

} // namespace

Test(route_book, the_longest_prefix_of_the_host_wins)
{
    const RouteTable book(
        configuration({ route("a", "/"), route("a", "/x/"), route("a", "/x/y/"), route("b", "/x/") }));
    cr_assert(book.find("a", "/x/y/z")->prefix == "/x/y/");
    cr_assert(book.find("a", "/x/y")->prefix == "/x/");
    cr_assert(book.find("a", "/q")->prefix == "/");
    cr_assert(book.find("A:8080", "/x/")->prefix == "/x/", "host names have no case, and a port is ignored");
    cr_assert_null(book.find("b", "/y/"));
    cr_assert_null(book.find("c", "/x/"));
    cr_assert_null(book.find("a", "x/y/"), "a path begins with a slash");
}

Test(route_book, agrees_with_a_search_over_all_routes)
{
    cr_assert(rc::check([](const std::vector<std::vector<bool>>& prefixes, const std::vector<bool>& segments) {
        const auto pathOf = [](const std::vector<bool>& parts) {
            std::string path = "/";
            for (const bool part : parts)
                path += part ? "a/" : "b/";
            return path;
        };
        std::vector<Route> routes;
        for (const auto& prefix : prefixes)
            routes.push_back(route("h", pathOf(prefix)));
        const Configuration c = configuration(routes);
        const RouteTable book(c);
        for (const std::string& path : { pathOf(segments), pathOf(segments) + "end" }) {
            const Route* found = book.find("h", path);
            const Route* expected = naiveFind(c, "h", path);
            RC_ASSERT((found != nullptr) == (expected != nullptr));
            const bool agrees = !found || found->prefix == expected->prefix;
            RC_ASSERT(agrees);
        }
    }));
}

Test(route_book, a_split_is_followed_by_its_shares)
{
    Route r = route("a", "/");
    r.targets = { { "one", 90 }, { "none", 0 }, { "two", 10 } };
    cr_assert(chooseService(r, 0.0) == "one");
    cr_assert(chooseService(r, 0.899) == "one");
    cr_assert(chooseService(r, 0.9001) == "two");
    cr_assert(chooseService(r, 0.9999999999) == "two");
}

Test(route_book, keys_belong_to_their_workspace)
{
    Configuration c = configuration({ route("a", "/") });
    c.workspaces = { { "w1", { "k1", "k2" }, std::nullopt }, { "w2", { "k3" }, 4 } };
    const RouteTable book(c);
    cr_assert(book.isKeyCheckEnabled());
    cr_assert(book.findWorkspace("k2")->name == "w1");
    cr_assert_eq(*book.findWorkspace("k3")->priority, 4);
    cr_assert_null(book.findWorkspace(""));
    cr_assert_null(book.findWorkspace("k4"));
    cr_assert_not(RouteTable(configuration({ route("a", "/") })).isKeyCheckEnabled());
}
