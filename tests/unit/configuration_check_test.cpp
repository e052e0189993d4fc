#include "goldcrestcleat/routes/ConfigurationCheck.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <functional>

using namespace goldcrestcleat::routes;

namespace {

using Severity = Finding::Severity;

/// A configuration without findings.
Configuration soundConfiguration()
{
    Configuration configuration;
    configuration.version = 7;
    Route route;
    route.name = "r1";
    route.host = "h";
    route.prefix = "/a/";
    route.timeoutMs = 8'000;
    route.goalMs = 500;
    route.maxPauseMs = 400;
    route.targets = { { "s", 1 } };
    configuration.routes = { route };
    route.name = "r2";
    route.prefix = "/b/";
    route.kind = CallKind::Stream;
    route.isResumable = true;
    route.attempts = 2;
    configuration.routes.push_back(route);
    configuration.workspaces = { { "w1", { "k1" }, std::nullopt, {} }, { "w2", { "k2" }, 1, {} } };
    configuration.services = { { "s", 3'000, 11 } };
    return configuration;
}

struct Case {
    const char* name;
    std::function<void(Configuration&)> change;
    Severity severity;
    const char* pointer;
    const char* text; ///< part of the finding
};

const std::vector<Case>& cases()
{
    static const std::vector<Case> all = {
        { "name twice", [](Configuration& c) { c.routes[1].name = "r1"; }, Severity::Error, "/routes/1", "named 'r1'" },
        { "same match", [](Configuration& c) { c.routes[1].prefix = "/a/"; }, Severity::Error, "/routes/1",
            "earlier route" },
        { "no host", [](Configuration& c) { c.routes[0].host = ""; }, Severity::Error, "/routes/0", "no host" },
        { "no slash", [](Configuration& c) { c.routes[0].prefix = "/a"; }, Severity::Error, "/routes/0", "slash" },
        { "empty prefix", [](Configuration& c) { c.routes[0].prefix = ""; }, Severity::Error, "/routes/0", "slash" },
        { "no time", [](Configuration& c) { c.routes[0].timeoutMs = 0; }, Severity::Error, "/routes/0", "positive" },
        { "late goal", [](Configuration& c) { c.routes[0].goalMs = 9'000; }, Severity::Error, "/routes/0", "goal" },
        { "long pause", [](Configuration& c) { c.routes[1].maxPauseMs = 9'000; }, Severity::Error, "/routes/1",
            "pause" },
        { "unknown service", [](Configuration& c) { c.routes[0].targets[0].service = "t"; }, Severity::Error,
            "/routes/0", "'t' is not listed" },
        { "no share", [](Configuration& c) { c.routes[0].targets[0].weight = 0; }, Severity::Error, "/routes/0",
            "no service" },
        { "negative share",
            [](Configuration& c) {
                c.routes[0].targets.push_back({ "s", -1 });
            },
            Severity::Error, "/routes/0", "negative" },
        { "share of 0",
            [](Configuration& c) {
                c.routes[0].targets.push_back({ "s", 0 });
            },
            Severity::Warning, "/routes/0", "share is 0" },
        { "useless attempts", [](Configuration& c) { c.routes[0].attempts = 3; }, Severity::Warning, "/routes/0",
            "only once" },
        { "priority", [](Configuration& c) { c.routes[0].priority = 10; }, Severity::Warning, "/routes/0", "0 to 9" },
        { "no workspaces", [](Configuration& c) { c.workspaces.clear(); }, Severity::Warning, "/routes/0", "no key" },
        { "workspace twice", [](Configuration& c) { c.workspaces[1].name = "w1"; }, Severity::Error, "/workspaces/1",
            "named 'w1'" },
        { "no key", [](Configuration& c) { c.workspaces[0].keys.clear(); }, Severity::Warning, "/workspaces/0",
            "never matches" },
        { "shared key", [](Configuration& c) { c.workspaces[1].keys = { "k1" }; }, Severity::Error, "/workspaces/1",
            "belongs to 'w1'" },
        { "no region",
            [](Configuration& c) {
                c.routes[0].regions = { "up" };
                c.workspaces[1].regions = { "down" };
            },
            Severity::Error, "/workspaces/1", "no region" },
        { "service twice", [](Configuration& c) { c.services.push_back(c.services[0]); }, Severity::Error,
            "/services/1", "named 's'" },
        { "unused service",
            [](Configuration& c) {
                c.services.push_back({ "t", 0, 0 });
            },
            Severity::Warning, "/services/1", "no route" },
        { "unlimited cold", [](Configuration& c) { c.services[0].coldRequestsPerS = 0; }, Severity::Warning,
            "/services/0", "not limited" },
        { "closed cold", [](Configuration& c) { c.services[0].coldRequestsPerS = 0.5; }, Severity::Warning,
            "/services/0", "less than one" },
        { "no head", [](Configuration& c) { c.limits.headBytes = 0; }, Severity::Error, "/limits", "no request" },
        { "no body", [](Configuration& c) { c.limits.bodyBytes = 0; }, Severity::Warning, "/limits", "body" },
    };
    return all;
}

bool contains(const std::vector<Difference>& differences, const Difference& wanted)
{
    return std::find(differences.begin(), differences.end(), wanted) != differences.end();
}

} // namespace

Test(configuration_check, a_sound_configuration_has_no_findings)
{
    cr_assert(checkConfiguration(soundConfiguration()).empty());
}

Test(configuration_check, each_fault_is_found_at_its_entry)
{
    for (const auto& c : cases()) {
        Configuration configuration = soundConfiguration();
        c.change(configuration);
        const auto findings = checkConfiguration(configuration);
        cr_assert(std::any_of(findings.begin(), findings.end(),
                      [&](const Finding& finding) {
                          return finding.severity == c.severity && finding.pointer == c.pointer
                              && finding.text.find(c.text) != std::string::npos;
                      }),
            "%s", c.name);
    }
}

Test(configuration_check, differences_are_named_without_keys)
{
    const Configuration before = soundConfiguration();
    cr_assert(compareConfigurations(before, before).empty());
    Configuration after = before;
    after.routes[0].timeoutMs = 10'000;
    after.routes[1].name = "r3";
    after.workspaces[0].keys = { "secret", "k1" };
    after.workspaces[1].priority.reset();
    after.services.clear();
    after.limits.idleTimeoutMs = 1;
    const auto differences = compareConfigurations(before, after);
    cr_assert(contains(differences, { "route r1", "time-out 8000 -> 10000" }));
    cr_assert(contains(differences, { "route r2", "removed" }));
    cr_assert(contains(differences, { "route r3", "added" }));
    cr_assert(contains(differences, { "workspace w1", "1 keys added, 0 withdrawn" }));
    cr_assert(contains(differences, { "workspace w2", "priority 1 -> none" }));
    cr_assert(contains(differences, { "service s", "removed" }));
    cr_assert(contains(differences, { "limits", "idle time-out 60000 -> 1" }));
    cr_assert(std::none_of(differences.begin(), differences.end(),
        [](const Difference& d) { return d.text.find("secret") != std::string::npos; }));
}
