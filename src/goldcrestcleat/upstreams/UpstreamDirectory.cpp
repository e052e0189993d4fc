#include "goldcrestcleat/upstreams/UpstreamDirectory.h"

#include <algorithm>
#include <cassert>

namespace goldcrestcleat::upstreams {

namespace {

    Upstream fromSettings(const settings::Engine& engine)
    {
        Upstream u;
        u.key = routing::nodeKey(engine.id);
        u.id = engine.id;
        u.kind = Kind::Engine;
        u.address = engine.address;
        u.dataCentre = engine.dataCentre;
        u.group = engine.model;
        u.maxRunning = engine.maxRunning;
        return u;
    }

    Upstream fromSettings(const settings::Service& service)
    {
        Upstream u;
        u.key = routing::nodeKey(service.id);
        u.id = service.id;
        u.kind = Kind::Service;
        u.address = service.address;
        u.dataCentre = service.dataCentre;
        u.group = service.name;
        return u;
    }

    Upstream fromList(const store::VmEntry& entry)
    {
        Upstream u;
        u.key = routing::nodeKey(entry.id);
        u.id = entry.id;
        u.kind = entry.kind == "engine" ? Kind::Engine : Kind::Service;
        u.address = entry.address;
        u.dataCentre = entry.dataCentre;
        u.group = u.kind == Kind::Engine ? entry.model : entry.service;
        u.incarnation = entry.incarnation;
        return u;
    }

} // namespace

UpstreamDirectory::UpstreamDirectory(const settings::Settings& settings, routing::LoadView& view)
    : view_(view)
{
    for (const auto& engine : settings.engines)
        put(fromSettings(engine));
    for (const auto& service : settings.services)
        put(fromSettings(service));
}

const Upstream* UpstreamDirectory::find(routing::NodeKey key) const
{
    const auto found = upstreams_.find(key);
    return found == upstreams_.end() ? nullptr : &found->second;
}

const Upstream* UpstreamDirectory::findById(const std::string& id) const
{
    const Upstream* found = find(routing::nodeKey(id));
    return found && found->id == id ? found : nullptr;
}

std::vector<const Upstream*> UpstreamDirectory::serversOf(const std::string& service, loop::TimeMs now) const
{
    std::vector<const Upstream*> servers;
    std::vector<const Upstream*> avoided;
    for (const auto& [key, u] : upstreams_) {
        if (u.kind != Kind::Service || u.group != service || !u.acceptsRequests())
            continue;
        (u.avoidUntil > now ? avoided : servers).push_back(&u);
    }
    auto& result = servers.empty() ? avoided : servers;
    std::sort(result.begin(), result.end(), [](const Upstream* a, const Upstream* b) { return a->id < b->id; });
    return result;
}

bool UpstreamDirectory::knowsService(const std::string& service) const
{
    return std::any_of(upstreams_.begin(), upstreams_.end(),
        [&](const auto& item) { return item.second.kind == Kind::Service && item.second.group == service; });
}

std::vector<const Upstream*> UpstreamDirectory::all() const
{
    std::vector<const Upstream*> result;
    for (const auto& [key, u] : upstreams_)
        result.push_back(&u);
    return result;
}

void UpstreamDirectory::applyVmList(const std::vector<store::VmEntry>& entries)
{
    for (const auto& entry : entries) {
        if (entry.kind != "engine" && entry.kind != "service")
            continue;
        const routing::NodeKey key = routing::nodeKey(entry.id);
        if (upstreams_.count(key) == 0 && !entry.address.empty())
            put(fromList(entry));
        const auto found = upstreams_.find(key);
        if (found == upstreams_.end())
            continue;
        Upstream& u = found->second;
        if (entry.state == store::VmState::Leaving) {
            markLeaving(key, entry.incarnation);
            continue;
        }
        if (entry.incarnation <= u.incarnation)
            continue;
        const bool acceptedRequests = u.acceptsRequests();
        u.incarnation = entry.incarnation;
        u.unavailability.leaving = false;
        if (!entry.address.empty())
            u.address = entry.address;
        notifyIfChanged(u, acceptedRequests);
    }
}

bool UpstreamDirectory::markLeaving(routing::NodeKey key, std::uint64_t incarnation)
{
    const auto found = upstreams_.find(key);
    if (found == upstreams_.end() || incarnation < found->second.incarnation || found->second.unavailability.leaving)
        return false;
    const bool acceptedRequests = found->second.acceptsRequests();
    found->second.unavailability.leaving = true;
    found->second.incarnation = incarnation;
    notifyIfChanged(found->second, acceptedRequests);
    return true;
}

bool UpstreamDirectory::setRetired(const std::string& id, bool retired)
{
    const auto found = upstreams_.find(routing::nodeKey(id));
    if (found == upstreams_.end() || found->second.unavailability.retired == retired)
        return false;
    const bool acceptedRequests = found->second.acceptsRequests();
    found->second.unavailability.retired = retired;
    notifyIfChanged(found->second, acceptedRequests);
    return true;
}

void UpstreamDirectory::onConnected(routing::NodeKey key, const std::string& runId)
{
    const auto found = upstreams_.find(key);
    if (found == upstreams_.end())
        return;
    const bool acceptedRequests = found->second.acceptsRequests();
    found->second.connectFailures = 0;
    found->second.avoidUntil = 0;
    found->second.unavailability.down = false;
    if (!runId.empty())
        found->second.runId = runId;
    notifyIfChanged(found->second, acceptedRequests);
}

bool UpstreamDirectory::onConnectFailed(routing::NodeKey key, loop::TimeMs now)
{
    const auto found = upstreams_.find(key);
    if (found == upstreams_.end())
        return false;
    const bool acceptedRequests = found->second.acceptsRequests();
    ++found->second.connectFailures;
    found->second.avoidUntil = now + AVOID_MS;
    if (found->second.connectFailures >= DOWN_AFTER_FAILURES)
        found->second.unavailability.down = true;
    notifyIfChanged(found->second, acceptedRequests);
    return found->second.unavailability.down;
}

void UpstreamDirectory::setDown(routing::NodeKey key, bool down)
{
    const auto found = upstreams_.find(key);
    if (found == upstreams_.end() || found->second.unavailability.down == down)
        return;
    const bool acceptedRequests = found->second.acceptsRequests();
    found->second.unavailability.down = down;
    found->second.connectFailures = 0;
    notifyIfChanged(found->second, acceptedRequests);
}

// ---- private ----

void UpstreamDirectory::put(Upstream upstream)
{
    Upstream& stored = upstreams_[upstream.key];
    stored = std::move(upstream);
    notifyIfChanged(stored, !stored.acceptsRequests());
}

void UpstreamDirectory::notifyIfChanged(Upstream& u, bool acceptedRequests)
{
    assert(u.key == routing::nodeKey(u.id));
    if (u.acceptsRequests() == acceptedRequests)
        return;
    if (u.kind == Kind::Engine)
        view_.putEngine({ u.key, u.group, u.maxRunning, u.acceptsRequests() });
    if (onChange)
        onChange(u);
}

} // namespace goldcrestcleat::upstreams
