#include "goldcrestcleat/fleet/SharedTables.h"

#include <criterion/criterion.h>

#include <cstdio>
#include <cstdlib>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>

using namespace goldcrestcleat;
using loop::TimeMs;

// Plays random sequences of writes, repeated writes, removals, returns of the store from older copies, dropped history,
// lagging reads, outages, cuts, restarts and lost messages on a simulated clock, with the daemons' real watchers and
// shared tables. Some time after the end of all trouble, what each daemon has passed on to its consumers must be what
// the store holds. SEARCH_SEED and SEARCH_COUNT select the sequences.

namespace {

constexpr TimeMs STEP_MS = 50;
constexpr TimeMs TICK_MS = 100; // between two reports to the peers
constexpr TimeMs LINK_TIMEOUT_MS = 1'000;
constexpr TimeMs CALL_TIMEOUT_MS = 1'500;
constexpr TimeMs SETTLING_MS = 8'000; // more than the repeated read after a gap takes
constexpr int DAEMONS = 4;
constexpr int EVENTS = 40; // in a sequence

using View = std::map<std::string, std::string>; // value by key

/// A table of the store, with its history.
class SimulatedStore {
public:
    explicit SimulatedStore(const loop::EventLoop& loop)
        : loop_(loop)
    {
    }

    bool isDown = false;
    std::set<int> cutDaemons;
    std::uint64_t readsBehind = 0; ///< versions by which complete reads lag

    void write(const std::string& key, const std::string& value)
    {
        ++version_;
        history_.push_back({ key, value, version_, false });
    }

    void remove(const std::string& key)
    {
        if (viewAt(version_).count(key) == 0)
            return;
        ++version_;
        history_.push_back({ key, "", version_, true });
    }

    void dropHistory() { historyStart_ = ++version_; }

    void restore(std::uint64_t versions)
    {
        version_ -= std::min(version_ - 1, versions);
        ++era_;
        const auto isLost = [this](const auto& row) { return row.version > version_; };
        history_.erase(std::remove_if(history_.begin(), history_.end(), isLost), history_.end());
        historyStart_ = std::min(historyStart_, version_);
        for (auto& call : calls_)
            call.isConnected = false;
    }

    /// Drops the open calls of a daemon that ends.
    void dropCalls(int daemon)
    {
        calls_.remove_if([daemon](const Call& call) { return call.daemon == daemon; });
    }

    View view() const { return viewAt(version_); }
    std::size_t calls() const { return callCount_; }

    /// Returns the client of a daemon, which must outlive it. Its calls have no effect once the daemon has stopped.
    store::RowStore clientOf(int daemon, const bool& isStopped)
    {
        store::RowStore client;
        client.read
            = [this, daemon, &isStopped](const std::string&, const std::string&, store::RowStore::ReadHook hook) {
                  if (!isStopped)
                      add({ daemon, false, 0, loop_.now(), 0, true, std::move(hook) });
              };
        client.watch = [this, daemon, &isStopped](const std::string&, std::uint64_t afterVersion, TimeMs waitMs,
                           store::RowStore::ReadHook hook) {
            if (!isStopped)
                add({ daemon, true, afterVersion, loop_.now(), waitMs, true, std::move(hook) });
        };
        return client;
    }

    void step()
    {
        std::list<Call> open;
        open.swap(calls_);
        for (auto& call : open) {
            call.isConnected = call.isConnected && !isDown && cutDaemons.count(call.daemon) == 0;
            const TimeMs sinceMs = loop_.now() - call.startedAt;
            const bool isDue = !call.isWatch || call.afterVersion < historyStart_ || call.afterVersion > version_
                || hasChanges(call.afterVersion) || sinceMs >= call.waitMs;
            if (call.isConnected && isDue)
                call.hook(answerTo(call));
            else if (sinceMs >= call.waitMs + CALL_TIMEOUT_MS)
                call.hook(store::RowSet());
            else
                calls_.push_back(std::move(call));
        }
    }

private:
    struct Call {
        int daemon;
        bool isWatch;
        std::uint64_t afterVersion;
        TimeMs startedAt;
        TimeMs waitMs;
        bool isConnected;
        store::RowStore::ReadHook hook;
    };

    void add(Call call)
    {
        ++callCount_;
        calls_.push_back(std::move(call));
    }

    bool hasChanges(std::uint64_t afterVersion) const
    {
        return !history_.empty() && history_.back().version > afterVersion;
    }

    std::map<std::string, store::VersionedRow> rowsAt(std::uint64_t version) const
    {
        std::map<std::string, store::VersionedRow> rows;
        for (const auto& row : history_) {
            if (row.version > version)
                break;
            if (row.isRemoved)
                rows.erase(row.key);
            else
                rows[row.key] = row;
        }
        return rows;
    }

    View viewAt(std::uint64_t version) const
    {
        View view;
        for (const auto& [key, row] : rowsAt(version))
            view[key] = row.value;
        return view;
    }

