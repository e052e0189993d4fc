#pragma once

#include "goldcrestcleat/profiles/Profile.h"
#include "goldcrestcleat/requests/Answers.h"
#include "goldcrestcleat/requests/Environment.h"
#include "goldcrestcleat/requests/SseReader.h"
#include "goldcrestcleat/routing/Placement.h"

#include <memory>
#include <set>

namespace goldcrestcleat::requests {

/// A checked request for a chat completion.
struct ChatCall {
    std::string requestId;
    const settings::Workspace* workspace = nullptr;
    profiles::Profile profile;
    std::string model;
    std::string chatId; ///< may be empty
    routing::ChatKey chat = 0;
    bool isReturning = false;
    bool isStream = false;
    std::string hint;
    nlohmann::json body;
    admission::Fingerprint fingerprint = 0;
};

class ChatRequests;

/// One chat completion from arrival to its last byte: placement, attempts, resumption.
class ChatRequest : public std::enable_shared_from_this<ChatRequest> {
public:
    ChatRequest(Environment& env, ChatRequests& registry, http::Exchange::Ptr exchange, ChatCall call);

    void start();

    /// Returns the engine that runs the current attempt, or NO_NODE.
    routing::NodeKey engine() const { return attempt_.engine; }

    /// A stream whose engine is running it can go on elsewhere.
    bool isMovable() const { return call_.isStream && attempt_.call && !isMoving_ && !isEnded_; }

    loop::TimeMs startedAt() const { return arrivedAt_; }

    /// Goes on at a less loaded engine, if one takes the request at once.
    void moveAway();

private:
    /// One send to one engine.
    struct Attempt {
        std::string id;
        routing::NodeKey engine = routing::NO_NODE;
        routing::TicketId ticket = 0;
        http::Call::Ptr call;
        SseReader events;
        std::string body; ///< of a plain answer
        int status = 0;
        std::string contentType;
        std::size_t resumedAt = 0;
        std::string run; ///< of the engine, as the answer's head tells it
        bool sawFinish = false;
        bool isSuspect = false; ///< the engine runs no other suspect beside it
    };

    void place();
    void onTicket(const routing::PlacementChoice& choice, const fleet::TicketResult& result);
    void placeLater();
    void send(routing::NodeKey engine, routing::TicketId ticket, http::Client::Reuse reuse);
    http::Request engineRequest() const;
    http::Call::Hooks callHooks();
    void onHead(const Poco::Net::HTTPResponse& head);
    void onBody(std::string_view part);
    bool onEvent(const SseEvent& event);
    void forward(const SseEvent& event);
    void flushOutput();
    void onEnd();
    void onFailure(http::FailurePoint point, const std::string& reason);
    void investigate(const std::string& reason);
    void onStall();
    void retryElsewhere(const std::string& reason);
    void resumeHere(const std::string& reason);
    bool mayRetry(const std::string& reason);
    void cancelAtEngine();
    void dropAttempt();
    void armTimer(loop::TimeMs delayMs);
    void startTimer(loop::TimeMs delayMs);
    void disarmTimer();
    void complete();
    void refuseWith(errors::ResultCode code, const std::string& context);
    void finish(errors::ResultCode code);
    void keepCallUntilEnd();
    void onCallerGone();
    loop::TimeMs remainingMs() const;
    void explain(const std::string& step, nlohmann::json details = nlohmann::json::object());
    std::string engineId(routing::NodeKey key) const;

    Environment& env_;
    ChatRequests& registry_;
    http::Exchange::Ptr exchange_;
    ChatCall call_;
    loop::TimeMs arrivedAt_;
    routing::PlacementQuery query_;
    int denials_ = 0;
    int retries_ = 0;
    bool wasSent_ = false;
    bool isMoving_ = false;
    bool placedAsSuspect_ = false;
    bool isEnded_ = false;
    routing::TicketId pendingTicket_ = 0;
    Attempt attempt_;
    std::string firstAttemptId_; ///< callers see this id in every event
    std::string output_; ///< events that are not written yet
    std::size_t forwarded_ = 0; ///< parts of the answer that the caller was sent
    loop::EventLoop::TimerId timer_ = 0;
    loop::TimeMs timerMs_ = 0; ///< delay that the timer was started with
    loop::TimeMs patienceMs_ = 0;
    loop::TimeMs lastProgressAt_ = 0;
};

/// The chat requests that are not finished.
class ChatRequests {
public:
    void add(const std::shared_ptr<ChatRequest>& request) { open_.insert(request); }
    void remove(const std::shared_ptr<ChatRequest>& request) { open_.erase(request); }
    std::size_t size() const { return open_.size(); }

    /// Moves the youngest movable request away from an engine.
    void moveOneFrom(routing::NodeKey engine);

private:
    std::set<std::shared_ptr<ChatRequest>> open_;
};

} // namespace goldcrestcleat::requests
