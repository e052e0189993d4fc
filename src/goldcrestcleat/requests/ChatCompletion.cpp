#include "goldcrestcleat/requests/ChatCompletion.h"

#include "goldcrestcleat/observe/Digest.h"
#include "goldcrestcleat/requests/ErrorResponse.h"
#include "goldcrestcleat/store/TableClient.h"

#include <Poco/Net/HTTPResponse.h>
#include <xxhash.h>

namespace goldcrestcleat::requests {

using errors::Executed;
using errors::ResultCode;
using forwarding::FailureKind;
using forwarding::NextServer;
using forwarding::ParsedEvent;
using nlohmann::json;
using routing::NodeKey;
using upstreams::Outcome;

namespace {

    constexpr std::size_t ATTEMPT_ID_BYTES = 12;
    constexpr loop::TimeMs PLAIN_ANSWER_MS = 120'000; // an unstreamed answer shows no progress until it is complete
    constexpr loop::TimeMs CANCEL_TIMEOUT_MS = 1'000;
    constexpr const char* ID_FIELD = "X-Request-Id";

    std::uint64_t crashIdOf(NodeKey engine, const std::string& runId)
    {
        return XXH3_64bits_withSeed(runId.data(), runId.size(), engine);
    }

} // namespace

ChatCompletion::ChatCompletion(Environment& env, http::Exchange::Ptr exchange, ChatCall call)
    : env_(env)
    , exchange_(std::move(exchange))
    , call_(std::move(call))
    , placement_(std::make_shared<ChatPlacement>(env, call_))
{
}

void ChatCompletion::start(Environment& env, const http::Exchange::Ptr& exchange, ChatCall call)
{
    env.explanations.begin(call.requestId, call.workspace->id, call.chatId, env.loop.now());
    env.retryBudget.onRequest();
    const auto chat = std::make_shared<ChatCompletion>(env, exchange, std::move(call));
    std::make_shared<forwarding::ForwardedRequest>(env.forwarding, exchange, chat->plan(), chat->hooks())->start();
}

// ---- private ----

forwarding::Plan ChatCompletion::plan() const
{
    forwarding::Plan plan;
    plan.requestId = call_.requestId;
    plan.kind = "chat";
    plan.isStream = call_.isStream;
    plan.requiresEndMarker = call_.isStream;
    plan.mayRepeat = true;
    plan.attempts = 1 + call_.profile.retries;
    plan.timeoutMs = call_.profile.deadlineMs;
    plan.timeoutCoversResponse = false; // the deadline applies to the start of processing; a started request continues
    plan.firstByteTimeoutMs = call_.isStream ? call_.profile.firstTokenMs : PLAIN_ANSWER_MS;
    plan.idleTimeoutMs = call_.isStream ? call_.profile.stallMs : PLAIN_ANSWER_MS;
    plan.failsWhenUnresponsive = true;
    plan.fingerprints = call_.fingerprints;
    return plan;
}

forwarding::RequestHooks ChatCompletion::hooks()
{
    forwarding::RequestHooks hooks;
    hooks.keepAlive = shared_from_this();
    hooks.place = [this](const forwarding::Progress& progress, const ChatPlacement::PlacedHook& onPlaced) {
        placement_->place(progress, onPlaced);
    };
    hooks.cancelPlacement = [this] { placement_->stop(); };
    hooks.findLessLoaded = [this](const forwarding::Placement& from, const ChatPlacement::PlacedHook& onPlaced) {
        placement_->findLessLoaded(from, onPlaced);
    };
    hooks.release = [this](const forwarding::Placement& placement) { placement_->release(placement); };
    hooks.recordOutcome
        = [this](const forwarding::Placement& placement, Outcome outcome) { recordOutcome(placement, outcome); };
    hooks.assessFailure = [this](const forwarding::Failure& failure, const AssessedHook& onAssessed) {
        assessFailure(failure, onAssessed);
    };
    hooks.confirmRunning = [this](const forwarding::Placement& placement, std::function<void(bool)> onDone) {
        env_.prober.confirmRunning(placement.server, runId_, std::move(onDone));
    };
    hooks.tryTakeRetry = [this] { return env_.retryBudget.tryTake(); };
    hooks.encode = [this](const forwarding::Placement& placement, const forwarding::Progress& progress) {
        return encode(placement, progress);
    };
    hooks.isOwnResponse = [](const Poco::Net::HTTPResponse&) { return true; };
    hooks.readHead = [this](const Poco::Net::HTTPResponse& response) { return readHead(response); };
    hooks.readEvent = [this](const forwarding::StreamEvent& event, std::optional<std::uint64_t> position) {
        return readEvent(event, position);
    };
    hooks.onCompleteResponse
        = [this](const forwarding::Placement& placement, const forwarding::ResponseHead&, const std::string&) {
              if (!call_.chatId.empty())
                  env_.fleet.remember(call_.model, call_.chat, placement.server);
          };
    hooks.refuse = [this](const forwarding::TerminalError& error) { return refuse(error); };
    hooks.onFinished = [this](const forwarding::RequestSummary& summary) { onFinished(summary); };
    hooks.explain = [this](const std::string& step, json details) { explain(step, std::move(details)); };
    return hooks;
}

// ---- private: requests to engines and their answers ----

http::Request ChatCompletion::encode(const forwarding::Placement& placement, const forwarding::Progress& progress)
{
    attemptId_ = observe::randomHex(ATTEMPT_ID_BYTES);
    if (firstAttemptId_.empty())
        firstAttemptId_ = attemptId_;
    engine_ = placement.server;
    engineId_ = placement.serverId;
    runId_.clear();
    resumedAt_ = progress.position.value_or(0);
    sawFinish_ = false;
    http::Request request;
    request.method = "POST";
    request.target = "/v1/chat/completions";
    request.fields = { { "Content-Type", "application/json" }, { ID_FIELD, attemptId_ },
        { "X-Priority", std::to_string(call_.profile.priority) } };
    if (resumedAt_ == 0) {
        request.body = call_.body.dump();
        return request;
    }
    json body = call_.body;
    body["resume_position"] = resumedAt_;
    request.body = body.dump();
    return request;
}

forwarding::ResponseHead ChatCompletion::readHead(const Poco::Net::HTTPResponse& response)
{
    forwarding::ResponseHead head;
    head.status = response.getStatus();
    head.isForOtherRequest = response.get(ID_FIELD, "") != attemptId_;
    if (head.isForOtherRequest) {
        env_.log.warn("crossed-answer", { { "request", call_.requestId }, { "engine", engineId_ } });
        return head;
    }
    head.isAuthentic = true;
    head.wasNotExecuted = head.status == 503 || head.status == 429;
    runId_ = response.get("X-Run-Id", "");
    if (!runId_.empty())
        env_.directory.onConnected(engine_, runId_);
    head.hasWrongPosition
        = resumedAt_ > 0 && response.get("X-Resume-Position", "") != std::to_string(resumedAt_) && !head.wasNotExecuted;
    head.fields = callerFields();
    if (call_.isStream && head.status == 200) {
        head.fields.emplace_back("Content-Type", "text/event-stream");
        head.fields.emplace_back("Cache-Control", "no-store");
    } else {
        head.fields.emplace_back("Content-Type", response.getContentType());
    }
    return head;
}

http::Fields ChatCompletion::callerFields() const
{
    return { { ID_FIELD, call_.requestId }, { "X-Hint", env_.affinityTokens.sign(call_.chat, engine_) },
        { "X-Served-By", engineId_ } };
}

ParsedEvent ChatCompletion::readEvent(const forwarding::StreamEvent& event, std::optional<std::uint64_t> position)
{
    const auto data = forwarding::eventData(event.bytes);
    if (data.empty())
        return { ParsedEvent::Kind::Skip, {}, position, false };
    const CompletionEvent completion = classifyEvent(data);
    if (completion.isDone)
        return sawFinish_ ? ParsedEvent { ParsedEvent::Kind::Complete, event.bytes, position, false } : ParsedEvent();
    if (completion.isError || data.find(attemptId_) == std::string_view::npos) {
        explain(completion.isError ? "error-event" : "crossed-event", json::object());
        return {};
    }
    sawFinish_ = sawFinish_ || completion.isFinish;
    const bool wasForwardedBefore = resumedAt_ > 0 && !completion.hasContent && !completion.isFinish;
    if (wasForwardedBefore)
        return { ParsedEvent::Kind::Skip, {}, position, false };
    const std::uint64_t after = position.value_or(0) + (completion.hasContent ? 1 : 0);
    return { ParsedEvent::Kind::Forward, encodeEvent(data), after, completion.hasContent };
}

/// Returns the event as it is sent to the caller, with the id of the first attempt.
std::string_view ChatCompletion::encodeEvent(std::string_view data)
{
    event_.assign("data: ").append(data);
    if (attemptId_ != firstAttemptId_)
        event_.replace(event_.find(attemptId_), attemptId_.size(), firstAttemptId_);
    event_.append("\n\n");
    return event_;
}

// ---- private: outcomes of attempts ----

void ChatCompletion::recordOutcome(const forwarding::Placement& placement, Outcome outcome)
{
    if (outcome == Outcome::Unreachable)
        env_.directory.onConnectFailed(placement.server, env_.loop.now());
}

void ChatCompletion::assessFailure(const forwarding::Failure& failure, const AssessedHook& onAssessed)
{
    if (failure.kind == FailureKind::Invalid) {
        onAssessed(NextServer::Another);
        return;
    }
    if (failure.kind == FailureKind::Unresponsive) {
        env_.client.dropIdle(failure.placement.address); // the network path may no longer respond
        cancelAtEngine(failure.placement.address);
    }
    probeEngine(failure, onAssessed);
}

/// Probes the engine over a new connection to find out whether it still runs, before anything is sent again.
void ChatCompletion::probeEngine(const forwarding::Failure& failure, const AssessedHook& onAssessed)
{
    const NodeKey engine = failure.placement.server;
    const auto* upstream = env_.directory.find(engine);
    // After a stall, only the run that started this answer is compared: an engine that was restarted some time ago did
    // not crash while it processed this request.
    const bool isStall = failure.kind == FailureKind::Unresponsive;
    const std::string runId = isStall || !runId_.empty() || !upstream ? runId_ : upstream->runId;
    const bool wasSuspect = failure.placement.isSuspect;
    const admission::RunStage stage = failure.stage;
    const bool retriesElsewhere = isStall && !failure.hasResponseStarted;
    const auto self = shared_from_this();
    env_.prober.probeNow(engine,
        [self, engine, runId, wasSuspect, stage, retriesElsewhere, onAssessed](const upstreams::ProbeResult& answer) {
            const bool isNewRun = !runId.empty() && !answer.runId.empty() && answer.runId != runId;
            const bool hasEnded = !answer.isAlive || isNewRun;
            if (!answer.isAlive)
                self->env_.directory.onConnectFailed(engine, self->env_.loop.now());
            if (hasEnded) {
                self->explain("engine-crashed", { { "engine", self->engineId_ } });
                admission::CrashReport report;
                report.crashId = crashIdOf(engine, runId);
                report.host = engine;
                report.stage = stage;
                report.isIsolated = wasSuspect;
                report.suspects = self->call_.fingerprints;
                self->env_.fleet.quarantine().reportCrash(report);
            }
            onAssessed(hasEnded || retriesElsewhere ? NextServer::Another : NextServer::Same);
        });
}

void ChatCompletion::cancelAtEngine(const std::string& address)
{
    http::Request request;
    request.method = "POST";
    request.target = "/v1/cancel";
    request.fields = { { "Content-Type", "application/json" } };
    request.body = json { { "id", attemptId_ } }.dump();
    store::callOnce(env_.loop, env_.client, address, request, CANCEL_TIMEOUT_MS, http::Client::Reuse::Never,
        [](http::FailurePoint, int, const std::string&) {});
}

// ---- private: end of the request ----

ResultCode ChatCompletion::refuse(const forwarding::TerminalError& error)
{
    ErrorResponse response;
    response.code = error.code;
    response.context = error.context;
    response.executed = error.possibleRuns > 0 ? Executed::Unknown : Executed::No;
    response.retryAfterSeconds = errors::info(error.code).httpStatus == 503 ? 1 : 0;
    requests::refuse(*exchange_, response, call_.requestId);
    return error.code;
}

void ChatCompletion::onFinished(const forwarding::RequestSummary& summary)
{
    const int code = static_cast<int>(summary.code);
    explain("finished", { { "code", code } });
    env_.openCounts.close("workspace/" + call_.workspace->id);
    env_.openCounts.close("profile/" + call_.workspace->id + "/" + call_.profile.name);
    env_.log.info("chat-finished",
        { { "request", call_.requestId }, { "workspace", call_.workspace->id }, { "code", code },
            { "attempts", summary.attempts }, { "ms", env_.loop.now() - exchange_->arrivedAt() } });
}

void ChatCompletion::explain(const std::string& step, json details) const
{
    env_.explanations.add(call_.requestId, env_.loop.now(), step, std::move(details));
}

void moveYoungestStreamFrom(const forwarding::Environment& env, NodeKey engine)
{
    forwarding::ForwardedRequest::Ptr youngest;
    for (const auto& request : env.openRequests) {
        const bool isCandidate = request->server() == engine && request->canMigrate();
        if (isCandidate && (!youngest || request->arrivedAt() > youngest->arrivedAt()))
            youngest = request;
    }
    if (youngest)
        youngest->migrate();
}

} // namespace goldcrestcleat::requests
