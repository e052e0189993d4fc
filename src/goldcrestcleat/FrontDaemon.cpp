#include "goldcrestcleat/FrontDaemon.h"

#include "goldcrestcleat/admission/CrashAttribution.h"
#include "goldcrestcleat/fleet/Membership.h"
#include "goldcrestcleat/gateway/ListenerCapacity.h"
#include "goldcrestcleat/gateway/MetricsGateway.h"
#include "goldcrestcleat/observe/PerSecondSummary.h"
#include "goldcrestcleat/store/CountedStore.h"
#include "goldcrestcleat/store/TableWatcher.h"
#include "goldcrestcleat/upstreams/EvacuationUpdater.h"
#include "goldcrestcleat/upstreams/ReachabilityChecker.h"
#include "goldcrestcleat/upstreams/ServerRegistryUpdater.h"

#include <algorithm>
#include <atomic>
#include <fstream>
#include <iterator>
#include <map>
#include <optional>
#include <set>

namespace goldcrestcleat {

using errors::ResultCode;

namespace {

    constexpr std::size_t MAX_ANSWER_HEAD_BYTES = 32 * 1024;
    constexpr std::size_t MAX_ANSWER_BODY_BYTES = 64 * 1024 * 1024; // a complete stream counts as one body
    constexpr loop::TimeMs CONNECT_TIMEOUT_MS = 400; // TCP retransmits a lost SYN only after 1 s
    constexpr std::size_t CONTEXT_MEMORY_BYTES = 512 * 1024;
    constexpr loop::TimeMs SETTINGS_POLL_INTERVAL_MS = 1'000; // the file may change without a signal to reload it
    constexpr loop::TimeMs STOP_POLL_INTERVAL_MS = 50;
    constexpr loop::TimeMs STOP_FLUSH_MS = 100; // to send the last responses
    constexpr loop::TimeMs SUMMARY_INTERVAL_MS = 1'000;
    constexpr std::size_t MAX_LOGGED_LOADS = 64; // limits the length of the log line

    // Shares of the grace period between the stop signal and the kill. New requests are accepted during the first
    // share, because callers with a cached entry answer still connect; open requests may take until the second.
    constexpr double STOP_ACCEPTING_SHARE = 0.35;
    constexpr double STOP_DEADLINE_SHARE = 0.95;

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

} // namespace

/// The components of a daemon. Each is declared after the components that it refers to.
class FrontDaemon::Components {
public:
    Components(std::string settingsPath, PlatformAdapter adapter)
        : settingsPath_(std::move(settingsPath))
        , settingsText_(readFile(settingsPath_))
        , settings_(settings::loadFrontSettings(settingsPath_))
        , adapter_(std::move(adapter))
        , log_(settings_.self.id, settings_.logLevel, observe::Log::Sink::StandardOutput)
        , random_(std::random_device()())
        , quarantine_(settings_.self.id)
        , contextMemory_(CONTEXT_MEMORY_BYTES)
        , httpClient_(loop_, { MAX_ANSWER_HEAD_BYTES, MAX_ANSWER_BODY_BYTES })
        , store_(store::countCalls(adapter_.makeStore(loop_, settings_.storeAddress),
              [this](const std::string& call, const std::string& outcome) { metrics_.onStoreCall(call, outcome); }))
        , configurationWatcher_(loop_, store_, adapter_.configurationTable,
              watcherHooks(adapter_.configurationTable, [this](const Rows& rows) { onConfigurationRows(rows); }))
        , serversWatcher_(loop_, store_, adapter_.serversTable,
              watcherHooks(adapter_.serversTable, [this](const Rows& rows) { onServerRows(rows); }))
        , serverRegistryUpdater_(loop_, log_, serverRegistry_,
              { adapter_.parseServer, [this] { return membership_.mayHaveExpired(); },
                  [this] { return membership_.mayBeRewritten(); }, [this] { return membership_.storeUnansweredMs(); },
                  [this](routing::NodeKey server) { onServerEnded(server); } })
        , evacuationUpdater_(loop_, log_, serverRegistry_, adapter_.evacuationKeyPrefix)
        , reachabilityChecker_(loop_, httpClient_, serverRegistry_, log_)
        , membership_(loop_, settings_, log_, store_, serverRegistry_, quarantine_,
              { [this] { onPeersChanged(); }, [this](routing::NodeKey server) { onServerUnavailableAtPeer(server); },
                  [this] { return paceTracker_.observedSlow(loop_.now()); },
                  [this](
                      routing::NodeKey server, double slowness) { paceTracker_.report(server, slowness, loop_.now()); },
                  [this](admission::Fingerprint fingerprint) { onBan(fingerprint); },
                  [this](const admission::Verdict& verdict) { fleet::showVerdict(metrics_, verdict); },
                  [this] { updateReadiness(); } })
        , forwardingEnvironment_ { loop_, httpClient_, metrics_, quarantine_, {}, nullptr }
        , routedEnvironment_ { forwardingEnvironment_, settings_, log_, serverRegistry_, paceTracker_,
            serviceDurations_, coldStarts_, retryBudget_, contextMemory_, adapter_.dialect, random_,
            [this] { return membership_.loadAgeMs(); }, [this] { return routesInForce(); },
            [this](routing::NodeKey server) { onConnectFailed(server); },
            [this](routing::NodeKey server) { reachabilityChecker_.suspect(server, Source::Local); },
            [this](const upstreams::ServerInstance& instance) { onServerLeaving(instance); },
            [this](routing::NodeKey server, const admission::InterruptedRun& run, bool wasClosedWhileIdle) {
                crashAttribution_.onAnswerInterrupted(server, run, loop_.now());
                if (!wasClosedWhileIdle) // otherwise the next request to the server detects its end
                    reachabilityChecker_.checkEnded(server);
            } }
        , gateway_(routedEnvironment_, adapter_.entryDialect,
              { [this] { return isReady(); },
                  [this](const std::vector<std::string>& regions) { return membership_.entryAddresses(regions); } })
    {
        connectHooks();
    }

