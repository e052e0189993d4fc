#include "goldcrestcleat/observe/Metrics.h"

#include "goldcrestcleat/errors/ResultCode.h"

#include <prometheus/text_serializer.h>

namespace goldcrestcleat::observe {

namespace {

    // Upper bounds of the buckets of all histograms, in seconds.
    const prometheus::Histogram::BucketBoundaries LATENCY_BUCKETS
        = { 0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60 };

    prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
    }

    /// Increases a counter to a total that is maintained elsewhere.
    void increaseTo(prometheus::Counter& counter, std::uint64_t total)
    {
        const double increase = static_cast<double>(total) - counter.Value();
        if (increase > 0)
            counter.Increment(increase);
    }

    prometheus::Family<prometheus::Histogram>& histogram(
        prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
    }

    /// Returns the component that determined a request's result, for the `by` label.
    const char* decidedBy(int resultCode)
    {
        if (resultCode == static_cast<int>(errors::ResultCode::Ok))
            return "server";
        return resultCode == static_cast<int>(errors::ResultCode::CallerGone) ? "caller" : "daemon";
    }

    prometheus::Gauge* gauge(prometheus::Registry& registry, const char* name, const char* help)
    {
        return &prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
    }

} // namespace

Metrics::Metrics()
    : registry_(std::make_shared<prometheus::Registry>())
    , requests_(counter(*registry_, "goldcrestcleat_requests_total", "Finished requests by kind and result code"))
    , placements_(
          counter(*registry_, "goldcrestcleat_placements_total", "Chat placements by reason and expected warmth"))
    , retries_(counter(*registry_, "goldcrestcleat_retries_total", "Further attempts by reason"))
    , controlBytes_(
          counter(*registry_, "goldcrestcleat_control_bytes_total", "Control traffic by kind, both directions"))
    , sharedTokens_(counter(*registry_, "goldcrestcleat_shared_tokens_total",
          "Prompt tokens that requests share with others, by where their context was expected"))
    , storeCalls_(counter(*registry_, "goldcrestcleat_store_calls_total", "Calls to the store by call and outcome"))
    , closedAnswers_(counter(*registry_, "goldcrestcleat_closed_answers_total",
          "Answers without a length that ended with their connection, by whether their server was still running"))
    , logLinesLost_(counter(*registry_, "goldcrestcleat_log_lines_lost_total",
          "Lines left out to bound the volume, or not taken by a reader"))
    , quarantineRefusals_(counter(*registry_, "goldcrestcleat_quarantine_refusals_total",
          "Requests refused because they crash servers, by the fingerprint that is banned"))
    , banCrashes_(prometheus::BuildGauge()
                      .Name("goldcrestcleat_quarantine_crashes")
                      .Help("Crashes of servers at which a banned fingerprint was present")
                      .Register(*registry_))
    , banAnswers_(prometheus::BuildGauge()
                      .Name("goldcrestcleat_quarantine_answers")
                      .Help("Answers to requests with a banned fingerprint since its first crash")
                      .Register(*registry_))
    , engineLoad_(prometheus::BuildGauge()
                      .Name("goldcrestcleat_engine_load")
                      .Help("Requests on an engine, as known here")
                      .Register(*registry_))
    , retriesLeft_(prometheus::BuildGauge()
                       .Name("goldcrestcleat_retries_left")
                       .Help("Retries that this daemon may still make to a service in the current window")
                       .Register(*registry_))
    , heldBytes_(prometheus::BuildGauge()
                     .Name("goldcrestcleat_held_bytes")
                     .Help("Memory of answers being received, of queued output and of the bodies of open requests")
                     .Register(*registry_))
    , tableEra_(prometheus::BuildGauge()
                    .Name("goldcrestcleat_table_era")
                    .Help("Era of the store that the version of a table belongs to; rises when the store returns from "
                          "an older copy")
                    .Register(*registry_))
    , tableVersion_(prometheus::BuildGauge()
                        .Name("goldcrestcleat_table_version")
                        .Help("Version of the store up to which all changes of a table are known here")
                        .Register(*registry_))
    , tableBehind_(prometheus::BuildGauge()
                       .Name("goldcrestcleat_table_behind_seconds")
                       .Help("Time since a peer is known to have newer rows of a table; 0 if none has")
                       .Register(*registry_))
    , firstAnswer_(histogram(
          *registry_, "goldcrestcleat_first_answer_seconds", "Time from arrival to the head of the answer, by kind"))
    , longestPause_(&histogram(
          *registry_, "goldcrestcleat_longest_pause_seconds", "Longest pause between two reads of one answer")
                         .Add({}, LATENCY_BUCKETS))
    , addedLatency_(&histogram(
          *registry_, "goldcrestcleat_added_latency_seconds", "Time from arrival to the first byte sent upstream")
                         .Add({}, LATENCY_BUCKETS))
    , iterationDelay_(&histogram(*registry_, "goldcrestcleat_loop_late_seconds", "How late turns of the loop began")
                           .Add({}, LATENCY_BUCKETS))
    , iterationTime_(&histogram(*registry_, "goldcrestcleat_loop_turn_seconds", "How long the handlers of a turn took")
                          .Add({}, LATENCY_BUCKETS))
    , streamedParts_(
          &counter(*registry_, "goldcrestcleat_streamed_parts_total", "Parts of streamed answers passed to callers")
               .Add({}))
    , coldStarts_(
          &counter(*registry_, "goldcrestcleat_cold_starts_total", "Requests sent to servers that are cold or may be")
               .Add({}))
    , evacuated_(gauge(*registry_, "goldcrestcleat_evacuated_data_centres", "Data centres that are evacuated"))
    , openRequests_(gauge(*registry_, "goldcrestcleat_open_requests", "Requests that are not finished"))
    , queueDepth_(gauge(*registry_, "goldcrestcleat_queue_depth", "Ticket requests queued at this daemon's desk"))
    , rememberedChats_(gauge(*registry_, "goldcrestcleat_remembered_chats", "Chats whose engine is remembered here"))
    , configuration_(gauge(*registry_, "goldcrestcleat_configuration_version", "Version of the configuration in force"))
    , peersUp_(gauge(*registry_, "goldcrestcleat_peers_up", "Peers whose link is up"))
    , oldestReport_(gauge(
          *registry_, "goldcrestcleat_oldest_peer_report_seconds", "Age of the oldest report of a peer that is up"))
    , leading_(gauge(*registry_, "goldcrestcleat_leading", "1 if this daemon watches the store for the others"))
{
}

