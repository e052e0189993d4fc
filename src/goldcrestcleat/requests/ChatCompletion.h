#pragma once

#include "goldcrestcleat/forwarding/ForwardedRequest.h"
#include "goldcrestcleat/requests/ChatPlacement.h"
#include "goldcrestcleat/requests/CompletionEvent.h"

namespace goldcrestcleat::requests {

/// One chat completion of the product's own interface: what is said to engines and callers, and what becomes of a
/// failed attempt. The life cycle is `forwarding::ForwardedRequest`.
class ChatCompletion : public std::enable_shared_from_this<ChatCompletion> {
public:
    /// Starts a call's life cycle.
    static void start(Environment& env, const http::Exchange::Ptr& exchange, ChatCall call);

    ChatCompletion(Environment& env, http::Exchange::Ptr exchange, ChatCall call);

private:
    forwarding::Plan plan() const;
    forwarding::RequestHooks hooks();

    // Wire.
    http::Request encode(const forwarding::Placement& placement, const forwarding::Progress& progress);
    forwarding::ResponseHead readHead(const Poco::Net::HTTPResponse& response);
    http::Fields callerFields() const;
    forwarding::ParsedEvent readEvent(const forwarding::StreamEvent& event, std::optional<std::uint64_t> position);
    std::string_view rewritten(std::string_view data);

    // What became of an attempt.
    using JudgedHook = std::function<void(forwarding::NextServer)>;
    void record(const forwarding::Placement& placement, upstreams::Outcome outcome);
    void assessFailure(const forwarding::Failure& failure, const JudgedHook& onJudged);
    void askEngine(const forwarding::Failure& failure, const JudgedHook& onJudged);
    void cancelAtEngine(const std::string& address);

    // The end.
    errors::ResultCode refuse(const forwarding::TerminalError& ending);
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
    std::string run_; // of the engine, as the answer's head tells it
    std::uint64_t resumedAt_ = 0;
    bool sawFinish_ = false;

    std::string firstAttemptId_; // callers see this id in every event
    std::string event_; // the event that is being passed on
};

/// Moves the youngest stream that can be moved away from an engine.
void moveOneFrom(const forwarding::Environment& env, routing::NodeKey engine);

} // namespace goldcrestcleat::requests
