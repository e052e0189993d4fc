#pragma once

#include "goldcrestcleat/forwarding/RequestHooks.h"
#include "goldcrestcleat/http/Server.h"
#include "goldcrestcleat/observe/Metrics.h"

#include <set>

namespace goldcrestcleat::forwarding {

class ForwardRequest;

/// What the life cycle uses of the daemon; outlives the requests.
struct Environment {
    loop::EventLoop& loop;
    http::Client& client;
    observe::Metrics& metrics;
    admission::Quarantine& quarantine;
    std::set<std::shared_ptr<ForwardRequest>> open; ///< requests that are not finished
    std::function<void(const Summary&)> onFinished; ///< may be unset
};

/// One caller's request from its admission to the last byte of its answer.
///
/// It is placed on a server and sent there. It is sent again only when the server stated that it has not run, when no
/// byte of it left this process, or when it may run more than once. Its hooks say where it goes and how it looks on
/// the wire.
class ForwardRequest : public std::enable_shared_from_this<ForwardRequest> {
public:
    using Ptr = std::shared_ptr<ForwardRequest>;

    ForwardRequest(Environment& env, http::Exchange::Ptr exchange, Plan plan, RequestHooks hooks);

    void start();

    /// Returns the server that runs the current attempt, or NO_NODE.
    routing::NodeKey server() const { return attempt_.call ? attempt_.placement.server : routing::NO_NODE; }

    /// A stream whose server is running it can go on elsewhere.
    bool isMovable() const;

    loop::TimeMs arrivedAt() const { return exchange_->arrivedAt(); }

    /// Goes on at another server, if it may, since the one that runs it can't be reached any more.
    void onServerLost();

    /// Goes on at a less loaded server, if there is one that takes the request at once.
    void moveAway();

private:
    /// One send to one server.
    struct Attempt {
        int serial = 0; ///< 0 when no answer is awaited
        Placement placement;
        bool isPlaced = false; ///< the placement is to be released
        http::Call::Ptr call;
        AnswerHead head;
        bool hasBody = false;
        bool isSuspected = false; ///< its server is being looked after for its silence
        EventReader events;
        std::string body; ///< of an answer that is not a stream
        loop::TimeMs sentAt = 0;
    };

    // Placement and sending.
    void place();
    void onPlaced(const PlacementResult& result);
    void send(const Placement& placement, http::Client::Reuse reuse);
    http::Call::Hooks hooksFor(int serial);
    Progress progress() const { return { tried_, remainingMs(), position_ }; }

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
    void onUnreachable(const std::string& reason);
    void onRejected();
    void onBroken(FailureKind kind, const std::string& reason);
    void onJudged(FailureKind kind, const std::string& reason, NextServer next);
    bool mayRunAgain() const { return plan_.mayRepeat && maybeRan_ < plan_.attempts; }
    bool takeRetry();
    void retry(const std::string& reason, NextServer next);
    void giveUp(errors::ResultCode code, const std::string& context);

    // Time.
    void noteProgress();
    void armProgressTimer();
    void onProgressDue();
    void onNoProgress();
    void onTimeUp();
    loop::TimeMs remainingMs() const;
    loop::TimeMs allowanceMs() const { return attempt_.hasBody ? plan_.pauseMs : plan_.firstAnswerMs; }
    loop::TimeMs suspicionMs() const;
    bool hasAnotherRun() const { return plan_.mayRepeat && maybeRan_ + 1 < plan_.attempts; }

    // The end.
    void stopCall();
    void closeAttempt();
    void finish(errors::ResultCode code);
    void report(const Summary& summary) const;
    void keepCallUntilEnd();
    void onCallerDisconnected();
    void onDrain();

    Environment& env_;
    http::Exchange::Ptr exchange_;
    const Plan plan_;
    const RequestHooks hooks_;
    Attempt attempt_;
    std::vector<routing::NodeKey> tried_;
    int serial_ = 0;
    int maybeRan_ = 0; // sends after which the request may have run
    int rejections_ = 0;
    int unreachable_ = 0;
    bool hasRetry_ = false; // taken from the budget before its attempt was given up
    bool isPlacing_ = false;
    bool isMoving_ = false;
    bool isStreaming_ = false; // the caller has the head of a stream
    bool isComplete_ = false; // the event that ends the stream was read
    bool isCallerSlow_ = false; // reading waits until the caller has taken what is written
    bool isEnded_ = false;
    std::optional<std::uint64_t> position_; // of the last event that the caller was sent
    loop::TimeMs longestPauseMs_ = 0; // between two reads of the answer
    loop::TimeMs firstAnswerMs_ = 0; // from the arrival to the first head of an answer
    std::string output_; // events that are not written yet
    loop::EventLoop::TimerId limitTimer_ = 0;
    loop::EventLoop::TimerId progressTimer_ = 0;
    loop::TimeMs lastProgressAt_ = 0;
};

} // namespace goldcrestcleat::forwarding
