#pragma once

#include "goldcrestcleat/http/Client.h"

#include <Poco/Net/HTTPResponse.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace goldcrestcleat::forwarding {

/// What a probe of a server instance found out.
enum class ProbeOutcome {
    Answered,
    AnsweredByOther, ///< another instance has its address
    Silent, ///< it accepted the connection and did not answer in time
    Closed, ///< the connection was closed without an answer
    Unreachable ///< no connection could be opened in time
};

/// Returns whether the instance was running when it was probed. A process that has ended accepts no connections. A
/// server that answers probes only when it has a free slot may be silent because it is busy.
constexpr bool showsRunning(ProbeOutcome outcome, bool mayWaitForSlot)
{
    return outcome == ProbeOutcome::Answered || (outcome == ProbeOutcome::Silent && mayWaitForSlot);
}

/// Returns whether a second probe may have another outcome: a packet may have been lost, or the server may have had too
/// many connections.
constexpr bool isUncertain(ProbeOutcome outcome)
{
    return outcome == ProbeOutcome::Closed || outcome == ProbeOutcome::Unreachable;
}

/// Finds out over a new connection whether a server instance is still running, by up to two probes.
class InstanceProbe : public std::enable_shared_from_this<InstanceProbe> {
public:
    /// Time for the answer of a server that answers only when it has a free slot.
    static constexpr loop::TimeMs SLOT_TIMEOUT_MS = 150;

    /// Time for the answer of a server that answers at once.
    static constexpr loop::TimeMs ANSWER_TIMEOUT_MS = 400;

    /// Time for opening a connection. TCP retransmits a lost SYN only after 1 s.
    static constexpr loop::TimeMs CONNECT_TIMEOUT_MS = 400;

    struct Target {
        std::string address; ///< IP:port
        std::optional<http::Request> request; ///< must have no effect; nothing is sent without one
        bool mayWaitForSlot = true; ///< the server answers it only when it has a free slot
        std::function<bool(const Poco::Net::HTTPResponse&, const std::string& body)>
            isFromInstance; ///< returns false if another instance has sent the answer
    };
    using DoneHook = std::function<void(ProbeOutcome)>;

    /// Starts to probe. `onDone` is called once, never before this function has returned. The loop and the client must
    /// outlive the probe.
    static void start(loop::EventLoop& loop, http::Client& client, Target target, DoneHook onDone);

    InstanceProbe(loop::EventLoop& loop, http::Client& client, Target target, DoneHook onDone);

private:
    void probe();
    void connectOnly();
    loop::TimeMs answerTimeoutMs() const { return target_.mayWaitForSlot ? SLOT_TIMEOUT_MS : ANSWER_TIMEOUT_MS; }
    void onAnswer();
    void onTimeout();
    void finish(ProbeOutcome outcome);

    loop::EventLoop& loop_;
    http::Client& client_;
    const Target target_;
    DoneHook onDone_; // empty once it was called
    http::Call::Ptr call_;
    std::optional<Poco::Net::HTTPResponse> head_; ///< of the answer
    std::string body_; ///< of the answer, as far as it matters
    int probes_ = 0;
    loop::TimeMs startedAt_ = 0;
    loop::EventLoop::TimerId timer_ = 0;
};

} // namespace goldcrestcleat::forwarding
