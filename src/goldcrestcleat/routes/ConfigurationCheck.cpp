#include "goldcrestcleat/routes/ConfigurationCheck.h"

#include <algorithm>
#include <map>
#include <set>
#include <sstream>

namespace goldcrestcleat::routes {

namespace {

    using Severity = Finding::Severity;

    constexpr int MAX_PRIORITY = 9; // the least urgent one that servers know

    /// Collects the findings on one configuration.
    class Checker {
    public:
        explicit Checker(const Configuration& configuration)
            : configuration_(configuration)
        {
            for (const auto& service : configuration.services)
                services_.insert(service.name);
        }

        std::vector<Finding> run()
        {
            for (std::size_t i = 0; i < configuration_.routes.size(); ++i)
                checkRoute(configuration_.routes[i], "/routes/" + std::to_string(i));
            for (std::size_t i = 0; i < configuration_.workspaces.size(); ++i)
                checkWorkspace(configuration_.workspaces[i], "/workspaces/" + std::to_string(i));
            for (std::size_t i = 0; i < configuration_.services.size(); ++i)
                checkService(configuration_.services[i], "/services/" + std::to_string(i));
            checkLimits();
            return findings_;
        }

    private:
        void error(const std::string& pointer, const std::string& text)
        {
            findings_.push_back({ Severity::Error, pointer, text });
        }

        void warn(const std::string& pointer, const std::string& text)
        {
            findings_.push_back({ Severity::Warning, pointer, text });
        }

        void checkRoute(const Route& route, const std::string& at)
        {
            if (!routeNames_.insert(route.name).second)
                error(at, "another route is named '" + route.name + "' too");
            if (!matches_.insert({ route.host, route.prefix }).second)
                error(at, "never matches: an earlier route has the same host and prefix");
            if (route.host.empty())
                error(at, "never matches: it has no host");
            if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
                error(at, "never matches: prefix '" + route.prefix + "' does not begin and end with a slash");
            checkTimes(route, at);
            checkTargets(route, at);
            if (route.attempts > 1 && !route.mayRepeat())
                warn(at,
                    "attempts " + std::to_string(route.attempts) + " have no effect: its requests may run only once");
            if (route.priority < 0 || route.priority > MAX_PRIORITY)
                warn(at,
                    "priority " + std::to_string(route.priority) + " is outside of 0 to 9 and is sent as the nearest");
            if (route.needsKey && configuration_.workspaces.empty())
                warn(at, "no key is checked: there are no workspaces");
        }

        void checkTimes(const Route& route, const std::string& at)
        {
            if (route.timeoutMs <= 0)
                error(at, "the time-out must be positive");
            else if (route.goalMs > route.timeoutMs)
                error(at,
                    "the goal of " + std::to_string(route.goalMs) + " ms exceeds the time-out of "
                        + std::to_string(route.timeoutMs) + " ms");
            else if (route.kind == CallKind::Stream && route.maxPauseMs > route.timeoutMs)
                error(at,
                    "the longest pause of " + std::to_string(route.maxPauseMs) + " ms exceeds the time-out of "
                        + std::to_string(route.timeoutMs) + " ms");
        }

        void checkTargets(const Route& route, const std::string& at)
        {
            double total = 0;
            for (const auto& target : route.targets) {
                total += target.weight;
                used_.insert(target.service);
                if (!services_.empty() && services_.count(target.service) == 0)
                    error(at, "service '" + target.service + "' is not listed");
                if (target.weight < 0)
                    error(at, "the share of service '" + target.service + "' is negative");
                if (target.weight == 0)
                    warn(at, "service '" + target.service + "' gets no request: its share is 0");
            }
            if (total <= 0)
                error(at, "no service has a share of its requests");
        }

        void checkWorkspace(const Workspace& workspace, const std::string& at)
        {
            if (!workspaceNames_.insert(workspace.name).second)
                error(at, "another workspace is named '" + workspace.name + "' too");
            if (workspace.keys.empty())
                warn(at, "never matches: workspace '" + workspace.name + "' has no key");
            for (const auto& key : workspace.keys) {
                const auto [holder, isNew] = keyHolders_.emplace(key, workspace.name);
                if (!isNew && holder->second != workspace.name)
                    error(at, "a key of workspace '" + workspace.name + "' belongs to '" + holder->second + "' too");
            }
            for (const auto& route : configuration_.routes) {
                if (route.needsKey && leavesNoRegion(route.regions, workspace.regions))
                    error(at, "no region is left for workspace '" + workspace.name + "' on route '" + route.name + "'");
            }
        }

        static bool leavesNoRegion(const std::vector<std::string>& a, const std::vector<std::string>& b)
        {
            return !a.empty() && !b.empty() && std::none_of(a.begin(), a.end(), [&](const std::string& region) {
                return std::find(b.begin(), b.end(), region) != b.end();
            });
        }

        void checkService(const Service& service, const std::string& at)
        {
            if (!serviceNames_.insert(service.name).second)
                error(at, "another service is named '" + service.name + "' too");
            if (used_.count(service.name) == 0)
                warn(at, "no route uses service '" + service.name + "'");
            if (service.coldMs > 0 && service.coldRequestsPerS <= 0)
                warn(at, "its servers turn cold, but their requests are not limited");
            if (service.limitsColdStarts() && service.coldRequestsPerS < 1)
                warn(at, "its cold servers may get no request at all: less than one a second is tolerated");
        }

        void checkLimits()
        {
            const CallerLimits& limits = configuration_.limits;
            if (limits.headBytes == 0 || limits.headTimeoutMs <= 0 || limits.idleTimeoutMs <= 0)
                error("/limits", "no request can be received within these limits");
            if (limits.bodyBytes == 0)
                warn("/limits", "requests with a body are refused");
        }