void Metrics::onRequest(const std::string& kind, int resultCode)
{
    prometheus::Counter*& cached = requestCounters_[{ kind, resultCode }];
    if (!cached)
        cached = &requests_.Add(
            { { "kind", kind }, { "code", std::to_string(resultCode) }, { "by", decidedBy(resultCode) } });
    cached->Increment();
}

void Metrics::onPlacement(const std::string& reason, bool isWarm)
{
    placements_.Add({ { "reason", reason }, { "warm", isWarm ? "yes" : "no" } }).Increment();
}

void Metrics::onFirstAnswer(const std::string& kind, double ms)
{
    firstAnswer_.Add({ { "kind", kind } }, LATENCY_BUCKETS).Observe(ms / MS_PER_SECOND);
}

void Metrics::onSharedTokens(const std::string& context, double tokens)
{
    sharedTokens_.Add({ { "context", context } }).Increment(tokens);
}

void Metrics::onStoreCall(const std::string& call, const std::string& outcome)
{
    storeCalls_.Add({ { "call", call }, { "outcome", outcome } }).Increment();
}

void Metrics::onIteration(double lateMs, double durationMs)
{
    iterationDelay_->Observe(lateMs / MS_PER_SECOND);
    iterationTime_->Observe(durationMs / MS_PER_SECOND);
}

void Metrics::onClosedAnswer(bool isServerRunning)
{
    closedAnswers_.Add({ { "server", isServerRunning ? "running" : "ended" } }).Increment();
}

void Metrics::onRetry(const std::string& reason) { retries_.Add({ { "reason", reason } }).Increment(); }

void Metrics::onQuarantineRefusal(const std::string& fingerprint)
{
    quarantineRefusals_.Add({ { "fingerprint", fingerprint } }).Increment();
}

void Metrics::setBan(const std::string& fingerprint, int crashes, int answers)
{
    auto& [crashGauge, answerGauge] = bans_[fingerprint];
    if (!crashGauge) {
        crashGauge = &banCrashes_.Add({ { "fingerprint", fingerprint } });
        answerGauge = &banAnswers_.Add({ { "fingerprint", fingerprint } });
    }
    crashGauge->Set(crashes);
    answerGauge->Set(answers);
}

void Metrics::removeBan(const std::string& fingerprint)
{
    const auto found = bans_.find(fingerprint);
    if (found == bans_.end())
        return;
    banCrashes_.Remove(found->second.first);
    banAnswers_.Remove(found->second.second);
    bans_.erase(found);
}

void Metrics::setControlBytes(const std::string& kind, std::uint64_t total)
{
    increaseTo(controlBytes_.Add({ { "kind", kind } }), total);
}

void Metrics::setEngineLoads(const std::map<std::string, int>& loads)
{
    for (auto it = engineLoads_.begin(); it != engineLoads_.end();) {
        const bool isRemoved = loads.count(it->first) == 0;
        if (isRemoved)
            engineLoad_.Remove(it->second);
        it = isRemoved ? engineLoads_.erase(it) : std::next(it);
    }
    for (const auto& [engine, load] : loads) {
        prometheus::Gauge*& gauge = engineLoads_[engine];
        if (!gauge)
            gauge = &engineLoad_.Add({ { "engine", engine } });
        gauge->Set(load);
    }
}

void Metrics::setRetriesLeft(const std::string& service, double retries)
{
    retriesLeft_.Add({ { "service", service } }).Set(retries);
}

void Metrics::setHeldBytes(const std::string& kind, std::size_t bytes)
{
    heldBytes_.Add({ { "kind", kind } }).Set(static_cast<double>(bytes));
}

void Metrics::setTable(const std::string& table, std::uint64_t era, std::uint64_t version, double behindMs)
{
    tableEra_.Add({ { "table", table } }).Set(static_cast<double>(era));
    tableVersion_.Add({ { "table", table } }).Set(static_cast<double>(version));
    tableBehind_.Add({ { "table", table } }).Set(behindMs / MS_PER_SECOND);
}

void Metrics::setPeers(int up, double oldestReportMs)
{
    peersUp_->Set(up);
    oldestReport_->Set(oldestReportMs / MS_PER_SECOND);
}

void Metrics::setLogLinesLost(std::uint64_t omitted, std::uint64_t dropped)
{
    increaseTo(logLinesLost_.Add({ { "why", "omitted" } }), omitted);
    increaseTo(logLinesLost_.Add({ { "why", "dropped" } }), dropped);
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

} // namespace goldcrestcleat::observe