    int run()
    {
        gateway_.start();
        startMetrics();
        configurationWatcher_.start();
        serversWatcher_.start();
        membership_.start();
        loop_.every(SETTINGS_POLL_INTERVAL_MS, [this] { reloadIfChanged(); });
        loop_.every(SUMMARY_INTERVAL_MS, [this] { writeSummary(); });
        log_.info("started", { { "caller", settings_.self.caller }, { "dataCentre", settings_.self.dataCentre } });
        loop_.run();
        log_.info("stopped", { { "open", forwardingEnvironment_.openRequests.size() } });
        return 0;
    }

    void requestStop() { stopRequested_ = true; }
    void requestReload() { reloadRequested_ = true; }

private:
    using Rows = std::vector<store::VersionedRow>;
    using Source = upstreams::ReachabilityChecker::Source;

    store::TableWatcher::Hooks watcherHooks(const std::string& table, std::function<void(const Rows&)> onRows)
    {
        return { std::move(onRows), [this, table](bool isAnswering, const std::string& reason) {
                    onStoreAvailabilityChanged(table, isAnswering, reason);
                } };
    }

    /// Sets the hooks of components that are constructed before the components that the hooks call.
    void connectHooks()
    {
        httpClient_.setConnectTimeout(CONNECT_TIMEOUT_MS);
        loop_.onIteration = [this] { handleSignals(); };
        loop_.onLateIteration = [this](loop::TimeMs lateMs) {
            log_.warn("loop-late", { { "ms", lateMs } });
            coldStarts_.pause(loop_.now()); // requests from before the delay may be sent only now
        };
        coldStarts_.pause(loop_.now()); // an earlier process of this VM may just have started some
        loop_.onIterationEnd = [this](loop::TimeMs lateMs, loop::TimeMs tookMs) {
            metrics_.onIteration(static_cast<double>(lateMs), static_cast<double>(tookMs));
        };
        loop_.onSlowIteration = [this](loop::TimeMs tookMs) {
            log_.infoRateLimited("loop-slow", { { "ms", tookMs } });
        };
        reachabilityChecker_.onUnreachable
            = [this](routing::NodeKey server, Source source) { onServerUnavailable(server, source); };
        reachabilityChecker_.onEnded = [this](routing::NodeKey server) { onServerEnded(server); };
        forwardingEnvironment_.onFinished = [this](const forwarding::RequestSummary& summary) {
            secondSummary_.add(summary.kind, summary.code, summary.timeToHeadMs);
        };
        forwardingEnvironment_.quarantineHooks = membership_.quarantine().requestHooks();
        membership_.shareTable(configurationWatcher_);
        membership_.shareTable(serversWatcher_);
        updateRetryBudget();
    }

