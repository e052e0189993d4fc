#include "goldcrestcleat/forwarding/InstanceProbe.h"

#include <algorithm>
#include <utility>

namespace goldcrestcleat::forwarding {

namespace {

    constexpr int MAX_PROBES = 2;
    constexpr loop::TimeMs RETRY_DELAY_MS = 50; // the server may have too many connections for a moment
    constexpr std::size_t MAX_BODY_BYTES = 64 * 1024;

} // namespace

void InstanceProbe::start(loop::EventLoop& loop, http::Client& client, Target target, DoneHook onDone)
{
    std::make_shared<InstanceProbe>(loop, client, std::move(target), std::move(onDone))->probe();
}

InstanceProbe::InstanceProbe(loop::EventLoop& loop, http::Client& client, Target target, DoneHook onDone)
    : loop_(loop)
    , client_(client)
    , target_(std::move(target))
    , onDone_(std::move(onDone))
{
}

// ---- private ----

void InstanceProbe::probe()
{
    ++probes_;
    startedAt_ = loop_.now();
    if (!target_.request) {
        connectOnly();
        return;
    }
    const auto self = shared_from_this();
    http::Call::Hooks hooks;
    // A late copy of the answer could not be told from a rejection of the next request on the connection.
    hooks.isIdentified = [](const Poco::Net::HTTPResponse&) { return false; };
    hooks.onHead = [self](const Poco::Net::HTTPResponse& head) { self->head_ = head; };
    hooks.onBody = [self](std::string_view part) {
        self->body_.append(part.substr(0, MAX_BODY_BYTES - std::min(MAX_BODY_BYTES, self->body_.size())));
    };
    hooks.onEnd = [self] {
        self->call_.reset();
        self->onAnswer();
    };
    hooks.onFailure = [self](http::FailurePoint point, const std::string&) {
        self->call_.reset();
        if (self->head_)
            self->onAnswer();
        else
            self->finish(point == http::FailurePoint::NotSent ? ProbeOutcome::Unreachable : ProbeOutcome::Closed);
    };
    call_ = client_.start(target_.address, *target_.request, std::move(hooks), http::Client::Reuse::Never);
    timer_ = loop_.after(answerTimeoutMs(), [self] { self->onTimeout(); });
}

void InstanceProbe::connectOnly()
{
    const auto self = shared_from_this();
    client_.preconnect(target_.address, [self, serial = probes_](bool isOpen) {
        if (serial == self->probes_)
            self->finish(isOpen ? ProbeOutcome::Silent : ProbeOutcome::Unreachable);
    });
    timer_ = loop_.after(CONNECT_TIMEOUT_MS, [self] { self->finish(ProbeOutcome::Unreachable); });
}

/// A body that has broken off does not matter: the head shows that a process has answered.
void InstanceProbe::onAnswer()
{
    finish(target_.isFromInstance(*head_, body_) ? ProbeOutcome::Answered : ProbeOutcome::AnsweredByOther);
}

void InstanceProbe::onTimeout()
{
    const bool isConnected = call_ && call_->isConnected();
    if (onDone_ && !isConnected && loop_.now() - startedAt_ < CONNECT_TIMEOUT_MS) {
        timer_
            = loop_.after(CONNECT_TIMEOUT_MS - answerTimeoutMs(), [self = shared_from_this()] { self->onTimeout(); });
        return;
    }
    if (const auto call = std::exchange(call_, nullptr))
        call->cancel();
    if (head_)
        onAnswer();
    else
        finish(isConnected ? ProbeOutcome::Silent : ProbeOutcome::Unreachable);
}

void InstanceProbe::finish(ProbeOutcome outcome)
{
    if (!onDone_)
        return;
    if (isUncertain(outcome) && probes_ < MAX_PROBES) {
        loop_.cancel(timer_);
        loop_.after(RETRY_DELAY_MS, [self = shared_from_this()] { self->probe(); });
        return;
    }
    const auto onDone = std::exchange(onDone_, nullptr);
    onDone(outcome);
}

} // namespace goldcrestcleat::forwarding