    store::RowSet answerTo(const Call& call) const
    {
        store::RowSet set;
        set.era = era_;
        set.version = version_;
        set.outcome = store::ReadOutcome::Answered;
        if (!call.isWatch) {
            set.version -= std::min(readsBehind, version_ - 1);
            for (const auto& [key, row] : rowsAt(set.version))
                set.rows.push_back(row);
        } else if (call.afterVersion < historyStart_ || call.afterVersion > version_) {
            set.outcome = store::ReadOutcome::HistoryCompacted;
        } else {
            for (const auto& row : history_) {
                if (row.version > call.afterVersion)
                    set.rows.push_back(row);
            }
        }
        return set;
    }

    const loop::EventLoop& loop_;
    std::vector<store::VersionedRow> history_; // in version order
    std::uint64_t version_ = 1;
    std::uint64_t historyStart_ = 0;
    std::uint64_t era_ = 1;
    std::list<Call> calls_;
    std::size_t callCount_ = 0;
};

class Fleet;

/// The parts of a daemon that keep a table up to date, and a consumer of its changes.
class Daemon {
public:
    Daemon(Fleet& fleet, int index);

    void start() { watcher_.start(); }
    void stop() { isStopped_ = true; }
    void tick();
    void receive(routing::NodeKey peer, const fleet::PeerMessage& message);

    View view;

private:
    std::vector<routing::NodeKey> connectedPeers() const;
    void apply(const std::vector<store::VersionedRow>& rows);

    Fleet& fleet_;
    const int index_;
    bool isStopped_ = false;
    store::RowStore store_;
    std::map<routing::NodeKey, TimeMs> heardAt_; // by peer whose link is up
    TimeMs nextRepairAt_ = 0;
    store::TableWatcher watcher_;
    fleet::SharedTables tables_;
};

class Fleet {
public:
    explicit Fleet(std::uint64_t seed)
        : random_(seed)
    {
        loop.every(STEP_MS, [] {}); // a due timer in each step keeps the loop from waiting for sockets
        for (int i = 0; i < DAEMONS; ++i)
            daemons_.push_back(std::make_unique<Daemon>(*this, i));
        for (auto& daemon : daemons_)
            daemon->start();
    }

    static routing::NodeKey keyOf(int daemon) { return static_cast<routing::NodeKey>(daemon + 1); }

    /// Delivers a message in the next step if both daemons are connected and it is not lost.
    void send(int from, routing::NodeKey to, const fleet::PeerMessage& message)
    {
        const int recipient = static_cast<int>(to) - 1;
        if (isolated_.count(from) || isolated_.count(recipient) || (losesMessages_ && random_() % 3 == 0))
            return;
        loop.after(STEP_MS, [this, from, recipient, message] {
            daemons_[static_cast<std::size_t>(recipient)]->receive(keyOf(from), message);
        });
    }

    void runFor(TimeMs ms)
    {
        for (const TimeMs until = now + ms; now < until;) {
            now += STEP_MS;
            loop.runOnce();
            store.step();
            if (now % TICK_MS == 0) {
                for (auto& daemon : daemons_)
                    daemon->tick();
            }
        }
    }

