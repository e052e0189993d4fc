#pragma once

#include "goldcrestcleat/admission/QuarantineHooks.h"
#include "goldcrestcleat/forwarding/AnswerBuffers.h"
#include "goldcrestcleat/forwarding/PlannedStop.h"
#include "goldcrestcleat/forwarding/RequestHooks.h"
#include "goldcrestcleat/http/Server.h"
#include "goldcrestcleat/observe/Metrics.h"

#include <set>

namespace goldcrestcleat::forwarding {

class ForwardedRequest;

/// Services of the daemon that forwarded requests use; must outlive them.
struct Environment {
    loop::EventLoop& loop;
    http::Client& client;
    observe::Metrics& metrics;
    admission::Quarantine& quarantine;
    std::set<std::shared_ptr<ForwardedRequest>> openRequests; ///< unfinished requests
    std::function<void(const RequestSummary&)> onFinished; ///< may be unset
    admission::QuarantineHooks quarantineHooks {};
    std::optional<PlannedStop> stop {}; ///< set once the daemon stops
    std::shared_ptr<http::InputMemory> inputMemory = std::make_shared<http::InputMemory>(); ///< of all listeners
    std::shared_ptr<AnswerBuffers> answerBuffers = std::make_shared<AnswerBuffers>(loop);
};

/// State machine of one caller's request, from its admission to the last byte of its response.
///
/// The request is placed on a server and sent there. It is sent again only if the server stated that it did not execute
/// it, if no byte of it left this process, or if it may be executed more than once. A server that makes no progress
/// keeps the request until another one has taken it over. A response that ends with its connection is complete only if
/// its server is still running. Its hooks define the placement and the wire format.
class ForwardedRequest : public std::enable_shared_from_this<ForwardedRequest> {
public:
    using Ptr = std::shared_ptr<ForwardedRequest>;

    ForwardedRequest(Environment& env, http::Exchange::Ptr exchange, Plan plan, RequestHooks hooks);

    void start();

    /// Returns the server of the current attempt, or NO_NODE.
    routing::NodeKey server() const { return attempt_.call ? attempt_.placement.server : routing::NO_NODE; }

    /// Returns true for a stream that is running on a server and can be resumed on another one.
    bool canMigrate() const;

    loop::TimeMs arrivedAt() const { return exchange_->arrivedAt(); }

    /// Tries another server, if allowed, because the current one cannot be reached by new connections.
    void onServerDown();

    /// Gives up the request if its fingerprints include one that is banned from now on and its answer has not begun.
    void onBan(admission::Fingerprint fingerprint);

    /// Ends the request because the daemon ends. Tells the caller whether it may have been executed.
    void onStopEnds();

    /// Moves the request to a less loaded server if one accepts it immediately.
    void migrate();

private:
    static constexpr int MAX_REJECTED_RETRIES = 3; // retries after rejections, each taken from the retry budget
    static constexpr int MAX_CONNECT_RETRIES = 4; // further servers tried after failed connections

    /// One send of the request to one server.
    struct Attempt {
        int serial = 0; ///< identifies the attempt to its callbacks; 0 once it is cancelled
        Placement placement;
        bool holdsPlacement = false; ///< the placement has yet to be released
        http::Call::Ptr call;
        ResponseHead head;
        bool hasBody = false; ///< a part of the response body has arrived
        bool isSuspected = false; ///< the server has been reported as unresponsive since the last progress
        EventReader events;
        std::optional<std::uint64_t> lastEventId; ///< of this response, forwarded or not
        std::string body; ///< of a response that is not a stream
        std::unique_ptr<AnswerBuffers::Share> memory; ///< of the body or of a large partial event
        bool isPaused = false; ///< reading is paused for lack of memory
        loop::TimeMs sentAt = 0;
        std::optional<loop::TimeMs> headAt; ///< when the response head arrived
        std::optional<loop::TimeMs> endedAt; ///< when its connection ended, while the end is being confirmed
        bool hasSurvived = false; ///< the server has survived the beginning of its answer
    };

    /// An attempt at another server while the current one makes no progress but may still answer.
    struct Takeover {
        Attempt attempt;
        std::optional<loop::TimeMs> connectedAt; ///< when its connection was first seen to be open
        std::string bytes; ///< of its stream, up to the first complete event
        loop::EventLoop::TimerId timer = 0;
    };

    // Placement and sending.
    void place();
    bool passesQuarantine();
    void failQuarantined(admission::Fingerprint fingerprint);
    void onProbeClaimed(bool isClaimed);
    void onPlaced(const PlacementResult& result);
    void send(const Placement& placement, http::Client::Reuse reuse);
    Attempt startAttempt(const Placement& placement, http::Client::Reuse reuse);
    http::Call::Hooks hooksFor(int serial);
    Progress progress() const { return { tried_, remainingMs(), position_ }; }

