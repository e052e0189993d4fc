#include "goldcrestcleat/upstreams/Prober.h"

#include "goldcrestcleat/store/TableClient.h"

#include <nlohmann/json.hpp>

namespace goldcrestcleat::upstreams {

namespace {

    constexpr loop::TimeMs PROBE_PERIOD_MS = 2'000;
    constexpr loop::TimeMs FAILED_PROBE_PERIOD_MS = 250; // after a failure, until the upstream is considered down
    constexpr loop::TimeMs PROBE_TIMEOUT_MS = 800;
    constexpr loop::TimeMs SCHEDULE_PERIOD_MS = 100;
    constexpr std::size_t MAX_RESPONSE_BYTES = 4096;

    /// Returns a text, or an empty one if the member is absent or of another type.
    std::string textOf(const nlohmann::json& document, const char* name)
    {
        const auto member = document.find(name);
        return member != document.end() && member->is_string() ? member->get<std::string>() : "";
    }

    ProbeResult parseResponse(int status, const std::string& body)
    {
        ProbeResult result;
        const auto document = nlohmann::json::parse(body, nullptr, false);
        result.isAlive = status == 200 && document.is_object();
        if (!result.isAlive)
            return result;
        result.isLeaving = textOf(document, "state") == "leaving";
        const auto load = document.find("server_load");
        if (load != document.end() && load->is_number_integer())
            result.running = load->get<int>();
        result.runId = textOf(document, "run");
        return result;
    }

} // namespace

Prober::Prober(loop::EventLoop& loop, UpstreamDirectory& directory, Hooks hooks)
    : loop_(loop)
    , directory_(directory)
    , hooks_(std::move(hooks))
    , client_(loop, { MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES })
{
}

void Prober::start()
{
    loop_.every(SCHEDULE_PERIOD_MS, [this] { probeDue(); });
}

void Prober::probeNow(routing::NodeKey key, std::function<void(const ProbeResult&)> onDone)
{
    probe(key, http::Client::Reuse::Never, std::move(onDone));
}

void Prober::confirmRunning(routing::NodeKey key, const std::string& runId, std::function<void(bool isRunning)> onDone)
{
    const auto decide = [runId, onDone = std::move(onDone)](const ProbeResult& result) {
        const bool isOther = !runId.empty() && !result.runId.empty() && result.runId != runId;
        onDone(result.isAlive && !isOther);
    };
    probeNow(key, [this, key, decide](const ProbeResult& result) {
        if (result.isAlive)
            decide(result);
        else // a packet may have been lost
            probeNow(key, decide);
    });
}

void Prober::probeDue()
{
    for (const Upstream* upstream : directory_.all()) {
        const routing::NodeKey key = upstream->key;
        if (!hooks_.isOwner(key)) {
            lastProbeAt_.erase(key);
            continue;
        }
        loop::TimeMs& last = lastProbeAt_[key];
        const bool isUndecided = upstream->connectFailures > 0 && !upstream->unavailability.down;
        if (last != 0 && loop_.now() - last < (isUndecided ? FAILED_PROBE_PERIOD_MS : PROBE_PERIOD_MS))
            continue;
        last = loop_.now();
        probe(key, http::Client::Reuse::Allowed, [this, key](const ProbeResult& result) {
            if (result.isAlive)
                onResult(key, result);
            else // the reused connection may be the cause, so a new one decides
                probe(
                    key, http::Client::Reuse::Never, [this, key](const ProbeResult& second) { onResult(key, second); });
        });
    }
}

void Prober::probe(routing::NodeKey key, http::Client::Reuse reuse, std::function<void(const ProbeResult&)> onDone)
{
    const Upstream* upstream = directory_.find(key);
    if (!upstream) {
        onDone({});
        return;
    }
    http::Request request;
    request.target = upstream->kind == Kind::Engine ? "/load" : "/health";
    store::callOnce(loop_, client_, upstream->address, request, PROBE_TIMEOUT_MS, reuse,
        [onDone = std::move(onDone)](
            http::FailurePoint, int status, const std::string& body) { onDone(parseResponse(status, body)); });
}

void Prober::onResult(routing::NodeKey key, const ProbeResult& result)
{
    const Upstream* upstream = directory_.find(key);
    if (!upstream)
        return;
    const bool wasDown = upstream->unavailability.down;
    const bool wasLeaving = upstream->unavailability.leaving;
    if (result.isAlive)
        directory_.onConnected(key, result.runId);
    else
        directory_.onConnectFailed(key, loop_.now());
    if (result.isLeaving)
        directory_.markLeaving(key, upstream->incarnation);
    // An engine that does not report its load is not taken to be idle.
    if (result.isAlive && result.running)
        hooks_.onLoadReport(key, *result.running);
    if (upstream->unavailability.down != wasDown || upstream->unavailability.leaving != wasLeaving)
        hooks_.onChange(*upstream);
}

} // namespace goldcrestcleat::upstreams