        const Configuration& configuration_;
        std::vector<Finding> findings_;
        std::set<std::string> services_; // listed
        std::set<std::string> used_; // by routes
        std::set<std::string> routeNames_;
        std::set<std::string> workspaceNames_;
        std::set<std::string> serviceNames_;
        std::set<std::pair<std::string, std::string>> matches_; // host and prefix
        std::map<std::string, std::string> keyHolders_;
    };

    std::string joined(const std::vector<std::string>& texts)
    {
        std::string all;
        for (const auto& text : texts)
            all.append(all.empty() ? "" : ",").append(text);
        return all.empty() ? "none" : all;
    }

    std::string describe(const std::vector<RouteTarget>& targets)
    {
        std::ostringstream text;
        for (const auto& target : targets)
            text << (text.tellp() > 0 ? "," : "") << target.service << ":" << target.weight;
        return text.str();
    }

    const char* describe(CallKind kind)
    {
        if (kind == CallKind::Stream)
            return "stream";
        return kind == CallKind::Idempotent ? "idempotent" : "non-idempotent";
    }

    using Members = std::vector<std::pair<std::string, std::string>>; // name and value as text

    Members membersOf(const Route& r)
    {
        return { { "host", r.host }, { "prefix", r.prefix }, { "kind", describe(r.kind) },
            { "may be resumed", std::to_string(r.isResumable) }, { "needs key", std::to_string(r.needsKey) },
            { "prompt", std::to_string(r.hasPrompt) }, { "time-out", std::to_string(r.timeoutMs) },
            { "goal", std::to_string(r.goalMs) }, { "longest pause", std::to_string(r.maxPauseMs) },
            { "attempts", std::to_string(r.attempts) }, { "priority", std::to_string(r.priority) },
            { "services", describe(r.targets) }, { "regions", joined(r.regions) } };
    }

    Members membersOf(const Workspace& w)
    {
        return { { "priority", w.priority ? std::to_string(*w.priority) : "none" }, { "regions", joined(w.regions) } };
    }

    Members membersOf(const Service& s)
    {
        return { { "cold for ms", std::to_string(s.coldMs) },
            { "cold requests/s", std::to_string(s.coldRequestsPerS) } };
    }

    /// Compares the entries of two lists by name.
    template <typename Entry>
    void compareEntries(const std::string& kind, const std::vector<Entry>& before, const std::vector<Entry>& after,
        std::vector<Difference>& differences)
    {
        const std::string prefix = kind + " ";
        std::map<std::string, const Entry*> known;
        for (const auto& entry : before)
            known[entry.name] = &entry;
        for (const auto& entry : after) {
            const std::string name = prefix + entry.name;
            const auto found = known.find(entry.name);
            if (found == known.end()) {
                differences.push_back({ name, "added" });
                continue;
            }
            const Members old = membersOf(*found->second);
            const Members now = membersOf(entry);
            for (std::size_t i = 0; i < now.size(); ++i) {
                if (old[i].second != now[i].second)
                    differences.push_back({ name, now[i].first + " " + old[i].second + " -> " + now[i].second });
            }
            known.erase(found);
        }
        for (const auto& [name, entry] : known)
            differences.push_back({ prefix + name, "removed" });
    }

    void compareKeys(const Configuration& before, const Configuration& after, std::vector<Difference>& differences)
    {
        for (const auto& workspace : after.workspaces) {
            const auto old = std::find_if(before.workspaces.begin(), before.workspaces.end(),
                [&](const Workspace& other) { return other.name == workspace.name; });
            if (old == before.workspaces.end())
                continue;
            const std::set<std::string> oldKeys(old->keys.begin(), old->keys.end());
            const std::set<std::string> newKeys(workspace.keys.begin(), workspace.keys.end());
            const auto missing = [](const std::set<std::string>& from, const std::set<std::string>& in) {
                return std::count_if(from.begin(), from.end(), [&](const auto& key) { return in.count(key) == 0; });
            };
            const auto added = missing(newKeys, oldKeys);
            const auto withdrawn = missing(oldKeys, newKeys);
            if (added + withdrawn > 0)
                differences.push_back({ "workspace " + workspace.name,
                    std::to_string(added) + " keys added, " + std::to_string(withdrawn) + " withdrawn" });
        }
    }

} // namespace

std::vector<Finding> checkConfiguration(const Configuration& configuration) { return Checker(configuration).run(); }

std::vector<Difference> compareConfigurations(const Configuration& inForce, const Configuration& next)
{
    std::vector<Difference> differences;
    compareEntries("route", inForce.routes, next.routes, differences);
    compareEntries("workspace", inForce.workspaces, next.workspaces, differences);
    compareKeys(inForce, next, differences);
    compareEntries("service", inForce.services, next.services, differences);
    const auto compareLimit = [&](const char* name, auto before, auto after) {
        if (before != after)
            differences.push_back(
                { "limits", std::string(name) + " " + std::to_string(before) + " -> " + std::to_string(after) });
    };
    compareLimit("head bytes", inForce.limits.headBytes, next.limits.headBytes);
    compareLimit("body bytes", inForce.limits.bodyBytes, next.limits.bodyBytes);
    compareLimit("head time-out", inForce.limits.headTimeoutMs, next.limits.headTimeoutMs);
    compareLimit("idle time-out", inForce.limits.idleTimeoutMs, next.limits.idleTimeoutMs);
    return differences;
}

} // namespace goldcrestcleat::routes
