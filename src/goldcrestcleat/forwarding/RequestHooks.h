#pragma once

#include "goldcrestcleat/admission/Quarantine.h"
#include "goldcrestcleat/errors/ResultCode.h"
#include "goldcrestcleat/forwarding/EventReader.h"
#include "goldcrestcleat/http/Client.h"
#include "goldcrestcleat/routing/Keys.h"
#include "goldcrestcleat/upstreams/Outcome.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Forwarding of requests to servers and of the responses to the callers.
namespace goldcrestcleat::forwarding {

/// Retry and timeout policy of one request, independent of the interface it came by. Constant once the request starts.
struct Plan {
    std::string requestId; ///< as known to the caller
    std::string kind; ///< label for metrics and logs, one of a few values
    bool isStream = false; ///< a successful response is an event stream
    std::optional<std::uint64_t>
        position; ///< id of the last event that the caller has already; the stream goes on after
    bool requiresEndMarker = false; ///< a stream is complete only after an explicit final event
    bool mayRepeat = false; ///< may be executed more than once
    bool continuesWithoutCaller = false; ///< runs on after the caller disconnects, so that a retry finds the response
    int attempts = 1; ///< maximum number of executions
    loop::TimeMs timeoutMs = 0; ///< counted from the arrival; no attempt is sent after it
    bool timeoutCoversResponse = true; ///< the response must be complete within `timeoutMs` too
    loop::TimeMs firstByteTimeoutMs = 0; ///< another server is tried after waiting so long for the body; 0 for never
    loop::TimeMs idleTimeoutMs = 0; ///< the same between two parts of a response body
    loop::TimeMs firstByteSuspectMs = 0; ///< wait for the body after which the server is probed; 0 for never
    loop::TimeMs idleSuspectMs = 0; ///< the same between two parts of a response body
    bool firstByteTimeoutCoversBody = false; ///< `firstByteTimeoutMs` limits a complete response if it is no stream
    bool failsWhenUnresponsive = false; ///< these timeouts end the request even if it may not be sent again
    http::Client::Reuse firstSendReuse = http::Client::Reuse::Allowed; ///< first send; retries use new connections
    std::vector<admission::Fingerprint> fingerprints; ///< by which the quarantine knows the request; the content first
};

/// A server chosen for a request, which counts towards the server's load until it is released.
struct Placement {
    routing::NodeKey server = routing::NO_NODE;
    std::string serverId;
    std::string address;
    std::int64_t serverStartedAtMs = 0; ///< Unix time; 0 if not known
    std::uint64_t lease = 0; ///< ticket from the server's owner; 0 where none is needed
    bool isSuspect = false; ///< the request took part in a recent crash; no other such request runs beside it
    loop::TimeMs placedAt = 0; ///< when the server was chosen
    std::string fetchFrom; ///< address of an engine that may have the prompt's context cached; empty for none
};

/// A placement, or the reason why there is none.
struct PlacementResult {
    std::optional<Placement> placement;
    errors::ResultCode code = errors::ResultCode::NoUpstream;
    std::string context;
};

/// State of a request at the time of a placement or a send.
struct Progress {
    std::vector<routing::NodeKey> tried; ///< servers that it was sent to
    loop::TimeMs remainingMs = 0;
    std::optional<std::uint64_t> position; ///< id of the last event that the caller has
};

/// The head of a server's response.
struct ResponseHead {
    int status = 0;
    bool isAuthentic = false; ///< known to come from the server, not from an intermediary
    bool wasNotExecuted = false; ///< the server states that it did not and will not execute the request
    bool isFailure = false; ///< a repeatable request may be sent again
    bool isForOtherRequest = false; ///< belongs to another request
    bool hasWrongPosition = false; ///< the stream does not resume at the requested position
    bool isServerLeaving = false; ///< the server announces that it leaves
    loop::TimeMs backOffMs = 0; ///< the server wants no requests from this daemon for so long
    http::Fields fields; ///< to be forwarded
};

/// A stream event and how to handle it.
struct ParsedEvent {
    enum class Kind {
        Forward,
        Skip, ///< not meant for the caller, or already sent to it
        Complete, ///< forwarded; completes the stream
        Invalid
    };

