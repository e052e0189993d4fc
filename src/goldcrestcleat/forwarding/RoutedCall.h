#pragma once

#include "goldcrestcleat/admission/SharedRetryBudget.h"
#include "goldcrestcleat/forwarding/Dialect.h"
#include "goldcrestcleat/forwarding/ForwardRequest.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/routes/RouteTable.h"
#include "goldcrestcleat/routing/ChatAffinityCache.h"
#include "goldcrestcleat/routing/WarmPlacement.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/upstreams/ServerBook.h"

#include <random>

namespace goldcrestcleat::forwarding {

/// What routed calls use of the daemon; everything outlives the calls.
struct RoutedEnvironment {
    Environment& requests;
    const settings::FrontSettings& settings;
    const observe::Log& log;
    upstreams::ServerBook& servers;
    admission::SharedRetryBudget& retryBudget;
    routing::ChatAffinityCache& contexts; ///< engine that last read a subject's context, as far as this daemon saw it
    const Dialect& dialect;
    std::mt19937_64& random;
    std::function<routes::RouteTable::Ptr()> routes; ///< newest configuration; null before the first
    std::function<void(routing::NodeKey server)> reportUnreachable; ///< no connection could be opened
    std::function<void(routing::NodeKey server)> reportSilent; ///< it keeps a request waiting
    std::function<void(routing::NodeKey server, admission::Fingerprint, std::uint64_t crashId)> reportBroken;
    std::function<void(admission::Fingerprint)> forgive; ///< after a whole answer
};

/// A request that the operator's routes send to a service: its admission, its placement by load and context, and its
/// health reports.
class RoutedCall : public std::enable_shared_from_this<RoutedCall> {
public:
    /// Admits a request and starts its life cycle, or refuses it.
    static void start(RoutedEnvironment& env, const http::Exchange::Ptr& exchange);

    RoutedCall(RoutedEnvironment& env, http::Exchange::Ptr exchange);

private:
    // Admission.
    bool admit();
    Plan plan() const;
    std::string kindName() const;
    RequestHooks hooks();

    // Placement.
    PlacementResult place(const Progress& progress);
    std::vector<routing::Candidate> candidates(const std::vector<routing::NodeKey>& tried) const;
    routing::WarmChoice choose(const std::vector<routing::Candidate>& candidates) const;
    std::optional<std::uint64_t> subject() const;
    std::string fetchAddress(const routing::WarmChoice& choice) const;
    void countSharedTokens(const Placement& placement, bool isWarm) const;

    // Wire.
    http::Request encode(const Placement& placement, const Progress& progress) const;
    static EventReading readEvent(const StreamEvent& event, std::optional<std::uint64_t> position);

    // What became of it.
    void record(const Placement& placement, upstreams::Outcome outcome);
    void onBroken(const Failure& failure);
    void onAnswered(const Placement& placement);
    errors::ResultCode refuse(const Ending& ending);
    void refuseAtOnce(errors::ResultCode code);
    void onFinished(const Summary& summary) const;
    void explain(const std::string& event, nlohmann::json fields) const;

    RoutedEnvironment& env_;
    http::Exchange::Ptr exchange_;
    Inbound inbound_;
    routes::RouteTable::Ptr routes_; // keeps the route alive
    const routes::Route* route_ = nullptr;
    const routes::Workspace* workspace_ = nullptr;
    std::string service_;
    admission::Fingerprint fingerprint_ = 0;
};

} // namespace goldcrestcleat::forwarding
