#include "goldcrestcleat/upstreams/Prober.h"

#include "goldcrestcleat/store/TableClient.h"

#include <nlohmann/json.hpp>

namespace goldcrestcleat::upstreams {

namespace {

    constexpr loop::TimeMs PROBE_PERIOD_MS = 2'000;
    constexpr loop::TimeMs FAILED_PROBE_PERIOD_MS = 250; // while it is open whether the upstream is down
    constexpr loop::TimeMs PROBE_TIMEOUT_MS = 800;
    constexpr loop::TimeMs SCHEDULE_MS = 100;
    constexpr std::size_t MAX_ANSWER_BYTES = 4096;

    ProbeAnswer parseAnswer(int status, const std::string& body)
    {
        ProbeAnswer answer;
        const auto document = nlohmann::json::parse(body, nullptr, false);
        answer.isAlive = status == 200 && document.is_object();
        if (!answer.isAlive)
            return answer;
        answer.isLeaving = document.value("state", "serving") == "leaving";
        const auto load = document.find("server_load");
        if (load != document.end() && load->is_number_integer())
            answer.running = load->get<int>();
        answer.run = document.value("run", "");
        return answer;
    }

} // namespace

Prober::Prober(loop::EventLoop& loop, Directory& directory, Hooks hooks)
    : loop_(loop)
    , directory_(directory)
    , hooks_(std::move(hooks))
    , client_(loop, { MAX_ANSWER_BYTES, MAX_ANSWER_BYTES })
{
}

void Prober::start()
{
    loop_.every(SCHEDULE_MS, [this] { probeDue(); });
}

void Prober::probeNow(routing::NodeKey key, std::function<void(const ProbeAnswer&)> onDone)
{
    probe(key, http::Client::Reuse::Never, std::move(onDone));
}

void Prober::probeDue()
{
    for (const Upstream* upstream : directory_.all()) {
        const routing::NodeKey key = upstream->key;
        if (!hooks_.isHome(key)) {
            lastProbeAt_.erase(key);
            continue;
        }
        loop::TimeMs& last = lastProbeAt_[key];
        const bool isInDoubt = upstream->failures > 0 && !upstream->absence.down;
        if (last != 0 && loop_.now() - last < (isInDoubt ? FAILED_PROBE_PERIOD_MS : PROBE_PERIOD_MS))
            continue;
        last = loop_.now();
        probe(key, http::Client::Reuse::Allowed, [this, key](const ProbeAnswer& answer) {
            if (answer.isAlive)
                onAnswer(key, answer);
            else // the old connection may be to blame, so a new one decides
                probe(
                    key, http::Client::Reuse::Never, [this, key](const ProbeAnswer& second) { onAnswer(key, second); });
        });
    }
}

void Prober::probe(routing::NodeKey key, http::Client::Reuse reuse, std::function<void(const ProbeAnswer&)> onDone)
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
            http::FailurePoint, int status, const std::string& body) { onDone(parseAnswer(status, body)); });
}

void Prober::onAnswer(routing::NodeKey key, const ProbeAnswer& answer)
{
    const Upstream* upstream = directory_.find(key);
    if (!upstream)
        return;
    const bool wasDown = upstream->absence.down;
    const bool wasLeaving = upstream->absence.leaving;
    if (answer.isAlive)
        directory_.onContact(key, answer.run);
    else
        directory_.onContactFailed(key, loop_.now());
    if (answer.isLeaving)
        directory_.markLeaving(key, upstream->incarnation);
    // An engine that states no load is not an idle one.
    if (answer.isAlive && answer.running)
        hooks_.onReport(key, *answer.running);
    if (upstream->absence.down != wasDown || upstream->absence.leaving != wasLeaving)
        hooks_.onChange(*upstream);
}

} // namespace goldcrestcleat::upstreams