    bool isReady() const { return routesInForce() && serversWatcher_.mirror().isLoaded() && !isStopping_; }

    /// Returns null before the verdicts of the quarantine are known: a request that they refuse must not be forwarded.
    routes::RouteTable::Ptr routesInForce() const { return membership_.hasVerdicts() ? routeTable_ : nullptr; }

    void handleSignals()
    {
        if (stopRequested_.exchange(false))
            beginStop();
        if (reloadRequested_.exchange(false))
            reloadIfChanged();
    }

    // ---- configuration and servers ----

    void onConfigurationRows(const Rows& rows)
    {
        evacuationUpdater_.onRows(rows);
        for (const auto& row : rows) {
            if (row.key != adapter_.configurationKey || row.isRemoved)
                continue;
            // Parsed in the next turn, since parsing takes as long as the transfer. A newer row replaces a pending one.
            if (!pendingConfiguration_)
                loop_.after(0, [this] { applyPendingConfiguration(); });
            pendingConfiguration_ = row;
        }
    }

    void applyPendingConfiguration()
    {
        const auto row = std::move(pendingConfiguration_);
        pendingConfiguration_.reset();
        applyConfiguration(*row);
    }

    /// Applies a configuration with a newer version. An invalid document is logged and changes nothing.
    void applyConfiguration(const store::VersionedRow& row)
    {
        try {
            auto routeTable = std::make_shared<routes::RouteTable>(adapter_.parseConfiguration(row.value));
            if (routeTable_ && routeTable->version() <= routeTable_->version()) {
                log_.warn("configuration-ignored",
                    { { "version", routeTable->version() }, { "have", routeTable_->version() } });
                return;
            }
            log_.info("configuration",
                { { "version", routeTable->version() }, { "from", routeTable_ ? routeTable_->version() : 0 },
                    { "routes", routeTable->configuration().routes.size() }, { "row", row.version },
                    { "storeAnswers", configurationWatcher_.isCurrent() } });
            routeTable_ = std::move(routeTable);
            gateway_.setCallerLimits(routeTable_->configuration().limits);
            updateReadiness();
        } catch (const errors::Error& e) {
            log_.error("configuration-invalid", { { "code", static_cast<int>(e.code()) }, { "reason", e.what() } });
        }
    }

    void onServerRows(const Rows& rows)
    {
        serverRegistryUpdater_.onRows(rows, serversWatcher_.mirror().version());
        updateReadiness();
    }

    void onConnectFailed(routing::NodeKey server)
    {
        onServerEnded(server);
        reachabilityChecker_.scheduleCheck(server);
    }

    void onServerLeaving(const upstreams::ServerInstance& instance)
    {
        if (!serverRegistry_.markLeaving(instance))
            return;
        const auto* server = serverRegistry_.find(instance.server);
        log_.info("server-leaving",
            { { "server", server ? server->entry.id : "" }, { "address", instance.address },
                { "startedAtMs", instance.startedAtMs } });
        if (server && !server->entry.isLeaving) // otherwise the peers learn it from the store
            membership_.reportLeaving(instance);
    }

    /// Checks the server if requests of this daemon are open at it; otherwise the next request detects the failure.
    void onServerUnavailableAtPeer(routing::NodeKey key)
    {
        const auto* server = serverRegistry_.find(key);
        if (server && server->localOpen > 0)
            reachabilityChecker_.suspect(key, Source::Peer);
    }

    void onServerUnavailable(routing::NodeKey server, Source source)
    {
        if (source == Source::Local) // a reporting peer has notified all other peers itself
            membership_.reportUnreachable(server);
        const auto openRequests = forwardingEnvironment_.openRequests;
        for (const auto& request : openRequests) {
            if (request->server() == server)
                request->onServerDown();
        }
    }

