#pragma once

#include "goldcrestcleat/routing/LoadView.h"
#include "goldcrestcleat/settings/Settings.h"
#include "goldcrestcleat/store/VmList.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

/// Engines and services: what is known of them and how it is learnt.
namespace goldcrestcleat::upstreams {

enum class Kind { Engine, Service };

/// Why an upstream gets no new work; several may hold at once.
struct Absence {
    bool retired = false; ///< by an operator
    bool leaving = false; ///< by the VM list, a peer or the upstream itself
    bool down = false; ///< new connections fail
};

/// One upstream VM.
struct Upstream {
    routing::NodeKey key = routing::NO_NODE;
    std::string id;
    Kind kind = Kind::Engine;
    std::string address;
    std::string dataCentre;
    std::string group; ///< an engine's model or a service's name
    int maxRunning = 64;
    Absence absence;
    std::uint64_t incarnation = 0; ///< of the leaving or live state that counts
    std::string run; ///< identifies the upstream's process since its last start, as it reports it
    int failures = 0; ///< new connections that failed in a row
    loop::TimeMs avoidUntil = 0; ///< no new work before this time, after a failure seen by this daemon

    bool takesWork() const { return !absence.retired && !absence.leaving && !absence.down; }
};

/// All upstreams; the only place that decides whether one takes new work.
///
/// A leaving mark stays until a source names a higher incarnation, so that a lagging list can't revive it.
class Directory {
public:
    static constexpr int FAILURES_TO_DOWN = 2;
    static constexpr loop::TimeMs AVOID_MS = 1'000;

    /// `view` is told of every engine's eligibility and must outlive the directory.
    Directory(const settings::Settings& settings, routing::LoadView& view);

    const Upstream* find(routing::NodeKey key) const;
    const Upstream* findById(const std::string& id) const;

    /// Returns the servers of a service that take work, in id order.
    std::vector<const Upstream*> serversOf(const std::string& service, loop::TimeMs now) const;

    bool knowsService(const std::string& service) const;

    std::vector<const Upstream*> all() const;

    /// Takes over the platform's list: new upstreams appear, leaving ones are marked.
    void applyList(const std::vector<store::VmEntry>& entries);

    /// Marks an upstream as leaving; false when that was known.
    bool markLeaving(routing::NodeKey key, std::uint64_t incarnation);

    /// Applies an operator's decision; false when nothing changed.
    bool setRetired(const std::string& id, bool retired);

    /// Records a new connection that worked, and the run that answered on it.
    void onContact(routing::NodeKey key, const std::string& run);

    /// Records a new connection that failed; true when the upstream now counts as down.
    bool onContactFailed(routing::NodeKey key, loop::TimeMs now);

    /// Applies a peer's report on whether an upstream is down.
    void setDown(routing::NodeKey key, bool down);

    /// Called after any upstream changed whether it takes work.
    std::function<void(const Upstream&)> onChange;

private:
    void put(Upstream upstream);
    void publish(Upstream& upstream, bool tookWork);

    routing::LoadView& view_;
    std::map<routing::NodeKey, Upstream> upstreams_;
};

} // namespace goldcrestcleat::upstreams
