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

/// The metrics of a daemon, in a prometheus-cpp registry.
class Metrics {
public:
    Metrics();

    /// Counts a finished request. `kind` is one of a small set of values, such as "chat" or "idempotent".
    void onRequest(const std::string& kind, int resultCode);

    /// Records the time from a request's arrival to the response head, in ms.
    void onFirstAnswer(const std::string& kind, double ms);

    /// Records the longest pause between two reads of one response, in ms.
    void onLongestPause(double ms) { longestPause_->Observe(ms / MS_PER_SECOND); }

    /// Records the time from a request's arrival to its first byte sent upstream, in ms.
    void onAddedLatency(double ms) { addedLatency_->Observe(ms / MS_PER_SECOND); }

    /// Counts a chat's placement by reason and by whether the engine was expected to have its context cached.
    void onPlacement(const std::string& reason, bool isWarm);

    /// Counts prompt tokens shared between requests. `context` is the expected cache state: warm, fetched or cold.
    void onSharedTokens(const std::string& context, double tokens);

    void onRetry(const std::string& reason);

    /// Counts a response without a length that ended with its connection, by whether its server was still running.
    void onClosedAnswer(bool isServerRunning);

    /// Counts a request that is sent to a server which is cold or may be.
    void onColdStart() { coldStarts_->Increment(); }

    /// Sets the number of data centres that are evacuated, as this daemon knows.
    void setEvacuatedDataCentres(std::size_t count) { evacuated_->Set(static_cast<double>(count)); }

    /// Counts a request that is refused because it crashes servers, by the fingerprint that is banned.
    void onQuarantineRefusal(const std::string& fingerprint);

    /// Sets what is known of a banned fingerprint: the crashes at which it was present, and the answers since.
    void setBan(const std::string& fingerprint, int crashes, int answers);

    /// Removes the gauges of a fingerprint that is no longer banned.
    void removeBan(const std::string& fingerprint);

    /// Counts a call to the store. `call` is "read", "watch" or "commit".
    void onStoreCall(const std::string& call, const std::string& outcome);

    /// Records an iteration of the event loop: the delay of its start and the time its handlers took, in ms.
    void onIteration(double lateMs, double durationMs);

    void onStreamedPart() { streamedParts_->Increment(); }

    /// Sets the total bytes of control traffic. `kind` is for example "peer", "probe" or "platform".
    void setControlBytes(const std::string& kind, std::uint64_t total);

    /// Sets the loads of all engines and servers, and removes the gauges of those not listed.
    void setEngineLoads(const std::map<std::string, int>& loads);

    /// Sets the number of retries that a service has left.
    void setRetriesLeft(const std::string& service, double retries);

    void setConfigurationVersion(std::uint64_t version) { configuration_->Set(static_cast<double>(version)); }

    /// Sets the number of peers that are up and the age of the oldest among their latest reports, in ms.
    void setPeers(int up, double oldestReportMs);

    /// Sets whether this daemon watches the tables of the store for the others.
    void setLeading(bool isLeading) { leading_->Set(isLeading ? 1 : 0); }

    /// Sets the era and the version of the copy of a table, and for how long a peer has been known to have newer rows,
    /// in ms.
    void setTable(const std::string& table, std::uint64_t era, std::uint64_t version, double behindMs);

    /// Sets the totals of log lines not written: omitted to limit the volume, or dropped because the reader was slow.
    void setLogLinesLost(std::uint64_t omitted, std::uint64_t dropped);

    /// Sets the memory of buffers. `kind` is "answers" being received, "output" of connections or bodies of "requests".
    void setHeldBytes(const std::string& kind, std::size_t bytes);

    void setOpenRequests(int count) { openRequests_->Set(count); }
    void setQueueDepth(std::size_t count) { queueDepth_->Set(static_cast<double>(count)); }
    void setRememberedChats(std::size_t count) { rememberedChats_->Set(static_cast<double>(count)); }

    /// Returns all metrics in the text exposition format.
    std::string text() const;

private:
    static constexpr double MS_PER_SECOND = 1'000;

    using CounterFamily = prometheus::Family<prometheus::Counter>;
    using HistogramFamily = prometheus::Family<prometheus::Histogram>;

    std::shared_ptr<prometheus::Registry> registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Counter>& placements_;
    prometheus::Family<prometheus::Counter>& retries_;
    prometheus::Family<prometheus::Counter>& controlBytes_;
    CounterFamily& sharedTokens_;
    CounterFamily& storeCalls_;
    CounterFamily& closedAnswers_;
    CounterFamily& logLinesLost_;
    CounterFamily& quarantineRefusals_;
    prometheus::Family<prometheus::Gauge>& banCrashes_;
    prometheus::Family<prometheus::Gauge>& banAnswers_;
    prometheus::Family<prometheus::Gauge>& engineLoad_;
    prometheus::Family<prometheus::Gauge>& retriesLeft_;
    prometheus::Family<prometheus::Gauge>& heldBytes_;
    prometheus::Family<prometheus::Gauge>& tableEra_;
    prometheus::Family<prometheus::Gauge>& tableVersion_;
    prometheus::Family<prometheus::Gauge>& tableBehind_;
    HistogramFamily& firstAnswer_;
    prometheus::Histogram* longestPause_;
    prometheus::Histogram* addedLatency_;
    prometheus::Histogram* iterationDelay_;
    prometheus::Histogram* iterationTime_;
    prometheus::Counter* streamedParts_;
    prometheus::Counter* coldStarts_;
    prometheus::Gauge* evacuated_;
    prometheus::Gauge* openRequests_;
    prometheus::Gauge* queueDepth_;
    prometheus::Gauge* rememberedChats_;
    prometheus::Gauge* configuration_;
    prometheus::Gauge* peersUp_;
    prometheus::Gauge* oldestReport_;
    prometheus::Gauge* leading_;
    std::map<std::string, prometheus::Gauge*> engineLoads_;
    std::map<std::string, std::pair<prometheus::Gauge*, prometheus::Gauge*>> bans_; // crashes and answers
    std::map<std::pair<std::string, int>, prometheus::Counter*> requestCounters_;
};

} // namespace goldcrestcleat::observe