    /// Reports the requests that are suspected of having crashed a server.
    void onServerEnded(routing::NodeKey server)
    {
        if (const auto report = crashAttribution_.onProcessEnded(server, loop_.now()))
            membership_.quarantine().reportCrash(*report);
    }

    /// Gives up open requests that are refused from now on.
    void onBan(admission::Fingerprint fingerprint)
    {
        const auto openRequests = forwardingEnvironment_.openRequests;
        for (const auto& request : openRequests)
            request->onBan(fingerprint);
    }

    void onStoreAvailabilityChanged(const std::string& table, bool isAnswering, const std::string& reason)
    {
        log_.info(isAnswering ? "store-regained" : "store-lost",
            { { "table", table }, { "reason", reason }, { "version", routeTable_ ? routeTable_->version() : 0 } });
    }

    void updateReadiness() { membership_.setReady(isReady()); }

    void onPeersChanged()
    {
        updateRetryBudget();
        coldStarts_.setDaemons(routing::nodeKey(settings_.self.id), membership_.daemons());
    }

    void updateRetryBudget()
    {
        const auto& bounds = settings_.bounds;
        retryBudget_.setParameters({ bounds.retryRatio, bounds.retryExtra, bounds.retryWindowMs, membership_.size() });
    }

    // ---- settings ----

    void reloadIfChanged()
    {
        std::string text = readFile(settingsPath_);
        if (text == settingsText_)
            return;
        settingsText_ = std::move(text);
        try {
            const auto reloaded = settings::loadFrontSettings(settingsPath_);
            settings_.bounds = reloaded.bounds; // changed addresses take effect at the next start
            updateRetryBudget();
            log_.info("reloaded");
        } catch (const errors::SettingsError& e) {
            log_.error("reload-failed", { { "code", static_cast<int>(e.code()) }, { "reason", e.what() } });
        }
    }

    // ---- metrics ----

    void startMetrics()
    {
        if (settings_.metricsAddress.empty())
            return;
        try {
            metricsGateway_ = std::make_unique<gateway::MetricsGateway>(
                loop_, settings_.metricsAddress, metrics_, [this] { refreshMetrics(); }, [this] { return isReady(); });
            metricsGateway_->limit(
                forwardingEnvironment_.inputMemory, gateway::auxiliaryCapacity(settings_.descriptors));
        } catch (const errors::Error& e) {
            // Without metrics the daemon can still serve callers.
            log_.error("metrics-unavailable", { { "code", static_cast<int>(e.code()) }, { "reason", e.what() } });
        }
    }

    void refreshMetrics()
    {
        std::map<std::string, int> loads;
        std::set<std::string> services;
        for (const auto& [key, server] : serverRegistry_.all()) {
            loads[server.entry.id] = server.load();
            services.insert(server.entry.service);
        }
        metrics_.setEngineLoads(loads);
        for (const auto& service : services)
            metrics_.setRetriesLeft(service, retryBudget_.left(service, loop_.now()));
        metrics_.setConfigurationVersion(routeTable_ ? routeTable_->version() : 0);
        metrics_.setPeers(membership_.peersUp(), static_cast<double>(membership_.oldestReportMs()));
        metrics_.setLeading(membership_.isLeading());
        for (const auto& table : membership_.tables())
            metrics_.setTable(table.table, table.state.era, table.state.version, static_cast<double>(table.behindMs));
        metrics_.setLogLinesLost(log_.omittedLines(), observe::Log::droppedLines());
        metrics_.setEvacuatedDataCentres(serverRegistry_.evacuatedDataCentres().size());
        metrics_.setOpenRequests(static_cast<int>(forwardingEnvironment_.openRequests.size()));
        metrics_.setControlBytes("peer", membership_.bytes());
        metrics_.setHeldBytes("answers", forwardingEnvironment_.answerBuffers->answerBytes());
        metrics_.setHeldBytes("output", loop_.queuedOutput());
        metrics_.setHeldBytes("requests", gateway_.requestBytes());
    }

