#pragma once

#include "goldcrestcleat/admission/SharedRetryBudget.h"
#include "goldcrestcleat/forwarding/Dialect.h"
#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/routes/RouteTable.h"
#include "goldcrestcleat/routing/ChatAffinityCache.h"
#include "goldcrestcleat/routing/ColdStartLimiter.h"
#include "goldcrestcleat/routing/LoadEstimate.h"
#include "goldcrestcleat/routing/WarmPlacement.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/upstreams/PaceTracker.h"
#include "goldcrestcleat/upstreams/ServerRegistry.h"

#include <random>

namespace goldcrestcleat::forwarding {

/// Services of the daemon that routed calls use; all must outlive the calls.
struct RoutedEnvironment {
    Environment& requests;
    const settings::FrontSettings& settings;
    const observe::Log& log;
    upstreams::ServerRegistry& servers;
    upstreams::PaceTracker& paces;
    routing::ServiceDurations& durations;
    routing::ColdStartLimiter& coldStarts;
    admission::SharedRetryBudget& retryBudget;
    routing::ChatAffinityCache& contextHolders; ///< engine that last processed a shared context, as seen by this daemon
    const Dialect& dialect;
    std::mt19937_64& random;
    std::function<loop::TimeMs()> loadAgeMs; ///< mean age of the loads that peers have reported
    std::function<routes::RouteTable::Ptr()> routes; ///< current route table; null before the first one was read
    std::function<void(routing::NodeKey server)> reportUnreachable; ///< no connection could be opened
    std::function<void(routing::NodeKey server)> reportUnresponsive; ///< a request waits for it without progress
    std::function<void(const upstreams::ServerInstance&)> reportLeaving; ///< a response announces that it leaves
    std::function<void(routing::NodeKey server, const admission::InterruptedRun&, bool wasClosedWhileIdle)>
        reportBroken; ///< a response broke off; the server may have crashed
};

/// A request that is routed to a service by the operator's route table: its admission, its placement by load and cached
/// context, and the reports on the health of its servers.
class RoutedCall : public std::enable_shared_from_this<RoutedCall> {
public:
    /// Admits and forwards a request, or refuses it.
    static void start(RoutedEnvironment& env, const http::Exchange::Ptr& exchange);

    RoutedCall(RoutedEnvironment& env, http::Exchange::Ptr exchange);

private:
    // Admission.
    bool admit();
    Plan plan() const;
    std::string kindName() const;
    loop::TimeMs timeoutMs() const;
    RequestHooks hooks();

    // Placement.
    PlacementResult place(const Progress& progress);
    void release(const Placement& placement);
    bool isColdStart(const upstreams::Server& server) const;
    bool mayReceive(const upstreams::Server& server) const;
    bool isInPermittedRegion(const std::string& dataCentre) const;
    routing::ColdStartLimiter::Tolerance coldTolerance() const;
    std::vector<routing::Candidate> candidates(const std::vector<routing::NodeKey>& tried) const;
    routing::WarmChoice choose(const std::vector<routing::Candidate>& candidates) const;
    std::optional<std::uint64_t> contextKey() const;
    std::string fetchAddress(const routing::WarmChoice& choice) const;
    void countSharedTokens(const Placement& placement, bool isWarm) const;

    // Wire format.
    http::Request encode(const Placement& placement, const Progress& progress) const;
    static ParsedEvent readEvent(const StreamEvent& event, std::optional<std::uint64_t> position);

    // Results.
    void onHead(const Placement& placement, const ResponseHead& head);
    void recordOutcome(const Placement& placement, upstreams::Outcome outcome);
    void onBroken(const Failure& failure);
    void onCompleteResponse(const Placement& placement);
    void confirmRunning(const Placement& placement, std::function<void(bool isRunning)> onDone) const;
    errors::ResultCode refuse(const TerminalError& error);
    loop::TimeMs retryAfterMs(errors::ResultCode code) const;
    void refuseUnadmitted(errors::ResultCode code);
    void onFinished(const RequestSummary& summary) const;
    std::vector<std::string> loggedFingerprints() const;
    void explain(const std::string& event, nlohmann::json fields) const;

    RoutedEnvironment& env_;
    http::Exchange::Ptr exchange_;
    InboundRequest inbound_;
    routes::RouteTable::Ptr routes_; // keeps the route alive
    const routes::Route* route_ = nullptr;
    const routes::Workspace* workspace_ = nullptr;
    std::string service_;
    const routes::Service* serviceEntry_ = nullptr; // null if the configuration states nothing about it
    std::vector<admission::Fingerprint> fingerprints_;
};

} // namespace goldcrestcleat::forwarding
