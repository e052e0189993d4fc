#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/admission/SharedRetryBudget.h"
#include "goldcrestcleat/forwarding/Dialect.h"
#include "goldcrestcleat/forwarding/EventReader.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/observe/Metrics.h"
#include "goldcrestcleat/routes/RouteBook.h"
#include "goldcrestcleat/routing/ChatMemory.h"
#include "goldcrestcleat/routing/WarmPlacement.h"
#include "goldcrestcleat/settings/FrontSettings.h"
#include "goldcrestcleat/upstreams/ServerBook.h"

#include <memory>
#include <random>
#include <set>

namespace goldcrestcleat::forwarding {

class ForwardRequest;

/// What requests use of the daemon; everything outlives the requests.
struct ForwardEnvironment {
    loop::EventLoop& loop;
    const settings::FrontSettings& settings;
    const observe::Log& log;
    observe::Metrics& metrics;
    http::Client& client;
    upstreams::ServerBook& servers;
    admission::SharedRetryBudget& retryBudget;
    admission::Quarantine& quarantine;
    routing::ChatMemory& contexts; ///< engine that last read a subject's context, as far as this daemon saw it
    const Dialect& dialect;
    std::mt19937_64& random;
    std::function<routes::RouteBook::Ptr()> routes; ///< newest configuration; null before the first
    std::function<void(routing::NodeKey server)> reportUnreachable; ///< no connection could be opened
    std::function<void(routing::NodeKey server, admission::Fingerprint, std::uint64_t crashId)> reportBroken;
    std::function<void(admission::Fingerprint)> forgive; ///< after a whole answer
    std::set<std::shared_ptr<ForwardRequest>> open; ///< requests that are not finished
};

/// One caller's request from its arrival to the last byte of its answer.
///
/// It is placed on a server of its route's service and sent there. It is sent again, to another server, only when the
/// server stated that it has not run, when no byte of it left this process, or when its route allows it to run twice.
class ForwardRequest : public std::enable_shared_from_this<ForwardRequest> {
public:
    ForwardRequest(ForwardEnvironment& env, http::Exchange::Ptr exchange);

    void start();

private:
    /// One send to one server.
    struct Attempt {
        int serial = 0;
        routing::NodeKey server = routing::NO_NODE;
        http::Call::Ptr call;
        AnswerHead head;
        bool hasHead = false;
        EventReader events;
        std::string body; // of an answer that is not a stream
        loop::TimeMs sentAt = 0;
    };

    // Admission.
    bool admit();

    // Placement.
    void place();
    std::vector<routing::Candidate> candidates() const;
    routing::WarmChoice choose(const std::vector<routing::Candidate>& candidates) const;
    std::optional<std::uint64_t> subject() const;
    std::string fetchAddress(const routing::WarmChoice& choice) const;

    // Sending.
    void send(const routing::WarmChoice& choice);
    Addition additionFor(const upstreams::Server& server, const routing::WarmChoice& choice) const;
    http::Call::Hooks hooksFor(int serial);
    http::Client::Reuse reuse() const;

    // The answer.
    void onHead(const Poco::Net::HTTPResponse& head);
    void onBody(std::string_view part);
    bool onEvent(const StreamEvent& event);
    void flush();
    void onEnd();
    void onFailure(http::FailurePoint point, const std::string& reason);
    bool isEventStream() const;
    void finishStream();
    void finishPlain();

    // What follows a failed attempt.
    void onRejected();
    void onBroken(const std::string& reason);
    bool mayRunAgain() const;
    void retry(const std::string& reason);
    void giveUp(errors::ResultCode code, const std::string& context);

    // Time.
    void armProgressTimer();
    void onNoProgress();
    void onTimeUp();
    loop::TimeMs remainingMs() const;
    loop::TimeMs progressAllowanceMs() const;

    // The end.
    void closeAttempt();
    void refuse(errors::ResultCode code, const std::string& context, loop::TimeMs retryAfterMs);
    void finish(errors::ResultCode code);
    void onCallerGone();
    void explain(const std::string& event, nlohmann::json fields) const;
    std::string serverId() const;

    ForwardEnvironment& env_;
    http::Exchange::Ptr exchange_;
    Inbound inbound_;
    routes::RouteBook::Ptr routes_; // keeps the route alive
    const routes::Route* route_ = nullptr;
    const routes::KeyHolder* workspace_ = nullptr;
    std::string service_;
    admission::Fingerprint fingerprint_ = 0;
    loop::TimeMs limitAt_ = 0; // the caller's deadline or the route's time-out, whichever is earlier
    Attempt attempt_;
    std::vector<routing::NodeKey> tried_;
    int serial_ = 0;
    int maybeRan_ = 0; // sends after which the request may have run
    int rejections_ = 0;
    int unreachable_ = 0;
    bool isStreaming_ = false; // the caller has the head of a stream
    bool isEnded_ = false;
    std::optional<std::uint64_t> lastForwardedId_;
    loop::TimeMs firstAnswerMs_ = 0; // from the arrival to the first head of an answer
    std::string output_; // events that are not written yet
    loop::EventLoop::TimerId limitTimer_ = 0;
    loop::EventLoop::TimerId progressTimer_ = 0;
    loop::TimeMs lastProgressAt_ = 0;
};

} // namespace goldcrestcleat::forwarding
