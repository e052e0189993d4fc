#include "goldcrestcleat/Daemon.h"

#include "goldcrestcleat/fleet/ConfigStore.h"
#include "goldcrestcleat/fleet/Fleet.h"
#include "goldcrestcleat/gateway/AdminGateway.h"
#include "goldcrestcleat/gateway/CallerGateway.h"
#include "goldcrestcleat/gateway/ListenerCapacity.h"
#include "goldcrestcleat/gateway/MetricsGateway.h"
#include "goldcrestcleat/requests/ChatCompletion.h"
#include "goldcrestcleat/requests/Claims.h"
#include "goldcrestcleat/store/VmList.h"

#include <atomic>
#include <csignal>

namespace goldcrestcleat {

namespace {

    constexpr loop::TimeMs DRAIN_POLL_INTERVAL_MS = 50;
    constexpr std::size_t MAX_ENGINE_HEAD_BYTES = 16 * 1024;

} // namespace

/// The components of a daemon. Each is declared after the components that it refers to.
class Daemon::Components {
public:
    explicit Components(settings::Settings s)
        : settings_(std::move(s))
        , log_(settings_.self.id, settings_.logLevel)
        , random_(std::random_device()())
        , loadView_(settings_.routing.meanWindowMs)
        , directory_(settings_, loadView_)
        , profiles_(settings_.profiles)
        , affinityTokenSigner_(settings_.fleetSecret)
        , quarantine_(settings_.self.id)
        , httpClient_(loop_, { MAX_ENGINE_HEAD_BYTES, settings_.answerBytes })
        , tableClient_(loop_, settings_.platformAddress, settings_.timeouts.platformMs)
        , configStore_(loop_, tableClient_, configCache_)
        , claims_(loop_, tableClient_)
        , fleet_(loop_, settings_, log_, directory_, loadView_, configCache_, configStore_, quarantine_)
        , prober_(loop_, directory_, proberHooks())
        , vmListWatcher_(loop_, settings_.platformAddress, settings_.timeouts.platformMs,
              [this](const std::vector<store::VmEntry>& entries) { onVmList(entries); })
        , forwardingEnvironment_ { loop_, httpClient_, metrics_, quarantine_, {}, nullptr }
        , requestEnvironment_ { loop_, settings_, log_, metrics_, explanations_, httpClient_, directory_, prober_,
            loadView_, fleet_, quarantine_, retryBudget_, openCounts_, affinityTokenSigner_, claims_, random_,
            forwardingEnvironment_ }
        , callerGateway_(requestEnvironment_, profiles_)
        , adminGateway_(requestEnvironment_, configStore_, configCache_, profiles_)
    {
        connectHooks();
    }

    int run()
    {
        fleet_.start();
        callerGateway_.start();
        adminGateway_.start();
        metricsGateway_ = std::make_unique<gateway::MetricsGateway>(
            loop_, settings_.metricsAddress, metrics_, [this] { refreshMetrics(); },
            [this] { return fleet_.isReady(); });
        metricsGateway_->limit(
            forwardingEnvironment_.inputMemory, gateway::auxiliaryCapacity(gateway::descriptorLimit()));
        configStore_.start();
        vmListWatcher_.start();
        prober_.start();
        log_.info("started", { { "caller", settings_.self.caller } });
        loop_.run();
        log_.info("stopped");
        return 0;
    }

    void requestStop() { stopRequested_ = true; }

private:
    upstreams::Prober::Hooks proberHooks()
    {
        return { [this](routing::NodeKey key) { return fleet_.isOwner(key); },
            [this](routing::NodeKey key, int running) { fleet_.tickets().onReport(key, running); },
            [this](const upstreams::Upstream& upstream) { fleet_.announce(upstream); } };
    }

    /// Sets the hooks of components that are constructed before the components that the hooks call.
    void connectHooks()
    {
        configCache_.onChange = [this](const fleet::ConfigCache::Item& item) { onConfigChanged(item); };
        fleet_.onVerdict = [this](const admission::Verdict& verdict) { fleet::showVerdict(metrics_, verdict); };
        fleet_.onBan = [this](admission::Fingerprint fingerprint) { onBan(fingerprint); };
        forwardingEnvironment_.quarantineHooks = fleet_.quarantine().requestHooks();
        directory_.onChange = [this](const upstreams::Upstream& upstream) { onUpstreamChanged(upstream); };
        fleet_.tickets().onMove
            = [this](routing::NodeKey engine) { requests::moveYoungestStreamFrom(forwardingEnvironment_, engine); };
        loop_.onLateIteration = [this](loop::TimeMs lateMs) { onLateIteration(lateMs); };
        loop_.onIteration = [this] {
            if (stopRequested_.exchange(false))
                beginStop("signal");
        };
    }

    void onVmList(const std::vector<store::VmEntry>& entries)
    {
        directory_.applyVmList(entries);
        fleet_.onUpstreamsChanged();
    }

    void onUpstreamChanged(const upstreams::Upstream& upstream)
    {
        log_.info("upstream",
            { { "id", upstream.id }, { "takesWork", upstream.acceptsRequests() },
                { "retired", upstream.unavailability.retired }, { "leaving", upstream.unavailability.leaving },
                { "down", upstream.unavailability.down } });
        if (upstream.unavailability.leaving)
            fleet_.announce(upstream);
    }