    /// Logs the results of the requests of the last second and the estimated load of each server.
    void writeSummary()
    {
        if (secondSummary_.isEmpty())
            return;
        nlohmann::json fields = secondSummary_.take();
        nlohmann::json loads = nlohmann::json::object();
        for (const auto& [key, server] : serverRegistry_.all()) {
            if (server.load() > 0 && loads.size() < MAX_LOGGED_LOADS)
                loads[server.entry.id] = server.load();
        }
        fields["loads"] = loads;
        fields["config"] = routeTable_ ? routeTable_->version() : 0;
        fields["peers"] = membership_.peersUp();
        fields["open"] = forwardingEnvironment_.openRequests.size();
        log_.info("second", std::move(fields));
    }

    // ---- planned stop ----

    void beginStop()
    {
        if (isStopping_)
            return;
        isStopping_ = true;
        log_.info("stop-begun", { { "open", forwardingEnvironment_.openRequests.size() } });
        updateReadiness();
        membership_.beginLeaving();
        gateway_.beginStop();
        const auto graceMs = static_cast<double>(settings_.bounds.stopGraceMs);
        const auto acceptingMs = static_cast<loop::TimeMs>(STOP_ACCEPTING_SHARE * graceMs);
        const auto servingMs = static_cast<loop::TimeMs>(STOP_DEADLINE_SHARE * graceMs);
        forwardingEnvironment_.stop = { loop_.now() + acceptingMs, loop_.now() + servingMs };
        loop_.after(acceptingMs, [this] {
            gateway_.closeIdle();
            stopWhenIdle();
        });
        loop_.after(servingMs, [this] { endOpenRequests(); });
        loop_.after(servingMs + STOP_FLUSH_MS, [this] { loop_.stop(); });
    }

    /// Tells the callers of open requests whether these may have been executed.
    void endOpenRequests()
    {
        const auto openRequests = forwardingEnvironment_.openRequests;
        log_.info("stop-ends", { { "open", openRequests.size() } });
        for (const auto& request : openRequests)
            request->onStopEnds();
    }

    void stopWhenIdle()
    {
        gateway_.closeIdle();
        if (forwardingEnvironment_.openRequests.empty() && gateway_.isDrained())
            loop_.stop();
        else
            loop_.after(STOP_POLL_INTERVAL_MS, [this] { stopWhenIdle(); });
    }

    std::string settingsPath_;
    std::string settingsText_;
    settings::FrontSettings settings_;
    PlatformAdapter adapter_;
    loop::EventLoop loop_;
    observe::Log log_;
    observe::Metrics metrics_;
    observe::PerSecondSummary secondSummary_;
    std::mt19937_64 random_;
    upstreams::ServerRegistry serverRegistry_;
    upstreams::PaceTracker paceTracker_;
    routing::ServiceDurations serviceDurations_;
    routing::ColdStartLimiter coldStarts_;
    admission::Quarantine quarantine_;
    admission::CrashAttribution crashAttribution_;
    admission::SharedRetryBudget retryBudget_;
    routing::ChatAffinityCache contextMemory_;
    http::Client httpClient_;
    store::RowStore store_;
    routes::RouteTable::Ptr routeTable_;
    std::optional<store::VersionedRow> pendingConfiguration_; // parsed in the next turn
    store::TableWatcher configurationWatcher_;
    store::TableWatcher serversWatcher_;
    upstreams::ServerRegistryUpdater serverRegistryUpdater_;
    upstreams::EvacuationUpdater evacuationUpdater_;
    upstreams::ReachabilityChecker reachabilityChecker_;
    fleet::Membership membership_;
    forwarding::Environment forwardingEnvironment_;
    forwarding::RoutedEnvironment routedEnvironment_;
    gateway::FrontGateway gateway_;
    std::unique_ptr<gateway::MetricsGateway> metricsGateway_;
    std::atomic<bool> stopRequested_ { false };
    std::atomic<bool> reloadRequested_ { false };
    bool isStopping_ = false;
};

FrontDaemon::FrontDaemon(std::string settingsPath, PlatformAdapter adapter)
    : components_(std::make_unique<Components>(std::move(settingsPath), std::move(adapter)))
{
}

FrontDaemon::~FrontDaemon() = default;

int FrontDaemon::run() { return components_->run(); }

void FrontDaemon::requestStop() { components_->requestStop(); }

void FrontDaemon::requestReload() { components_->requestReload(); }

} // namespace goldcrestcleat
