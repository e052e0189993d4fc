#include "goldcrestcleat/Daemon.h"

#include "goldcrestcleat/fleet/ConfigStore.h"
#include "goldcrestcleat/fleet/Fleet.h"
#include "goldcrestcleat/gateway/AdminGateway.h"
#include "goldcrestcleat/gateway/CallerGateway.h"
#include "goldcrestcleat/gateway/MetricsGateway.h"
#include "goldcrestcleat/requests/ChatCompletion.h"
#include "goldcrestcleat/requests/Claims.h"
#include "goldcrestcleat/store/VmList.h"

#include <atomic>
#include <csignal>

namespace goldcrestcleat {

namespace {

    constexpr loop::TimeMs DRAIN_CHECK_MS = 50;
    constexpr std::size_t ENGINE_HEAD_BYTES = 16 * 1024;

} // namespace

/// All parts of a daemon, in the order in which they depend on each other.
class Daemon::Parts {
public:
    explicit Parts(settings::Settings s)
        : settings_(std::move(s))
        , log_(settings_.self.id, settings_.logLevel)
        , random_(std::random_device()())
        , view_(settings_.routing.meanWindowMs)
        , directory_(settings_, view_)
        , profiles_(settings_.profiles)
        , hints_(settings_.fleetSecret)
        , client_(loop_, { ENGINE_HEAD_BYTES, settings_.answerBytes })
        , table_(loop_, settings_.platformAddress, settings_.timeouts.platformMs)
        , store_(loop_, table_, book_)
        , claims_(loop_, table_)
        , fleet_(loop_, settings_, log_, directory_, view_, book_, store_, quarantine_)
        , prober_(loop_, directory_, proberHooks())
        , vmList_(loop_, settings_.platformAddress, settings_.timeouts.platformMs,
              [this](const std::vector<store::VmEntry>& entries) { onVmList(entries); })
        , forwarding_ { loop_, client_, metrics_, quarantine_, {}, nullptr }
        , env_ { loop_, settings_, log_, metrics_, explanations_, client_, directory_, prober_, view_, fleet_,
            quarantine_, retryBudget_, openCounts_, hints_, claims_, random_, forwarding_ }
        , callers_(env_, profiles_)
        , admin_(env_, store_, book_, profiles_)
    {
        joinParts();
    }

    int run()
    {
        fleet_.start();
        callers_.start();
        admin_.start();
        metricsGateway_ = std::make_unique<gateway::MetricsGateway>(
            loop_, settings_.metricsAddress, metrics_, [this] { refreshMetrics(); },
            [this] { return fleet_.isReady(); });
        store_.start();
        vmList_.start();
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
        return { [this](routing::NodeKey key) { return fleet_.isHome(key); },
            [this](routing::NodeKey key, int running) { fleet_.tickets().onReport(key, running); },
            [this](const upstreams::Upstream& upstream) { fleet_.announce(upstream); } };
    }

    /// Connects the hooks of parts that were made before those that they call.
    void joinParts()
    {
        book_.onChange = [this](const fleet::ConfigBook::Item& item) { onConfig(item); };
        directory_.onChange = [this](const upstreams::Upstream& upstream) { onUpstream(upstream); };
        fleet_.tickets().onMove = [this](routing::NodeKey engine) { requests::moveOneFrom(forwarding_, engine); };
        loop_.onLateTurn = [this](loop::TimeMs lateMs) { onLateTurn(lateMs); };
        loop_.onTurn = [this] {
            if (stopRequested_.exchange(false))
                beginStop("signal");
        };
    }

    void onVmList(const std::vector<store::VmEntry>& entries)
    {
        directory_.applyVmList(entries);
        fleet_.onUpstreamsChanged();
    }

    void onUpstream(const upstreams::Upstream& upstream)
    {
        log_.info("upstream",
            { { "id", upstream.id }, { "takesWork", upstream.takesWork() },
                { "retired", upstream.unavailability.retired }, { "leaving", upstream.unavailability.leaving },
                { "down", upstream.unavailability.down } });
        if (upstream.unavailability.leaving)
            fleet_.announce(upstream);
    }

    void onConfig(const fleet::ConfigBook::Item& item)
    {
        if (item.kind == fleet::PROFILE_KIND)
            profiles_.apply(item.id, item.version, item.value);
        else if (item.kind == fleet::UPSTREAM_KIND)
            directory_.setRetired(item.id, item.value.value("retired", false));
        else if (item.kind == fleet::STOP_KIND && item.id == settings_.self.id)
            onStopItem(item.value.value("planned", false));
    }

    /// Stops that were planned before this process was ready were meant for an earlier one.
    void onStopItem(bool planned)
    {
        if (!fleet_.isReady())
            return;
        if (planned)
            beginStop("operator");
        else
            cancelStop();
    }

    void beginStop(const std::string& by)
    {
        if (isStopping_)
            return;
        isStopping_ = true;
        log_.info("stop-begun", { { "by", by } });
        fleet_.beginLeaving();
        // Callers may keep their entry answer for its time to live and still come here.
        drainTimer_ = loop_.after(settings_.timeouts.entryTtlMs, [this] {
            callers_.closeListener();
            drain();
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

    void drain()
    {
        isDraining_ = true;
        if (openCounts_.total() == 0 && callers_.isQuiet()) {
            loop_.stop();
            return;
        }
        loop_.after(DRAIN_CHECK_MS, [this] { drain(); });
    }

    void onLateTurn(loop::TimeMs lateMs)
    {
        if (lateMs > settings_.timeouts.peerSilenceMs)
            fleet_.onResume();
    }

    void refreshMetrics()
    {
        std::map<std::string, int> loads;
        for (const auto* upstream : directory_.all()) {
            if (const auto* entry = view_.find(upstream->key))
                loads[upstream->id] = entry->load;
        }
        metrics_.setEngineLoads(loads);
        metrics_.setOpenRequests(openCounts_.total());
        metrics_.setQueueDepth(fleet_.tickets().desk().queued());
        metrics_.setRememberedChats(fleet_.rememberedChats());
        metrics_.setControlBytes("peer", fleet_.links().rawBytes());
        metrics_.setControlBytes("probe", prober_.bytes());
        metrics_.setControlBytes("platform", table_.bytes() + vmList_.bytes());
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
    routing::LoadView view_;
    upstreams::UpstreamDirectory directory_;
    profiles::ProfileBook profiles_;
    routing::HintSealer hints_;
    admission::Quarantine quarantine_;
    admission::RetryBudget retryBudget_;
    admission::OpenCounts openCounts_;
    http::Client client_;
    store::TableClient table_;
    fleet::ConfigBook book_;
    fleet::ConfigStore store_;
    requests::Claims claims_;
    fleet::Fleet fleet_;
    upstreams::Prober prober_;
    store::VmListWatcher vmList_;
    forwarding::Environment forwarding_;
    requests::Environment env_;
    gateway::CallerGateway callers_;
    gateway::AdminGateway admin_;
    std::unique_ptr<gateway::MetricsGateway> metricsGateway_;
    std::atomic<bool> stopRequested_ { false };
    bool isStopping_ = false;
    bool isDraining_ = false;
    loop::EventLoop::TimerId drainTimer_ = 0;
};

Daemon::Daemon(settings::Settings settings)
    : parts_(std::make_unique<Parts>(std::move(settings)))
{
}

Daemon::~Daemon() = default;

int Daemon::run() { return parts_->run(); }

void Daemon::requestStop() { parts_->requestStop(); }

} // namespace goldcrestcleat
