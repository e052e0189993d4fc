#include "goldcrestcleat/forwarding/RoutedCall.h"

#include <algorithm>

// The part of RoutedCall that places requests by load and cached context.

namespace goldcrestcleat::forwarding {

using errors::ResultCode;
using routing::NodeKey;

namespace {

    // Maximum number of requests at a server, as a multiple of its slots. A stream occupies its slot for about a
    // second, so that most of those queued behind it would start too late; other calls take milliseconds, and servers
    // queue a few of them.
    constexpr double ENGINE_QUEUE_FACTOR = 1.2;
    constexpr double SERVICE_QUEUE_FACTOR = 3.0;

} // namespace

PlacementResult RoutedCall::place(const Progress& progress)
{
    const auto eligible = candidates(progress.tried);
    if (eligible.empty())
        return { std::nullopt, ResultCode::NoUpstream, service_ };
    const routing::WarmChoice choice = choose(eligible);
    const auto* server = env_.servers.find(choice.server);
    Placement placement;
    placement.server = choice.server;
    placement.serverId = server->entry.id;
    placement.address = server->entry.address;
    placement.serverStartedAtMs = server->entry.startedAtMs;
    placement.fetchFrom = fetchAddress(choice);
    placement.placedAt = env_.requests.loop.now();
    if (isColdStart(*server)) {
        env_.coldStarts.recordStart(choice.server, placement.placedAt);
        env_.requests.metrics.onColdStart();
    }
    env_.servers.addRequest(choice.server);
    if (const auto key = contextKey()) {
        countSharedTokens(placement, env_.contextHolders.find(*key) == choice.server || choice.isFirstChoice);
        env_.contextHolders.put(*key, choice.server);
    }
    return { placement, ResultCode::Ok, "" };
}

void RoutedCall::release(const Placement& placement)
{
    env_.servers.removeRequest(placement.server);
    env_.durations.record(service_, env_.requests.loop.now() - placement.placedAt);
}

/// Returns whether a request to the server would count towards the limit of a cold server.
bool RoutedCall::isColdStart(const upstreams::Server& server) const
{
    return serviceEntry_ && serviceEntry_->limitsColdStarts()
        && server.isCold(env_.requests.loop.now(), serviceEntry_->coldMs);
}

routing::ColdStartLimiter::Tolerance RoutedCall::coldTolerance() const
{
    return { serviceEntry_->coldRequestsPerS, env_.settings.bounds.coldOverage };
}

/// Returns whether a usable server may receive this request now.
bool RoutedCall::mayReceive(const upstreams::Server& server) const
{
    if (!isInPermittedRegion(server.entry.dataCentre))
        return false;
    return !isColdStart(server) || env_.coldStarts.mayStart(server.key, coldTolerance(), env_.requests.loop.now());
}

/// Returns whether both the route and the workspace permit the region of a data centre.
bool RoutedCall::isInPermittedRegion(const std::string& dataCentre) const
{
    const auto permits = [&](const std::vector<std::string>& regions) {
        return regions.empty()
            || std::find(regions.begin(), regions.end(), env_.settings.regionOf(dataCentre)) != regions.end();
    };
    return permits(route_->regions) && (!workspace_ || permits(workspace_->regions));
}

std::vector<routing::Candidate> RoutedCall::candidates(const std::vector<NodeKey>& tried) const
{
    const loop::TimeMs now = env_.requests.loop.now();
    const auto usable = env_.servers.usable(service_, now);
    double peerOpen = 0;
    double slots = 0;
    for (const auto* server : usable) {
        peerOpen += server->peerOpen;
        slots += server->entry.slots;
    }
    // Requests with a context return to the same engines, so that the differences between the loads of engines persist.
    const double openShare = contextKey() ? 1 : routing::openShare(env_.loadAgeMs(), env_.durations.meanMs(service_));
    std::vector<routing::Candidate> eligible;
    for (const auto* server : usable) {
        if (std::find(tried.begin(), tried.end(), server->key) != tried.end())
            continue;
        const double mean = peerOpen / slots * server->entry.slots;
        const double load = server->localOpen + routing::estimateLoad(server->peerOpen, mean, openShare);
        const double queueFactor = server->entry.isEngine ? ENGINE_QUEUE_FACTOR : SERVICE_QUEUE_FACTOR;
        if (load >= queueFactor * server->entry.slots || !mayReceive(*server))
            continue;
        const bool isInSameDataCentre = server->entry.dataCentre == env_.settings.self.dataCentre;
        eligible.push_back(
            { server->key, load, server->entry.slots, isInSameDataCentre, env_.paces.slowness(server->key, now) });
    }
    return eligible;
}

routing::WarmChoice RoutedCall::choose(const std::vector<routing::Candidate>& eligible) const
{
    const auto key = contextKey();
    if (key) {
        // Half of the margin above the mean is reserved for requests that other daemons place concurrently.
        const routing::WarmBound bound { 1 + (env_.settings.bounds.loadFactor - 1) / 2, routing::WarmBound().slack };
        return routing::chooseWarm(eligible, *key, bound);
    }
    routing::WarmChoice choice;
    choice.server = routing::chooseLeastLoaded(eligible, env_.random());
    return choice;
}

/// Returns the hash of the last prompt segment that the request shares with others, which identifies its context.
std::optional<std::uint64_t> RoutedCall::contextKey() const
{
    if (!route_->hasPrompt || inbound_.prompt.empty())
        return std::nullopt;
    const std::size_t shared = inbound_.prompt.size() > 1 ? inbound_.prompt.size() - 2 : 0;
    return routing::chatKey(inbound_.model, inbound_.prompt[shared].id);
}

/// Returns the address of the engine that most likely has the context cached, if the chosen one may not have it.
std::string RoutedCall::fetchAddress(const routing::WarmChoice& choice) const
{
    const auto key = contextKey();
    if (!key)
        return "";
    const NodeKey last = env_.contextHolders.find(*key);
    if (last == choice.server)
        return "";
    // Fetching from an engine that has stopped would delay the chosen one.
    for (const NodeKey candidate : { last, choice.fetchFrom }) {
        const auto* holder = env_.servers.find(candidate);
        const bool isAvailable = holder && !holder->removedAt && !holder->isAvoided(env_.requests.loop.now())
            && !env_.servers.isEvacuated(*holder) && isInPermittedRegion(holder->entry.dataCentre);
        if (isAvailable && candidate != choice.server)
            return holder->entry.address;
    }
    return "";
}

void RoutedCall::countSharedTokens(const Placement& placement, bool isWarm) const
{
    double tokens = 0;
    for (std::size_t i = 0; i + 1 < inbound_.prompt.size(); ++i)
        tokens += static_cast<double>(inbound_.prompt[i].tokens);
    const char* context = isWarm ? "warm" : placement.fetchFrom.empty() ? "cold" : "fetched";
    env_.requests.metrics.onSharedTokens(context, tokens);
}

} // namespace goldcrestcleat::forwarding