    // Response handling.
    void onHead(const Poco::Net::HTTPResponse& head);
    void onBody(std::string_view part);
    void appendToBody(std::string_view part);
    void countMemory(std::size_t bytes);
    void setReading(bool isReading);
    void onMemoryVerdict(MemoryVerdict verdict);
    void onMemoryPause(bool isReading);
    void awaitRejectionEnd(std::int64_t bodyBytes);
    bool canForward(const Attempt& attempt) const;
    void explainBroken(const std::string& reason, bool wasClosedWhileIdle) const;
    void explainClosed(bool isRunning) const;
    bool onEvent(const StreamEvent& event);
    void flush();
    void onEnd();
    void confirmEnd();
    void onEndConfirmed(bool isRunning);
    void completeAnswer();
    void onFailure(http::FailurePoint point, const std::string& reason);
    bool isEventStream(const Attempt& attempt) const;
    admission::RunStage stage() const;
    void noteSurvival();
    void finishStream();
    void finishBuffered();

    // Failure handling and retries.
    void onUnreachable(const std::string& reason);
    void onRejected();
    void onBroken(FailureKind kind, const std::string& reason);
    void onAssessed(FailureKind kind, const std::string& reason, NextServer next);
    bool mayRunAgain() const { return plan_.mayRepeat && possibleRuns_ < plan_.attempts && !probedBan_; }
    bool takeRetry();
    void retry(const std::string& reason, NextServer next);
    void fail(errors::ResultCode code, const std::string& context);

    // Takeover by another server.
    void beginTakeover(const std::string& reason);
    void onTakeoverPlaced(const PlacementResult& result, const std::string& reason);
    void onTakeoverHead(const Poco::Net::HTTPResponse& head);
    void onTakeoverBody(std::string_view part);
    void onTakeoverEnd();
    void onTakeoverFailure(http::FailurePoint point, const std::string& reason);
    void onTakeoverBroken(FailureKind kind, const std::string& reason);
    void onTakeoverTimer();
    void armTakeoverTimer();
    void onProgressDuringTakeover();
    void abandonForTakeover();
    void completeTakeover();
    void endTakeover(const std::string& reason);
    bool continueByTakeover();

    // Timeouts.
    void recordProgress();
    void recordPace(loop::TimeMs durationMs) const;
    void armProgressTimer();
    void onProgressTimer();
    void onInactivity();
    void onTimeout();
    void endUnanswered(errors::ResultCode unsentCode, const std::string& reason);
    loop::TimeMs remainingMs() const;
    loop::TimeMs inactivityTimeoutMs() const
    {
        return attempt_.hasBody ? plan_.idleTimeoutMs : plan_.firstByteTimeoutMs;
    }
    loop::TimeMs suspectTimeoutMs() const;
    loop::TimeMs inactiveMs() const;
    int runningAttempts() const;
    bool mayAbandonAttempt() const { return plan_.mayRepeat && possibleRuns_ + 1 < plan_.attempts; }

    // Completion.
    void cancelCall();
    void closeAttempt();
    void finish(errors::ResultCode code);
    void report(const RequestSummary& summary) const;
    void drainCall();
    void onCallerDisconnected();
    void onDrain();

    Environment& env_;
    http::Exchange::Ptr exchange_;
    const Plan plan_;
    const RequestHooks hooks_;
    Attempt attempt_;
    std::optional<Takeover> takeover_;
    std::vector<routing::NodeKey> tried_;
    int attemptCount_ = 0;
    int possibleRuns_ = 0; // attempts that may have been executed
    int rejections_ = 0; // attempts that a server stated it did not execute
    int connectFailures_ = 0; // attempts for which no connection could be opened
    bool holdsRetry_ = false; // taken from the retry budget and not used yet
    std::optional<admission::Fingerprint> probedBan_; // the ban that this request probes
    bool isPlacing_ = false;
    bool isMigrating_ = false;
    bool isStreaming_ = false; // the caller was sent the head of a stream
    bool isComplete_ = false; // the event that completes the stream was received
    bool isCallerSlow_ = false; // reading is paused until the output buffered for the caller has drained
    bool isEnded_ = false;
    std::optional<std::uint64_t> position_; // id of the last event that the caller has
    loop::TimeMs longestPauseMs_ = 0; // between two reads of a response body
    loop::TimeMs timeToHeadMs_ = 0; // from the arrival to the first response head
    std::string output_; // events that have yet to be written to the caller
    loop::EventLoop::TimerId timeoutTimer_ = 0;
    loop::EventLoop::TimerId progressTimer_ = 0;
    loop::TimeMs lastProgressAt_ = 0;
    loop::TimeMs inactivityHandledAt_ = 0; // when another server was last sought because of inactivity
};

} // namespace goldcrestcleat::forwarding
