#include "goldcrestcleat/FrontDaemon.h"

#include "goldcrestcleat/admission/CrashEvidence.h"
#include "goldcrestcleat/fleet/Membership.h"
#include "goldcrestcleat/gateway/MetricsGateway.h"
#include "goldcrestcleat/observe/SecondSummary.h"
#include "goldcrestcleat/store/CountedStore.h"
#include "goldcrestcleat/store/TableWatcher.h"
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

    constexpr std::size_t ANSWER_HEAD_BYTES = 32 * 1024;
    constexpr std::size_t ANSWER_BODY_BYTES = 64 * 1024 * 1024; // streams count as one body
    constexpr loop::TimeMs CONNECT_TIMEOUT_MS = 400; // the first packet is sent again only after a second
    constexpr std::size_t CONTEXT_MEMORY_BYTES = 512 * 1024;
    constexpr loop::TimeMs FIRST_BAN_MS = 20'000; // a request that crashes servers runs twice a minute at most
    constexpr loop::TimeMs SETTINGS_CHECK_MS = 1'000; // a changed file may come without a signal
    constexpr loop::TimeMs STOP_CHECK_MS = 50;
    constexpr loop::TimeMs SUMMARY_MS = 1'000;
    constexpr std::size_t MAX_LOADS_LOGGED = 64; // bounds the line of a second

    // Shares of the time between the stop signal and the kill. Callers with an old entry answer still come during the
    // first part; what has begun by then has the rest to end.
    constexpr double STOP_ACCEPTING_SHARE = 0.35;
    constexpr double STOP_LATEST_SHARE = 0.95;

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

} // namespace

/// All parts of a daemon, in the order in which they depend on each other.
class FrontDaemon::Parts {
public:
    Parts(std::string settingsPath, FrontPorts ports)
        : settingsPath_(std::move(settingsPath))
        , settingsText_(readFile(settingsPath_))
        , settings_(settings::loadFrontSettings(settingsPath_))
        , ports_(std::move(ports))
        , log_(settings_.self.id, settings_.logLevel, observe::Log::Sink::StandardOutput)
        , random_(std::random_device()())
        , quarantine_(FIRST_BAN_MS)
        , contexts_(CONTEXT_MEMORY_BYTES)
        , client_(loop_, { ANSWER_HEAD_BYTES, ANSWER_BODY_BYTES })
        , store_(store::countCalls(ports_.makeStore(loop_, settings_.storeAddress),
              [this](const std::string& call, const std::string& outcome) { metrics_.onStoreCall(call, outcome); }))
        , configurationWatch_(loop_, store_, ports_.configurationTable,
              watchHooks(ports_.configurationTable, [this](const Rows& rows) { onConfigurationRows(rows); }))
        , serversWatch_(loop_, store_, ports_.serversTable,
              watchHooks(ports_.serversTable, [this](const Rows& rows) { onServerRows(rows); }))
        , serverFeed_(loop_, log_, servers_,
              { ports_.parseServer, [this] { return removalPolicy(); },
                  [this](routing::NodeKey server) { onServerEnded(server); } })
        , checks_(loop_, client_, servers_, log_)
        , membership_(loop_, settings_, log_, store_, servers_, quarantine_,
              { [this] { updateBudget(); }, [this](routing::NodeKey server) { onPeerLostServer(server); } })
        , requests_ { loop_, client_, metrics_, quarantine_, {}, nullptr }
        , env_ { requests_, settings_, log_, servers_, retryBudget_, contexts_, ports_.dialect, random_,
            [this] { return routes_; }, [this](routing::NodeKey server) { onServerUnreachable(server); },
            [this](routing::NodeKey server) { checks_.suspect(server, Source::Local); },
            [this](routing::NodeKey server, admission::Fingerprint fingerprint, std::uint64_t crashId) {
                crashEvidence_.onBroken(server, fingerprint, crashId, loop_.now());
            },
            [this](admission::Fingerprint fingerprint) { membership_.forgive(fingerprint); } }
        , gateway_(
              env_, ports_.entry, { [this] { return isReady(); }, [this] { return membership_.entryAddresses(); } })
    {
        joinParts();
    }

    int run()
    {
        gateway_.start();
        startMetrics();
        configurationWatch_.start();
        serversWatch_.start();
        membership_.start();
        loop_.every(SETTINGS_CHECK_MS, [this] { reloadIfChanged(); });
        loop_.every(SUMMARY_MS, [this] { writeSummary(); });
        log_.info("started", { { "caller", settings_.self.caller }, { "dataCentre", settings_.self.dataCentre } });
        loop_.run();
        log_.info("stopped", { { "open", requests_.openRequests.size() } });
        return 0;
    }

    void requestStop() { stopRequested_ = true; }
    void requestReload() { reloadRequested_ = true; }

private:
    using Rows = std::vector<store::VersionedRow>;
    using Source = upstreams::ReachabilityChecker::Source;

