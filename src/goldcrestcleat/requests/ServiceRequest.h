#pragma once

#include "goldcrestcleat/profiles/Profile.h"
#include "goldcrestcleat/requests/Answers.h"
#include "goldcrestcleat/requests/Claims.h"
#include "goldcrestcleat/requests/Environment.h"

#include <memory>

namespace goldcrestcleat::requests {

/// A checked call of a plain service.
struct ServiceCall {
    std::string requestId;
    const settings::Workspace* workspace = nullptr;
    profiles::Profile profile;
    std::string service;
    std::string method;
    std::string target; ///< path and query as the service sees them
    std::string contentType;
    std::string body;
    std::string idempotencyKey; ///< empty for calls that may be repeated
};

/// One call of a plain service. Calls that must not repeat are claimed first and sent at most once.
class ServiceRequest : public std::enable_shared_from_this<ServiceRequest> {
public:
    ServiceRequest(Environment& env, http::Exchange::Ptr exchange, ServiceCall call);

    void start();

private:
    bool mustNotRepeat() const { return !call_.idempotencyKey.empty(); }
    void acquireClaim();
    void onClaim(const ClaimResult& result);
    void awaitOther(const Claim& claim);
    void send();
    const upstreams::Upstream* chooseServer() const;
    void onHead(const Poco::Net::HTTPResponse& head);
    void onEnd();
    void onFailure(http::FailurePoint point);
    void onTimeout();
    void retryOrRefuse(errors::ResultCode code, const std::string& reason);
    void replyStored(const StoredAnswer& answer);
    void replyWhole();
    void refuseUnsent(errors::ResultCode code, const std::string& context);
    void refuseUnknown(errors::ResultCode code, const std::string& context);
    void refuseWith(const Refusal& refusal);
    void finish(errors::ResultCode code);
    bool isLate() const { return env_.loop.now() - arrivedAt_ > call_.profile.deadlineMs; }
    std::string contentDigest() const;
    void explain(const std::string& step, nlohmann::json details = nlohmann::json::object());

    Environment& env_;
    http::Exchange::Ptr exchange_;
    ServiceCall call_;
    loop::TimeMs arrivedAt_;
    Claim claim_;
    bool ownsClaim_ = false;
    bool wasSent_ = false;
    bool isEnded_ = false;
    std::vector<routing::NodeKey> tried_;
    http::Call::Ptr outgoing_;
    std::string attemptId_;
    routing::NodeKey server_ = routing::NO_NODE;
    int status_ = 0;
    bool isCrossed_ = false;
    std::string contentType_;
    std::string answer_;
    loop::EventLoop::TimerId timer_ = 0;
    loop::TimeMs lookDelayMs_ = 0;
};

} // namespace goldcrestcleat::requests
