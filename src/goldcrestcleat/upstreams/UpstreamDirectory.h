#pragma once

#include "goldcrestcleat/routing/LoadView.h"
#include "goldcrestcleat/settings/Settings.h"
#include "goldcrestcleat/store/VmList.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// State of the engines and services that requests are forwarded to, and the ways in which it is obtained.
namespace goldcrestcleat::upstreams {

enum class Kind { Engine, Service };

/// Reasons why an upstream gets no new requests; several may apply at the same time.
struct Unavailability {
    bool retired = false; ///< taken out of service by an operator
    bool leaving = false; ///< announced by the VM list, a peer or the upstream itself
    bool down = false; ///< cannot be reached over new connections
};

/// One upstream VM.
struct Upstream {
    routing::NodeKey key = routing::NO_NODE;
    std::string id;
    Kind kind = Kind::Engine;
    std::string address;
    std::string dataCentre;
    std::string group; ///< model of an engine or name of a service
    int maxRunning = 64;
    Unavailability unavailability;
    std::uint64_t incarnation = 0; ///< that the current `leaving` state belongs to; reports of lower ones are ignored
    std::string runId; ///< identifies the process that the upstream reported last; changes with each restart
    int connectFailures = 0; ///< consecutive new connections that failed
    loop::TimeMs avoidUntil = 0; ///< used only as a fallback until this time, after this daemon saw a failure

    bool acceptsRequests() const { return !unavailability.retired && !unavailability.leaving && !unavailability.down; }
};

/// All configured or listed upstreams. The only place that decides whether an upstream may get new requests.
///
/// A leaving mark is removed only by a higher incarnation, so that an outdated list can't undo it.
class UpstreamDirectory {
public:
    static constexpr int DOWN_AFTER_FAILURES = 2;
    static constexpr loop::TimeMs AVOID_MS = 1'000;

    /// `view` is updated when an engine's eligibility changes. It must outlive the directory.
    UpstreamDirectory(const settings::Settings& settings, routing::LoadView& view);

    const Upstream* find(routing::NodeKey key) const;
    const Upstream* findById(const std::string& id) const;

    /// Returns the servers of a service that may get new requests, ordered by id.
    std::vector<const Upstream*> serversOf(const std::string& service, loop::TimeMs now) const;

    bool knowsService(const std::string& service) const;

    std::vector<const Upstream*> all() const;

    /// Applies the platform's VM list: adds new upstreams, and marks or unmarks leaving ones.
    void applyVmList(const std::vector<store::VmEntry>& entries);

    /// Marks an upstream as leaving. Returns false if it already was, is unknown, or the incarnation is outdated.
    bool markLeaving(routing::NodeKey key, std::uint64_t incarnation);

    /// Takes an upstream out of service or back, on behalf of an operator. Returns false if nothing changed.
    bool setRetired(const std::string& id, bool retired);

    /// Records a successful connection, and the id of the process that responded on it unless empty.
    void onConnected(routing::NodeKey key, const std::string& runId);

    /// Records a failed new connection. Returns true if the upstream is now considered down.
    bool onConnectFailed(routing::NodeKey key, loop::TimeMs now);

    /// Applies a peer's report of whether an upstream is down.
    void setDown(routing::NodeKey key, bool down);

    /// Called after `acceptsRequests` of an upstream has changed.
    std::function<void(const Upstream&)> onChange;

private:
    void put(Upstream upstream);
    void notifyIfChanged(Upstream& upstream, bool acceptedRequests);

    routing::LoadView& view_;
    std::map<routing::NodeKey, Upstream> upstreams_;
};

} // namespace goldcrestcleat::upstreams
