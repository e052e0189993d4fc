#include "goldcrestcleat/observe/Metrics.h"

#include <prometheus/text_serializer.h>

namespace goldcrestcleat::observe {

namespace {

    // Upper bounds of the added-latency histogram, in seconds.
    const prometheus::Histogram::BucketBoundaries LATENCY_BUCKETS
        = { 0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30, 60 };

    prometheus::Family<prometheus::Counter>& counter(prometheus::Registry& registry, const char* name, const char* help)
    {
        return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
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
    , engineLoad_(prometheus::BuildGauge()
                      .Name("goldcrestcleat_engine_load")
                      .Help("Requests on an engine, as known here")
                      .Register(*registry_))
    , addedLatency_(&prometheus::BuildHistogram()
                         .Name("goldcrestcleat_added_latency_seconds")
                         .Help("Time from arrival to the first byte sent upstream")
                         .Register(*registry_)
                         .Add({}, LATENCY_BUCKETS))
    , tokens_(&counter(*registry_, "goldcrestcleat_streamed_parts_total", "Parts of streamed answers passed to callers")
                   .Add({}))
    , openRequests_(gauge(*registry_, "goldcrestcleat_open_requests", "Requests that are not finished"))
    , queueDepth_(gauge(*registry_, "goldcrestcleat_queue_depth", "Ticket requests queued at this daemon's desk"))
    , rememberedChats_(gauge(*registry_, "goldcrestcleat_remembered_chats", "Chats whose engine is remembered here"))
{
}

void Metrics::onRequest(const std::string& kind, int resultCode)
{
    prometheus::Counter*& cached = requestCounters_[{ kind, resultCode }];
    if (!cached)
        cached = &requests_.Add({ { "kind", kind }, { "code", std::to_string(resultCode) } });
    cached->Increment();
}

void Metrics::onPlacement(const std::string& reason, bool isWarm)
{
    placements_.Add({ { "reason", reason }, { "warm", isWarm ? "yes" : "no" } }).Increment();
}

void Metrics::onRetry(const std::string& reason) { retries_.Add({ { "reason", reason } }).Increment(); }

void Metrics::setControlBytes(const std::string& kind, std::uint64_t total)
{
    auto& bytes = controlBytes_.Add({ { "kind", kind } });
    const double grown = static_cast<double>(total) - bytes.Value();
    if (grown > 0)
        bytes.Increment(grown);
}

void Metrics::setEngineLoad(const std::string& engine, int load)
{
    engineLoad_.Add({ { "engine", engine } }).Set(load);
}

std::string Metrics::text() const { return prometheus::TextSerializer().Serialize(registry_->Collect()); }

} // namespace goldcrestcleat::observe
