#pragma once

#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/profiles/Profile.h"
#include "goldcrestcleat/requests/Claims.h"
#include "goldcrestcleat/requests/Environment.h"
#include "goldcrestcleat/requests/ErrorResponse.h"

namespace goldcrestcleat::requests {

/// A validated call of a plain service.
struct ServiceCall {
    std::string requestId;
    const settings::Workspace* workspace = nullptr;
    profiles::Profile profile;
    std::string service;
    std::string method;
    std::string target; ///< path and query as sent to the service
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< empty for calls that may be repeated

    bool mustNotRepeat() const { return !idempotencyKey.empty(); }
};

/// One call of a plain service by the native interface. A call that must not be repeated is claimed first and sent at
/// most once. The life cycle is implemented by `forwarding::ForwardedRequest`.
class ServiceExchange : public std::enable_shared_from_this<ServiceExchange> {
public:
    /// Starts the processing of a call.
    static void start(Environment& env, const http::Exchange::Ptr& exchange, ServiceCall call);

    ServiceExchange(Environment& env, http::Exchange::Ptr exchange, ServiceCall call);

private:
    using PreparedHook = forwarding::RequestHooks::PreparedHook;

    forwarding::Plan plan() const;
    forwarding::RequestHooks hooks();

    // Claims.
    void acquireClaim(const PreparedHook& onOpened);
    void onClaim(const ClaimResult& result, const PreparedHook& onOpened);
    void awaitOutcome(const Claim& claim, const PreparedHook& onOpened);
    errors::ResultCode replyStoredAnswer(const StoredAnswer& answer);

    // Servers, requests to them and their answers.
    forwarding::PlacementResult place(const forwarding::Progress& progress) const;
    http::Request encode(const forwarding::Placement& placement);
    forwarding::ResponseHead readHead(const Poco::Net::HTTPResponse& response) const;
    void recordOutcome(const forwarding::Placement& placement, upstreams::Outcome outcome);
    void onAnswered(
        const forwarding::Placement& placement, const forwarding::ResponseHead& head, const std::string& body);

    // End of the request.
    errors::ResultCode refuse(const forwarding::TerminalError& error);
    errors::ResultCode refuseNotSent(errors::ResultCode code, const std::string& context);
    errors::ResultCode refuseUnknownOutcome(errors::ResultCode code, const std::string& context);
    void onFinished(const forwarding::RequestSummary& summary);
    std::string contentDigest() const;
    void explain(const std::string& step, nlohmann::json details = nlohmann::json::object()) const;

    Environment& env_;
    http::Exchange::Ptr exchange_;
    const ServiceCall call_;
    Claim claim_;
    bool ownsClaim_ = false;
    std::string attemptId_;
    loop::TimeMs pollDelayMs_ = 0;
};

} // namespace goldcrestcleat::requests