    store::TableWatcher::Hooks watchHooks(const std::string& table, std::function<void(const Rows&)> onRows)
    {
        return { std::move(onRows), [this, table](bool isAnswering, const std::string& reason) {
                    onStoreContact(table, isAnswering, reason);
                } };
    }

    /// Connects the hooks of parts that were made before those that they call.
    void joinParts()
    {
        client_.setConnectTimeout(CONNECT_TIMEOUT_MS);
        loop_.onTurn = [this] { handleSignals(); };
        loop_.onLateTurn = [this](loop::TimeMs lateMs) { log_.warn("loop-late", { { "ms", lateMs } }); };
        loop_.onTurnEnd = [this](loop::TimeMs lateMs, loop::TimeMs tookMs) {
            metrics_.onTurn(static_cast<double>(lateMs), static_cast<double>(tookMs));
        };
        loop_.onSlowTurn = [this](loop::TimeMs tookMs) { log_.decision("loop-slow", { { "ms", tookMs } }); };
        checks_.onUnreachable = [this](routing::NodeKey server, Source source) { onServerDown(server, source); };
        servers_.isStoreUnavailable = [this] { return isStoreUnavailable(); };
        requests_.onFinished = [this](const forwarding::RequestSummary& summary) {
            second_.add(summary.kind, summary.code, summary.timeToHeadMs);
        };
        membership_.share(configurationWatch_);
        membership_.share(serversWatch_);
        updateBudget();
    }