    void onConfigChanged(const fleet::ConfigCache::Item& item)
    {
        if (item.kind == fleet::PROFILE_KIND)
            profiles_.apply(item.id, item.version, item.value);
        else if (item.kind == fleet::UPSTREAM_KIND)
            directory_.setRetired(item.id, item.value.value("retired", false));
        else if (item.kind == fleet::QUARANTINE_KIND)
            onVerdictSaved(item);
        else if (item.kind == fleet::STOP_KIND && item.id == settings_.self.id)
            onStopChanged(item.value.value("planned", false));
    }

    void onVerdictSaved(const fleet::ConfigCache::Item& item)
    {
        try {
            fleet_.quarantine().load({ admission::parseVerdict(item.value) });
        } catch (const std::exception& e) {
            log_.warn("quarantine-row-unreadable", { { "key", item.id }, { "reason", e.what() } });
        }
    }

    /// Gives up open requests that are refused from now on.
    void onBan(admission::Fingerprint fingerprint)
    {
        const auto openRequests = forwardingEnvironment_.openRequests;
        for (const auto& request : openRequests)
            request->onBan(fingerprint);
    }

    /// Ignores stops that were planned before this process became ready: they were meant for an earlier process.
    void onStopChanged(bool isPlanned)
    {
        if (!fleet_.isReady())
            return;
        if (isPlanned)
            beginStop("operator");
        else
            cancelStop();
    }

    void beginStop(const std::string& initiator)
    {
        if (isStopping_)
            return;
        isStopping_ = true;
        log_.info("stop-begun", { { "by", initiator } });
        fleet_.beginLeaving();
        // Callers may cache an entry answer for its time to live, and may connect here until it has expired.
        drainTimer_ = loop_.after(settings_.timeouts.entryTtlMs, [this] {
            callerGateway_.closeListener();
            stopWhenIdle();
        });
    }

    void cancelStop()
    {
        if (!isStopping_ || isDraining_)
            return;
        isStopping_ = false;
        loop_.cancel(drainTimer_);
        fleet_.cancelLeaving();
        log_.info("stop-cancelled");
    }

    void stopWhenIdle()
    {
        isDraining_ = true;
        if (openCounts_.total() == 0 && callerGateway_.isDrained()) {
            loop_.stop();
            return;
        }
        loop_.after(DRAIN_POLL_INTERVAL_MS, [this] { stopWhenIdle(); });
    }

    void onLateIteration(loop::TimeMs lateMs)
    {
        if (lateMs > settings_.timeouts.peerSilenceMs)
            fleet_.onResume();
    }

    void refreshMetrics()
    {
        std::map<std::string, int> loads;
        for (const auto* upstream : directory_.all()) {
            if (const auto* entry = loadView_.find(upstream->key))
                loads[upstream->id] = entry->load;
        }
        metrics_.setEngineLoads(loads);
        metrics_.setOpenRequests(openCounts_.total());
        metrics_.setQueueDepth(fleet_.tickets().admissionController().queued());
        metrics_.setRememberedChats(fleet_.rememberedChats());
        metrics_.setControlBytes("peer", fleet_.links().rawBytes());
        metrics_.setControlBytes("probe", prober_.bytes());
        metrics_.setControlBytes("platform", tableClient_.bytes() + vmListWatcher_.bytes());
        for (const auto& [kind, traffic] : fleet_.links().sent())
            metrics_.setControlBytes("peer-sent-" + kind, traffic.bytes);
        for (const auto& [kind, traffic] : fleet_.links().received())
            metrics_.setControlBytes("peer-received-" + kind, traffic.bytes);
    }

    settings::Settings settings_;
    loop::EventLoop loop_;
    observe::Log log_;
    observe::Metrics metrics_;
    observe::Explanations explanations_;
    std::mt19937_64 random_;
    routing::LoadView loadView_;
    upstreams::UpstreamDirectory directory_;
    profiles::ProfileRegistry profiles_;
    routing::AffinityTokenSigner affinityTokenSigner_;
    admission::Quarantine quarantine_;
    admission::RetryBudget retryBudget_;
    admission::OpenCounts openCounts_;
    http::Client httpClient_;
    store::TableClient tableClient_;
    fleet::ConfigCache configCache_;
    fleet::ConfigStore configStore_;
    requests::Claims claims_;
    fleet::Fleet fleet_;
    upstreams::Prober prober_;
    store::VmListWatcher vmListWatcher_;
    forwarding::Environment forwardingEnvironment_;
    requests::Environment requestEnvironment_;
    gateway::CallerGateway callerGateway_;
    gateway::AdminGateway adminGateway_;
    std::unique_ptr<gateway::MetricsGateway> metricsGateway_;
    std::atomic<bool> stopRequested_ { false };
    bool isStopping_ = false;
    bool isDraining_ = false;
    loop::EventLoop::TimerId drainTimer_ = 0;
};

Daemon::Daemon(settings::Settings settings)
    : components_(std::make_unique<Components>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

int Daemon::run() { return components_->run(); }

void Daemon::requestStop() { components_->requestStop(); }

} // namespace goldcrestcleat
