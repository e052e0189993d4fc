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

/// Requests that are passed on to a server, and the answers on their way back.
namespace goldcrestcleat::forwarding {

/// What the life cycle knows of a request, whatever interface it came by. Never changes once the request has begun.
struct Plan {
    std::string requestId; ///< as the caller knows it
    std::string kind; ///< for metrics and logs, one of a few
    bool isStream = false; ///< a success is a stream of events
    bool endsWithMarker = false; ///< a stream is whole only after an event that says so
    bool mayRepeat = false; ///< may run more than once
    bool survivesCaller = false; ///< goes on after its caller has left, for a repeat to find the answer
    int attempts = 1; ///< times that it may run
    loop::TimeMs limitMs = 0; ///< from the arrival; it is sent until then
    bool isLimitFinal = true; ///< the answer has to end by then too
    loop::TimeMs firstAnswerMs = 0; ///< a server that is silent for so long is given up; 0 for never
    loop::TimeMs pauseMs = 0; ///< the same between two parts of an answer
    loop::TimeMs suspectAfterMs = 0; ///< silence after which the server is looked after; 0 for never
    loop::TimeMs suspectPauseMs = 0; ///< the same between two parts of an answer
    bool isAttemptTimed = false; ///< `firstAnswerMs` bounds the whole of an answer that is no stream
    bool isSilenceFinal = false; ///< silence ends the request also when it may not be sent again
    http::Client::Reuse firstReuse = http::Client::Reuse::Allowed; ///< of its first send; later ones are fresh
    admission::Fingerprint fingerprint = 0;
};

/// A server that was chosen for a request and counts it until it is released.
struct Placement {
    routing::NodeKey server = routing::NO_NODE;
    std::string serverId;
    std::string address;
    std::uint64_t lease = 0; ///< ticket from the server's home; 0 where none is needed
    bool isSuspect = false; ///< no other suspect runs beside it
    std::string fetchFrom; ///< address of an engine that may hold the prompt's context; empty for none
};

/// A placement, or why there is none.
struct PlacementResult {
    std::optional<Placement> placement;
    errors::ResultCode code = errors::ResultCode::NoUpstream;
    std::string context;
};

/// How far a request is when it is placed or sent.
struct Progress {
    std::vector<routing::NodeKey> tried; ///< servers that it was sent to
    loop::TimeMs remainingMs = 0;
    std::optional<std::uint64_t> position; ///< of the last event that the caller was sent
};

/// The head of a server's answer.
struct AnswerHead {
    int status = 0;
    bool isGenuine = false; ///< from a server, which vouches for it
    bool hasNotRun = false; ///< the server states that it did not and will not run the request
    bool isFailure = false; ///< a repeatable request may be sent again after it
    bool isForeign = false; ///< it belongs to another request
    bool goesOnElsewhere = false; ///< it does not go on at the position that was asked for
    http::Fields fields; ///< to be passed on
};

/// What an event of a stream means to the caller.
struct EventReading {
    enum class Kind {
        Forward,
        Skip, ///< nothing that the caller needs
        Complete, ///< to be forwarded; the stream is whole after it
        Unreadable
    };

    Kind kind = Kind::Unreadable;
    std::string_view bytes; ///< to be written; valid until the next event is read
    std::optional<std::uint64_t> position; ///< after this event
    bool hasContent = true; ///< it holds a part of the answer
};

/// How an attempt failed after it was sent.
enum class FailureKind {
    Silence, ///< no part of the answer for too long
    Broken, ///< the connection ended before the answer did
    Unreadable ///< what came is no whole answer to this request
};

/// A failed attempt; its server may have run the request.
struct Failure {
    FailureKind kind = FailureKind::Broken;
    const Placement& placement;
    bool wasClosedWhileIdle = false; ///< it went out on a kept connection, and no byte came back
    bool hasBegun = false; ///< the caller has a part of the answer
};

/// Where a request goes after a failed attempt.
enum class NextServer { Another, Same };

/// What a caller is told of a request that got no answer.
struct Ending {
    errors::ResultCode code = errors::ResultCode::Internal;
    std::string context;
    int maybeRan = 0; ///< sends after which it may have run
    bool isStreaming = false; ///< the caller has a part of the answer
};

/// How a request went, once it has ended.
struct Summary {
    std::string kind; ///< as in its plan
    errors::ResultCode code = errors::ResultCode::Ok;
    std::string serverId; ///< of the last attempt
    int attempts = 0;
    loop::TimeMs firstAnswerMs = 0; ///< from the arrival to the first head of an answer; 0 for none
    loop::TimeMs longestPauseMs = 0; ///< between two reads of the answer
};

/// What differs between the interfaces by which requests come: where they are placed and how they look on the wire.
///
/// The optional ones may be unset, all others are set.
struct RequestHooks {
    using OpenedHook = std::function<void(std::optional<errors::ResultCode> endedWith)>;
    using PlacedHook = std::function<void(const PlacementResult&)>;

    /// Keeps alive what the hooks use.
    std::shared_ptr<void> owner;

    // Optional.
    std::function<void(OpenedHook)> open; ///< obtains what must be held before the first send, or answers itself
    std::function<void()> stopPlacing; ///< `place` need not answer any more
    std::function<void(const Placement& from, PlacedHook)> findBetter; ///< looks for a less loaded server
    std::function<void(const Placement&)> suspect; ///< the server has been silent for a while

    // Servers.
    std::function<void(const Progress&, PlacedHook)> place; ///< answers at once or later
    std::function<void(const Placement&)> release; ///< called once for each placement
    std::function<void(const Placement&, upstreams::Outcome)> record; ///< called for all outcomes but Broken
    std::function<void(const Failure&, std::function<void(NextServer)>)> judge; ///< answers at once or later
    std::function<bool()> tryRetry; ///< takes one retry from the budget

    // Wire.
    std::function<http::Request(const Placement&, const Progress&)> encode;
    std::function<bool(const Poco::Net::HTTPResponse&)> isOwn; ///< answers of others are skipped
    std::function<AnswerHead(const Poco::Net::HTTPResponse&)> readHead;
    std::function<EventReading(const StreamEvent&, std::optional<std::uint64_t> position)> readEvent;

    // The end.
    std::function<void(const Placement&, const AnswerHead&, const std::string& body)>
        answered; ///< before it is passed on
    std::function<errors::ResultCode(const Ending&)> refuse; ///< tells the caller; returns the code that it was told
    std::function<void(const Summary&)> finished;

    std::function<void(const std::string& event, nlohmann::json fields)> explain; ///< records a decision
};

} // namespace goldcrestcleat::forwarding
