#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace goldcrestcleat::observe {

/// The daemon's metrics, kept by prometheus-cpp and served as text.
class Metrics {
public:
    Metrics();

    /// Counts a finished request. `kind` is "chat", "service" or "entry".
    void onRequest(const std::string& kind, int resultCode);

    /// Records the time from a request's arrival to its first byte sent upstream, in ms.
    void onAddedLatency(double ms) { addedLatency_->Observe(ms / 1000.0); }

    /// Counts a chat's placement by reason, and whether the engine was expected to hold its context.
    void onPlacement(const std::string& reason, bool isWarm);

    void onRetry(const std::string& reason);
    void onStreamedToken() { tokens_->Increment(); }

    /// Sets a total of control bytes; `kind` is as in "peer", "probe" or "platform".
    void setControlBytes(const std::string& kind, std::uint64_t total);

    void setEngineLoad(const std::string& engine, int load);
    void setOpenRequests(int count) { openRequests_->Set(count); }
    void setQueueDepth(std::size_t count) { queueDepth_->Set(static_cast<double>(count)); }
    void setRememberedChats(std::size_t count) { rememberedChats_->Set(static_cast<double>(count)); }

    /// Returns all metrics in the text exposition format.
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& placements_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& controlBytes_;
    prometheus::Family<prometheus::Gauge>& engineLoad_;
    prometheus::Histogram* addedLatency_;
    prometheus::Counter* tokens_;
    prometheus::Gauge* openRequests_;
    prometheus::Gauge* queueDepth_;
    prometheus::Gauge* rememberedChats_;
    std::map<std::pair<std::string, int>, prometheus::Counter*> requestCounters_;
};

} // namespace goldcrestcleat::observe