    Kind kind = Kind::Invalid;
    std::string_view bytes; ///< to be written; valid until the next event is parsed
    std::optional<std::uint64_t> position; ///< after this event
    bool hasContent = true; ///< carries a part of the model's output
};

/// How an attempt failed after it was sent.
enum class FailureKind {
    Unresponsive, ///< a timeout expired without progress
    Broken, ///< the connection closed before the response was complete
    Invalid ///< the response is malformed, truncated or belongs to another request
};

/// A failed attempt whose server may have executed the request.
struct Failure {
    FailureKind kind = FailureKind::Broken;
    const Placement& placement;
    bool wasClosedWhileIdle = false; ///< sent on a reused connection that closed before any response byte
    bool hasResponseStarted = false; ///< a part of the response was forwarded to the caller
    admission::RunStage stage = admission::RunStage::Waiting; ///< how far the run had come
};

/// Target of a retry after a failed attempt.
enum class NextServer { Another, Same };

/// Final error of a request that got no complete response.
struct TerminalError {
    errors::ResultCode code = errors::ResultCode::Internal;
    std::string context;
    int possibleRuns = 0; ///< attempts that may have been executed
    bool isStreaming = false; ///< a part of the response was forwarded to the caller
};

/// Outcome and timing of a finished request.
struct RequestSummary {
    std::string kind; ///< as in its plan
    errors::ResultCode code = errors::ResultCode::Ok;
    std::string serverId; ///< server of the last attempt
    int attempts = 0;
    loop::TimeMs timeToHeadMs = 0; ///< from the arrival to the first response head; 0 for none
    loop::TimeMs longestPauseMs = 0; ///< between two reads of a response body
};

/// Customisation points of ForwardedRequest: placement, wire format and error responses differ between the interfaces.
///
/// Those listed as optional may be empty, all others are required.
struct RequestHooks {
    using PreparedHook = std::function<void(std::optional<errors::ResultCode> endedWith)>;
    using PlacedHook = std::function<void(const PlacementResult&)>;

    /// Owns the objects that the hooks refer to.
    std::shared_ptr<void> keepAlive;

    // Optional.
    std::function<void(PreparedHook)> prepare; ///< acquires what is needed before the first send, or ends the request
    std::function<void()> cancelPlacement; ///< the result of a pending `place` is no longer needed
    std::function<void(const Placement& from, PlacedHook)> findLessLoaded; ///< searches for a less loaded server
    std::function<void(const Placement&)> suspect; ///< the server has made no progress for a while
    std::function<void(const Placement&, const ResponseHead&)> onHead; ///< a response to this request has begun
    std::function<bool(const Poco::Net::HTTPResponse&)> isIdentified; ///< the response names the request that it is for
    std::function<void(const Placement&, loop::TimeMs)> recordPace; ///< time taken for the next event of a stream

    // Servers.
    std::function<void(const Progress&, PlacedHook)> place; ///< may call back later
    std::function<void(const Placement&)> release; ///< called exactly once for each placement
    std::function<void(const Placement&, upstreams::Outcome)>
        recordOutcome; ///< called for ServerError, Rejected and Unreachable
    std::function<void(const Failure&, std::function<void(NextServer)>)> assessFailure; ///< may call back later
    std::function<void(const Placement&, std::function<void(bool isRunning)>)>
        confirmRunning; ///< finds out whether the server is still the same running process; may call back later
    std::function<bool()> tryTakeRetry; ///< takes one retry from the budget if there is one

    // Wire format.
    std::function<http::Request(const Placement&, const Progress&)> encode;
    std::function<bool(const Poco::Net::HTTPResponse&)> isOwnResponse; ///< responses to other requests are skipped
    std::function<ResponseHead(const Poco::Net::HTTPResponse&)> readHead;
    std::function<ParsedEvent(const StreamEvent&, std::optional<std::uint64_t> position)> readEvent;

    // Completion.
    /// Called when a response is complete, before the response to the caller is finished.
    std::function<void(const Placement&, const ResponseHead&, const std::string& body)> onCompleteResponse;

    std::function<errors::ResultCode(const TerminalError&)> refuse; ///< sends an error response and returns its code
    std::function<void(const RequestSummary&)> onFinished;

    std::function<void(const std::string& event, nlohmann::json fields)> explain; ///< logs a routing decision
};

} // namespace goldcrestcleat::forwarding