    void play()
    {
        runFor(3'000);
        for (int i = 0; i < EVENTS; ++i) {
            event();
            runFor(static_cast<TimeMs>(random_() % 14) * STEP_MS);
        }
        path += "end";
        endTrouble();
        runFor(SETTLING_MS);
        for (int i = 0; i < DAEMONS; ++i)
            cr_assert(daemons_[static_cast<std::size_t>(i)]->view == store.view(),
                "daemon %d does not act by what the store holds: %s", i, path.c_str());
    }

    TimeMs now = 1'000'000;
    loop::EventLoop loop { [this] { return now; } };
    SimulatedStore store { loop };
    std::string path; ///< for failures

private:
    void event()
    {
        const int daemon = static_cast<int>(random_() % DAEMONS);
        switch (random_() % 18) {
        case 0:
            path += "restore, ";
            store.restore(1 + random_() % 12);
            break;
        case 1:
            path += "drop history, ";
            store.dropHistory();
            break;
        case 2:
            store.readsBehind = random_() % 2 ? 0 : random_() % 10;
            path += "reads behind by " + std::to_string(store.readsBehind) + ", ";
            break;
        case 3:
            path += "store down, ";
            store.isDown = true;
            break;
        case 4:
            path += "store of " + std::to_string(daemon) + " cut, ";
            store.cutDaemons.insert(daemon);
            break;
        case 5:
            path += "isolated " + std::to_string(daemon) + ", ";
            isolated_.insert(daemon);
            store.cutDaemons.insert(daemon);
            break;
        case 6:
            path += "messages lost, ";
            losesMessages_ = true;
            break;
        case 7:
            path += "restart " + std::to_string(daemon) + ", ";
            restart(daemon);
            break;
        case 8:
        case 9:
            path += "end of trouble, ";
            endTrouble();
            break;
        default:
            write();
        }
    }

    /// Changes some rows at once. Few keys and values, so that the same content is often written again.
    void write()
    {
        for (std::uint64_t i = 1 + random_() % 3; i > 0; --i) {
            const std::string key(1, static_cast<char>('a' + random_() % 4));
            const std::string value = std::to_string(random_() % 2);
            path.append(key).append("=").append(value).append(", ");
            switch (random_() % 4) {
            case 0:
                store.remove(key);
                break;
            case 1:
                store.write(key, value);
                store.write(key, value);
                break;
            default:
                store.write(key, value);
            }
        }
    }

    /// Replaces a daemon by a new one. The old one is kept, since the loop has timers that refer to it.
    void restart(int index)
    {
        auto& daemon = daemons_[static_cast<std::size_t>(index)];
        daemon->stop();
        stopped_.push_back(std::move(daemon));
        store.dropCalls(index);
        daemon = std::make_unique<Daemon>(*this, index);
        daemon->start();
    }

    void endTrouble()
    {
        store.isDown = false;
        store.readsBehind = 0;
        store.cutDaemons.clear();
        isolated_.clear();
        losesMessages_ = false;
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<Daemon>> daemons_;
    std::vector<std::unique_ptr<Daemon>> stopped_;
    std::set<int> isolated_; // daemons that reach neither the store nor the peers
    bool losesMessages_ = false;
};

Daemon::Daemon(Fleet& fleet, int index)
    : fleet_(fleet)
    , index_(index)
    , store_(fleet.store.clientOf(index, isStopped_))
    , watcher_(fleet.loop, store_, "t", { [this](const auto& rows) { apply(rows); }, [](bool, const std::string&) {} })
    , tables_(fleet.loop, Fleet::keyOf(index),
          { [this](routing::NodeKey peer, const fleet::PeerMessage& message) { fleet_.send(index_, peer, message); },
              [this](const fleet::PeerMessage& message) {
                  for (const auto peer : connectedPeers())
                      fleet_.send(index_, peer, message);
              },
              [] {}, [this] { return connectedPeers(); } })
{
    tables_.add(watcher_);
    std::vector<routing::NodeKey> peers;
    for (int i = 0; i < DAEMONS; ++i) {
        if (i != index)
            peers.push_back(Fleet::keyOf(i));
    }
    tables_.setListedPeers(peers);
}

void Daemon::apply(const std::vector<store::VersionedRow>& rows)
{
    for (const auto& row : rows) {
        if (row.isRemoved)
            view.erase(row.key);
        else
            view[row.key] = row.value;
    }
}

void Daemon::tick()
{
    for (auto it = heardAt_.begin(); it != heardAt_.end();) {
        if (fleet_.now - it->second <= LINK_TIMEOUT_MS) {
            ++it;
            continue;
        }
        tables_.removePeer(it->first);
        it = heardAt_.erase(it);
    }
    tables_.updateLeading();
    fleet::ServerLoads loads;
    tables_.fillStoreStatus(loads);
    for (int i = 0; i < DAEMONS; ++i) {
        if (i != index_)
            fleet_.send(index_, Fleet::keyOf(i), loads);
    }
    if (fleet_.now >= nextRepairAt_) {
        nextRepairAt_ = fleet_.now + fleet::SharedTables::REPAIR_PERIOD_MS;
        tables_.repair();
    }
}

void Daemon::receive(routing::NodeKey peer, const fleet::PeerMessage& message)
{
    heardAt_[peer] = fleet_.now;
    if (const auto* loads = std::get_if<fleet::ServerLoads>(&message))
        tables_.onPeerReport(peer, *loads);
    else if (const auto* request = std::get_if<fleet::MirrorRequest>(&message))
        tables_.onRequest(peer, *request);
    else if (const auto* rows = std::get_if<fleet::MirrorRows>(&message))
        tables_.onRows(peer, *rows);
}

std::vector<routing::NodeKey> Daemon::connectedPeers() const
{
    std::vector<routing::NodeKey> peers;
    for (const auto& [peer, at] : heardAt_)
        peers.push_back(peer);
    return peers;
}

std::uint64_t numberFromEnvironment(const char* name, std::uint64_t fallback)
{
    const char* text = std::getenv(name);
    return text ? std::strtoull(text, nullptr, 10) : fallback;
}

} // namespace

/// Guards against changes that a daemon's copy of a table holds and that are never passed on, or that it never learns.
Test(table_views_search, every_daemon_acts_by_what_the_store_holds, .timeout = 280)
{
    const std::uint64_t first = numberFromEnvironment("SEARCH_SEED", 1);
    const std::uint64_t count = numberFromEnvironment("SEARCH_COUNT", 1'000);
    std::size_t calls = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        Fleet fleet(seed);
        fleet.path = "seed " + std::to_string(seed) + ": ";
        fleet.play();
        calls += fleet.store.calls();
    }
    std::printf("%llu sequences from seed %llu, %zu calls of the store each\n", static_cast<unsigned long long>(count),
        static_cast<unsigned long long>(first), calls / count);
}