    bool isReady() const { return routes_ && serversWatch_.mirror().isLoaded() && !isStopping_; }

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
        for (const auto& row : rows) {
            if (row.key != ports_.configurationKey || row.isRemoved)
                continue;
            // Read in a turn of its own: a large document takes as long as its transfer did. The newest row wins.
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

    /// Puts a newer version in force; a document that can't be read changes nothing.
    void applyConfiguration(const store::VersionedRow& row)
    {
        try {
            auto book = std::make_shared<routes::RouteBook>(ports_.parseConfiguration(row.value));
            if (routes_ && book->version() <= routes_->version()) {
                log_.warn("configuration-ignored", { { "version", book->version() }, { "have", routes_->version() } });
                return;
            }
            log_.info("configuration",
                { { "version", book->version() }, { "from", routes_ ? routes_->version() : 0 },
                    { "routes", book->configuration().routes.size() }, { "row", row.version },
                    { "storeAnswers", configurationWatch_.isCurrent() } });
            routes_ = std::move(book);
            gateway_.setCallerLimits(routes_->configuration().limits);
            updateReady();
        } catch (const errors::Error& e) {
            log_.error("configuration-invalid", { { "code", static_cast<int>(e.code()) }, { "reason", e.what() } });
        }
    }

    void onServerRows(const Rows& rows)
    {
        serverFeed_.onRows(rows, serversWatch_.mirror().version());
        updateReady();
    }

    void onServerUnreachable(routing::NodeKey server)
    {
        onServerEnded(server);
        checks_.scheduleCheck(server);
    }

    /// Looks for itself, if requests of its own wait there; else it will find out when one is to be sent there.
    void onPeerLostServer(routing::NodeKey key)
    {
        const auto* server = servers_.find(key);
        if (server && server->localOpen > 0)
            checks_.suspect(key, Source::Peer);
    }

    void onServerDown(routing::NodeKey server, Source source)
    {
        if (source == Source::Local) // a peer has told all others itself
            membership_.reportLost(server);
        const auto openRequests = requests_.openRequests;
        for (const auto& request : openRequests) {
            if (request->server() == server)
                request->onServerDown();
        }
    }

    void onServerEnded(routing::NodeKey server)
    {
        for (const auto& suspicion : crashEvidence_.onEnded(server, loop_.now()))
            membership_.report(suspicion);
    }

    upstreams::RemovalPolicy removalPolicy() const
    {
        const bool mayHaveExpired = isStoreUnavailable() || loop_.now() < serversWatch_.lapsedUntil();
        return { mayHaveExpired, settings_.bounds.upstreamLeavesMs };
    }

    bool isStoreUnavailable() const { return !serversWatch_.isAnswering() || membership_.hasPeerWithoutStore(); }

    void onStoreContact(const std::string& table, bool isAnswering, const std::string& reason)
    {
        log_.info(isAnswering ? "store-regained" : "store-lost",
            { { "table", table }, { "reason", reason }, { "version", routes_ ? routes_->version() : 0 } });
    }

    void updateReady() { membership_.setReady(isReady()); }

    void updateBudget()
    {
        const auto& b = settings_.bounds;
        retryBudget_.setRule({ b.retryRatio, b.retryExtra, b.retryWindowMs, membership_.size() });
    }

    // ---- settings ----

    void reloadIfChanged()
    {
        std::string text = readFile(settingsPath_);
        if (text == settingsText_)
            return;
        settingsText_ = std::move(text);
        try {
            const auto fresh = settings::loadFrontSettings(settingsPath_);
            settings_.bounds = fresh.bounds; // addresses hold until the process ends
            updateBudget();
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
        } catch (const errors::Error& e) {
            // Callers are served without metrics too.
            log_.error("metrics-unavailable", { { "code", static_cast<int>(e.code()) }, { "reason", e.what() } });
        }
    }

    void refreshMetrics()
    {
        std::map<std::string, int> loads;
        std::set<std::string> services;
        for (const auto& [key, server] : servers_.all()) {
            loads[server.entry.id] = server.load();
            services.insert(server.entry.service);
        }
        metrics_.setEngineLoads(loads);
        for (const auto& service : services)
            metrics_.setRetriesLeft(service, retryBudget_.left(service, loop_.now()));
        metrics_.setConfigurationVersion(routes_ ? routes_->version() : 0);
        metrics_.setPeers(membership_.peersUp(), static_cast<double>(membership_.oldestReportMs()));
        metrics_.setLogLinesLost(log_.omittedLines(), observe::Log::droppedLines());
        metrics_.setOpenRequests(static_cast<int>(requests_.openRequests.size()));
        metrics_.setControlBytes("peer", membership_.bytes());
    }

    /// Writes how the requests of the last second ended and how loaded the servers are believed to be.
    void writeSummary()
    {
        if (second_.isEmpty())
            return;
        nlohmann::json fields = second_.take();
        nlohmann::json loads = nlohmann::json::object();
        for (const auto& [key, server] : servers_.all()) {
            if (server.load() > 0 && loads.size() < MAX_LOADS_LOGGED)
                loads[server.entry.id] = server.load();
        }
        fields["loads"] = loads;
        fields["config"] = routes_ ? routes_->version() : 0;
        fields["peers"] = membership_.peersUp();
        fields["open"] = requests_.openRequests.size();
        log_.info("second", std::move(fields));
    }

    // ---- planned stop ----

    void beginStop()
    {
        if (isStopping_)
            return;
        isStopping_ = true;
        log_.info("stop-begun", { { "open", requests_.openRequests.size() } });
        updateReady();
        membership_.beginLeaving();
        gateway_.beginStop();
        const auto graceMs = static_cast<double>(settings_.bounds.stopGraceMs);
        loop_.after(static_cast<loop::TimeMs>(STOP_ACCEPTING_SHARE * graceMs), [this] {
            gateway_.closeIdle();
            stopWhenDone();
        });
        loop_.after(static_cast<loop::TimeMs>(STOP_LATEST_SHARE * graceMs), [this] { loop_.stop(); });
    }

    void stopWhenDone()
    {
        gateway_.closeIdle();
        if (requests_.openRequests.empty() && gateway_.isQuiet())
            loop_.stop();
        else
            loop_.after(STOP_CHECK_MS, [this] { stopWhenDone(); });
    }

    std::string settingsPath_;
    std::string settingsText_;
    settings::FrontSettings settings_;
    FrontPorts ports_;
    loop::EventLoop loop_;
    observe::Log log_;
    observe::Metrics metrics_;
    observe::SecondSummary second_;
    std::mt19937_64 random_;
    upstreams::ServerRegistry servers_;
    admission::Quarantine quarantine_;
    admission::CrashEvidence crashEvidence_;
    admission::SharedRetryBudget retryBudget_;
    routing::ChatMemory contexts_;
    http::Client client_;
    store::RowStore store_;
    routes::RouteBook::Ptr routes_;
    std::optional<store::VersionedRow> pendingConfiguration_; // to be read in the next turn
    store::TableWatcher configurationWatch_;
    store::TableWatcher serversWatch_;
    upstreams::ServerRegistryUpdater serverFeed_;
    upstreams::ReachabilityChecker checks_;
    fleet::Membership membership_;
    forwarding::Environment requests_;
    forwarding::RoutedEnvironment env_;
    gateway::FrontGateway gateway_;
    std::unique_ptr<gateway::MetricsGateway> metricsGateway_;
    std::atomic<bool> stopRequested_ { false };
    std::atomic<bool> reloadRequested_ { false };
    bool isStopping_ = false;
};

FrontDaemon::FrontDaemon(std::string settingsPath, FrontPorts ports)
    : parts_(std::make_unique<Parts>(std::move(settingsPath), std::move(ports)))
{
}

FrontDaemon::~FrontDaemon() = default;

int FrontDaemon::run() { return parts_->run(); }

void FrontDaemon::requestStop() { parts_->requestStop(); }

void FrontDaemon::requestReload() { parts_->requestReload(); }

} // namespace goldcrestcleat
