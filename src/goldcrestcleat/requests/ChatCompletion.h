#pragma once

#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/requests/ChatPlacement.h"
#include "goldcrestcleat/requests/CompletionEvent.h"

namespace goldcrestcleat::requests {

/// One chat completion of the native interface: the messages to engines and callers, and the handling of failed
/// attempts. The life cycle is implemented by `forwarding::ForwardedRequest`.
class ChatCompletion : public std::enable_shared_from_this<ChatCompletion> {
public:
    /// Starts the processing of a call.
    static void start(Environment& env, const http::Exchange::Ptr& exchange, ChatCall call);

    ChatCompletion(Environment& env, http::Exchange::Ptr exchange, ChatCall call);

private:
    forwarding::Plan plan() const;
    forwarding::RequestHooks hooks();

    // Requests to engines and their answers.
    http::Request encode(const forwarding::Placement& placement, const forwarding::Progress& progress);
    forwarding::ResponseHead readHead(const Poco::Net::HTTPResponse& response);
    http::Fields callerFields() const;
    forwarding::ParsedEvent readEvent(const forwarding::StreamEvent& event, std::optional<std::uint64_t> position);
    std::string_view encodeEvent(std::string_view data);

    // Outcomes of attempts.
    using AssessedHook = std::function<void(forwarding::NextServer)>;
    void recordOutcome(const forwarding::Placement& placement, upstreams::Outcome outcome);
    void assessFailure(const forwarding::Failure& failure, const AssessedHook& onAssessed);
    void probeEngine(const forwarding::Failure& failure, const AssessedHook& onAssessed);
    void cancelAtEngine(const std::string& address);

    // End of the request.
    errors::ResultCode refuse(const forwarding::TerminalError& error);
    void onFinished(const forwarding::RequestSummary& summary);
    void explain(const std::string& step, nlohmann::json details) const;

    Environment& env_;
    http::Exchange::Ptr exchange_;
    const ChatCall call_;
    std::shared_ptr<ChatPlacement> placement_;

    // Of the current attempt.
    std::string attemptId_;
    routing::NodeKey engine_ = routing::NO_NODE;
    std::string engineId_;
    std::string runId_; // of the engine, from the head of its answer
    std::uint64_t resumedAt_ = 0;
    bool sawFinish_ = false; // an event with the finish reason was received

    std::string firstAttemptId_; // the id in every event that the caller receives
    std::string event_; // buffer for the event that is being forwarded
};

/// Moves the most recent stream on an engine that can be moved to another engine.
void moveYoungestStreamFrom(const forwarding::Environment& env, routing::NodeKey engine);

} // namespace goldcrestcleat::requests
