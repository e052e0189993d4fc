#include "FakeStore.h"
#include "goldcrestcleat/fleet/SharedTables.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;
using namespace goldcrestcleat::fleet;
using namespace goldcrestcleat::store;

namespace {

constexpr routing::NodeKey SELF = 50;
constexpr routing::NodeKey FIRST = 10;
constexpr routing::NodeKey SECOND = 20;
constexpr routing::NodeKey LAST = 90;
constexpr loop::TimeMs STEP_MS = 10;

struct Fixture {
    loop::TimeMs now = 1'000'000;
    loop::EventLoop loop { [this] { return now; } };
    FakeStore store;
    std::vector<std::pair<routing::NodeKey, PeerMessage>> sent;
    std::vector<PeerMessage> broadcasts;
    int announcements = 0;
    std::vector<routing::NodeKey> connectedPeers;
    std::vector<std::tuple<std::string, nlohmann::json, routing::NodeKey>> events;
    TableWatcher watcher { loop, store.rowStore, "t", { [](const auto&) {}, [](bool, const std::string&) {} } };
    SharedTables tables { loop, SELF,
        { [this](routing::NodeKey peer, const PeerMessage& message) { sent.emplace_back(peer, message); },
            [this](const PeerMessage& message) { broadcasts.push_back(message); }, [this] { ++announcements; },
            [this] { return connectedPeers; },
            [this](const std::string& event, const nlohmann::json& fields, routing::NodeKey peer) {
                events.emplace_back(event, fields, peer);
            } } };

    Fixture()
    {
        loop.every(STEP_MS, [] {}); // a due timer in each step keeps the loop from waiting for sockets
        tables.add(watcher);
        tables.setListedPeers({});
    }

    /// Completes the first read of the table, with its state at version 10.
    void readTable()
    {
        watcher.start();
        store.take().answer(answered({ { "a", "1", 3, false } }, 10));
    }

    /// Delivers a peer's report on the store and on the newest version of its rows.
    void report(routing::NodeKey peer, bool storeAnswers, bool isWatchOverdue = false, std::uint64_t newestRow = 0,
        bool isWatchAnswered = false)
    {
        ServerLoads loads;
        loads.storeAnswers = storeAnswers;
        loads.isWatchOverdue = isWatchOverdue;
        loads.isWatchAnswered = isWatchAnswered;
        loads.newestRows = { { 0, newestRow } };
        tables.onPeerReport(peer, loads);
    }

    ServerLoads described() const
    {
        ServerLoads loads;
        tables.fillStoreStatus(loads);
        return loads;
    }

    /// Returns the events of a kind, without those of other kinds.
    std::vector<std::pair<nlohmann::json, routing::NodeKey>> eventsOf(const std::string& kind) const
    {
        std::vector<std::pair<nlohmann::json, routing::NodeKey>> found;
        for (const auto& [event, fields, peer] : events) {
            if (event == kind)
                found.emplace_back(fields, peer);
        }
        return found;
    }

    /// Runs for a time in which the periodic updates take place.
    void updateFor(loop::TimeMs ms)
    {
        for (loop::TimeMs i = 0; i < ms; i += 100) {
            runFor(100);
            tables.updateLeading();
        }
    }

    void runFor(loop::TimeMs ms)
    {
        for (const loop::TimeMs until = now + ms; now < until;) {
            now += STEP_MS;
            loop.runOnce();
        }
    }
};

} // namespace

Test(shared_tables, the_two_daemons_with_the_smallest_keys_that_reach_the_store_lead)
{
    Fixture f;
    f.tables.updateLeading();
    cr_assert(f.tables.isLeading(), "the only daemon must lead");
    f.report(FIRST, true);
    f.report(LAST, true);
    cr_assert(f.tables.isLeading());
    f.report(SECOND, true);
    cr_assert_not(f.tables.isLeading());
    f.report(FIRST, false);
    cr_assert(f.tables.isLeading());
    f.report(FIRST, true);
    f.tables.removePeer(SECOND);
    cr_assert(f.tables.isLeading());
}

/// Guards against treating a late answer of the store as an outage: besides moving the lead, such reports kept removed
/// entries in use for as long as they arrived.
Test(shared_tables, a_peer_whose_watch_is_overdue_does_not_lead)
{
    Fixture f;
    f.report(FIRST, true);
    f.report(SECOND, true);
    cr_assert_not(f.tables.isLeading());
    f.report(SECOND, true, true);
    cr_assert(f.tables.isLeading(), "its watch may be cut off without an error");
    cr_assert_not(f.tables.mayHaveExpired(), "a late answer does not prove that the store is unavailable");
}

/// Guards against treating one daemon's loss of the store as an outage: entries that were removed meanwhile counted as
/// expired at all daemons, which kept sending requests to the servers.
Test(shared_tables, entries_may_have_expired_only_while_the_store_answers_no_daemon, .timeout = 30)
{
    Fixture f;
    f.report(FIRST, true, false, 0, true);
    f.report(SECOND, true, false, 0, true);
    for (const routing::NodeKey lost : { FIRST, SECOND, LAST }) {
        f.report(lost, false);
        f.updateFor(OutageTracker::MIN_OUTAGE_MS + 100);
        cr_assert_not(f.tables.mayHaveExpired(), "the store answers another daemon");
        if (lost != LAST)
            f.report(lost, true, false, 0, true);
    }
    f.report(FIRST, false);
    f.report(SECOND, true, true);
    cr_assert_not(f.tables.mayHaveExpired(), "other daemons may not have asked the store yet");
    f.updateFor(OutageTracker::MIN_OUTAGE_MS + 100);
    cr_assert(f.tables.mayHaveExpired());
    f.report(SECOND, true, false, 0, true);
    cr_assert(f.tables.mayHaveExpired(), "the store is back, and the entries are on their way");
    f.updateFor(OutageTracker::RETURN_MS);
    cr_assert_not(f.tables.mayHaveExpired());
}

Test(shared_tables, the_report_of_a_peer_does_not_outlast_its_link, .timeout = 20)
{
    Fixture f;
    f.report(FIRST, true, false, 0, true);
    f.report(SECOND, true);
    f.tables.removePeer(FIRST);
    f.report(FIRST, true); // restarted: it has not asked the store yet
    f.updateFor(OutageTracker::MIN_OUTAGE_MS + 100);
    cr_assert(f.tables.mayHaveExpired(), "the daemon itself does not reach the store and no peer reports an answer");
}

Test(shared_tables, a_daemon_that_begins_to_lead_reports_an_answer_only_after_one, .timeout = 20)
{
    Fixture f;
    f.readTable();
    cr_assert(f.described().isWatchAnswered);
    f.report(FIRST, true, false, 0, true);
    f.report(SECOND, true, false, 0, true);
    f.store.take().answer(answered({}, 10));
    cr_assert_not(f.described().isWatchAnswered, "it leads no longer");
    f.report(SECOND, false);
    cr_assert_not(f.described().isWatchAnswered);
    f.runFor(10);
    const auto first = f.store.take();
    cr_assert_eq(first.waitMs, 0, "the first watch does not wait for a change");
    first.answer(answered({}, 10));
    cr_assert(f.described().isWatchAnswered);
    f.runFor(10);
    cr_assert_gt(f.store.take().waitMs, 0);
}

Test(shared_tables, a_leaders_late_watch_is_reported_as_overdue_and_a_failed_call_as_no_answer)
{
    Fixture f;
    f.readTable();
    f.tables.updateLeading();
    cr_assert_not(f.described().isWatchOverdue);
    f.runFor(1'300); // longer than a leader's watch plus the tolerated delay
    cr_assert(f.described().isWatchOverdue);
    cr_assert(f.described().storeAnswers, "no call has failed");
    f.store.take().answer(failed(ReadOutcome::NoAnswer));
    cr_assert_not(f.described().storeAnswers);
}

Test(shared_tables, small_changes_are_broadcast_and_large_ones_announced)
{
    Fixture f;
    f.readTable();
    cr_assert(f.broadcasts.empty(), "the first read is based on no version that a peer may hold");
    f.store.take().answer(answered({ { "a", "2", 11, false } }, 11));
    cr_assert_eq(f.broadcasts.size(), 1);
    const auto& rows = std::get<MirrorRows>(f.broadcasts.front());
    cr_assert_eq(rows.afterVersion, 10);
    cr_assert(rows.changes.rows.front().value == "2");
    f.runFor(300); // changes are sent in batches
    f.store.take().answer(answered({ { "a", std::string(20'000, 'x'), 12, false } }, 12));
    cr_assert_eq(f.broadcasts.size(), 1);
    cr_assert_eq(f.announcements, 1);
}

Test(shared_tables, a_daemon_with_older_rows_asks_a_peer_that_has_newer_ones)
{
    Fixture f;
    f.readTable();
    f.report(FIRST, true, false, 12);
    cr_assert(f.sent.empty(), "the broadcast of the change may still be on its way");
    f.runFor(SharedTables::BROADCAST_MS + 10);
    f.report(LAST, true, false, 9);
    cr_assert(f.sent.empty(), "this peer has no newer rows");
    f.report(FIRST, true, false, 12);
    f.report(SECOND, true, false, 12);
    cr_assert_eq(f.sent.size(), 1);
    cr_assert_eq(f.sent.front().first, FIRST);
    cr_assert_eq(std::get<MirrorRequest>(f.sent.front().second).afterVersion, 10);
    f.tables.onRows(FIRST, MirrorRows { "t", 10, { false, 12, { { "a", "2", 12, false } } } });
    cr_assert_eq(f.watcher.mirror().version(), 12);
    f.tables.onRows(FIRST, MirrorRows { "t", 15, { false, 16, {} } });
    cr_assert_eq(std::get<MirrorRequest>(f.sent.back().second).afterVersion, 12, "missing changes must be requested");
}

Test(shared_tables, a_daemon_that_no_peer_supplies_reads_from_the_store)
{
    Fixture f;
    f.report(FIRST, true);
    f.report(SECOND, true);
    f.readTable();
    cr_assert(f.store.calls.empty(), "a daemon that does not lead keeps no watch open");
    for (int i = 0; i < 2; ++i) {
        f.report(FIRST, true, false, 12);
        f.runFor(SharedTables::BROADCAST_MS + 10);
    }
    f.report(FIRST, true, false, 12);
    f.runFor(10);
    cr_assert(f.store.calls.empty());
    f.runFor(SharedTables::REPAIR_PERIOD_MS);
    f.report(SECOND, true, false, 12);
    f.runFor(10);
    cr_assert_eq(f.store.take().afterVersion, 10);
    cr_assert_eq(f.sent.size(), 2, "both peers were asked");
}

Test(shared_tables, in_a_fleet_that_starts_as_a_whole_two_daemons_watch_the_store)
{
    Fixture f;
    SharedTables tables { f.loop, SELF, { nullptr, nullptr, nullptr, nullptr } };
    TableWatcher watcher { f.loop, f.store.rowStore, "t", { [](const auto&) {}, [](bool, const std::string&) {} } };
    tables.add(watcher);
    cr_assert_not(tables.isLeading(), "its peers are not known");
    tables.setListedPeers({ FIRST, LAST });
    cr_assert(tables.isLeading());
    tables.setListedPeers({ FIRST, SECOND, LAST });
    cr_assert_not(tables.isLeading(), "no link to them is open yet");
    f.runFor(SharedTables::SETTLING_MS + 50);
    tables.updateLeading();
    cr_assert(tables.isLeading(), "listed peers that do not connect do not lead");
}

Test(shared_tables, a_daemon_that_cannot_learn_of_its_peers_watches_the_store)
{
    loop::EventLoop loop;
    SharedTables tables { loop, SELF, { nullptr, nullptr, nullptr, nullptr } };
    loop.after(SharedTables::SETTLING_MS + 50, [&] { loop.stop(); });
    loop.run();
    tables.updateLeading();
    cr_assert(tables.isLeading());
}

Test(shared_tables, a_request_for_rows_is_answered_with_the_newer_ones)
{
    Fixture f;
    f.readTable();
    f.tables.onRequest(LAST, { "t", 10 });
    f.tables.onRequest(LAST, { "unknown", 0 });
    cr_assert(f.sent.empty());
    f.tables.onRequest(LAST, { "t", 2 });
    cr_assert_eq(f.sent.size(), 1);
    cr_assert_eq(std::get<MirrorRows>(f.sent.front().second).changes.rows.size(), 1);
}

Test(shared_tables, peers_are_asked_in_turn_while_the_store_does_not_answer)
{
    Fixture f;
    f.readTable();
    f.connectedPeers = { FIRST, LAST };
    f.tables.repair();
    cr_assert(f.sent.empty(), "no peer may be asked while the store answers");
    f.store.take().answer(failed(ReadOutcome::NoAnswer));
    f.tables.repair();
    f.tables.repair();
    cr_assert_eq(f.sent.size(), 2);
    cr_assert_neq(f.sent[0].first, f.sent[1].first);
}

Test(shared_tables, the_log_tells_from_where_rows_came_who_leads_and_for_how_long_a_daemon_was_behind)
{
    Fixture f;
    cr_assert_eq(f.eventsOf("leading").size(), 1);
    f.readTable();
    f.report(FIRST, true);
    f.report(SECOND, true);
    cr_assert_eq(f.eventsOf("leading").back().first["leadersBefore"], 2);
    cr_assert_eq(f.eventsOf("table-rows").back().first["version"], 10);
    cr_assert_eq(f.eventsOf("table-rows").back().second, routing::NO_NODE, "from the store");
    for (int i = 0; i < 3; ++i) {
        f.report(FIRST, true, false, 12);
        f.runFor(SharedTables::REPAIR_PERIOD_MS + 10);
    }
    cr_assert_eq(f.eventsOf("table-behind").size(), 1);
    cr_assert_gt(f.tables.status().front().behindMs, SharedTables::REPAIR_PERIOD_MS);
    f.tables.onRows(FIRST, MirrorRows { "t", 10, { false, 12, { { "a", "2", 12, false } } } });
    cr_assert_eq(f.eventsOf("table-rows").back().second, FIRST);
    f.report(FIRST, true, false, 12);
    cr_assert_eq(f.eventsOf("table-caught-up").size(), 1);
    cr_assert_eq(f.tables.status().front().behindMs, 0);
}

Test(shared_tables, rows_that_were_missed_are_broadcast_as_a_complete_table)
{
    Fixture f;
    f.readTable();
    f.store.take().answer(failed(ReadOutcome::HistoryCompacted));
    f.store.take().answer(answered({ { "a", "1", 3, false } }, 30)); // a copy behind
    for (int i = 0; i < 50 && f.broadcasts.empty(); ++i) {
        f.runFor(100);
        if (f.store.calls.empty())
            continue;
        const auto call = f.store.take();
        call.answer(call.isWatch ? answered({}, 30) : answered({ { "a", "2", 20, false } }, 30));
    }
    cr_assert_eq(f.broadcasts.size(), 1);
    const auto& rows = std::get<MirrorRows>(f.broadcasts.front());
    cr_assert(rows.changes.isComplete && rows.changes.version == 30 && rows.changes.rows.front().value == "2");
    Fixture peer;
    peer.readTable();
    peer.store.take().answer(answered({}, 30));
    peer.tables.onRows(FIRST, rows);
    cr_assert(peer.watcher.mirror().rows().at("a").value == "2");
}

Test(shared_tables, a_daemon_that_learns_of_a_new_era_requests_the_complete_table)
{
    Fixture f;
    f.readTable();
    ServerLoads loads;
    loads.newestRows = { { 2, 4 } };
    f.tables.onPeerReport(FIRST, loads);
    cr_assert_eq(f.sent.size(), 1, "its rows are not broadcast");
    cr_assert((std::get<MirrorRequest>(f.sent.front().second).afterVersion == 10));
    f.tables.onRows(FIRST, MirrorRows { "t", 4, { false, 5, { { "a", "x", 5, false } }, 2 } });
    cr_assert_eq(f.watcher.mirror().era(), 0, "changes of another era say nothing about the rows before");
    f.tables.onRows(FIRST, MirrorRows { "t", 0, { true, 5, { { "a", "2", 4, false } }, 2 } });
    cr_assert((f.watcher.mirror().state() == StateVersion { 2, 5 }));
    f.tables.onRequest(LAST, { "t", 10, 1 });
    cr_assert(std::get<MirrorRows>(f.sent.back().second).changes.isComplete, "its version is of an earlier era");
    const std::size_t answers = f.sent.size();
    f.tables.onRequest(LAST, { "t", 1, 3 });
    cr_assert_eq(f.sent.size(), answers, "a daemon of a later era needs no rows of this one");
    f.tables.onRows(LAST, MirrorRows { "t", 0, { true, 90, { { "a", "old", 90, false } }, 1 } });
    cr_assert((f.watcher.mirror().state() == StateVersion { 2, 5 }));
}

/// Guards against a peer that counts a version as known and holds an older version of a row: it would take an even
/// newer but outdated copy of that row for a change.
Test(shared_tables, a_broadcast_contains_rows_that_were_written_again_with_the_same_value)
{
    Fixture f;
    f.readTable();
    f.store.take().answer(answered({ { "a", "1", 12, false }, { "b", "1", 13, false } }, 13));
    cr_assert_eq(f.broadcasts.size(), 1);
    const auto& rows = std::get<MirrorRows>(f.broadcasts.front());
    cr_assert_eq(rows.changes.rows.size(), 2);
    Fixture peer;
    peer.readTable();
    peer.tables.onRows(FIRST, rows);
    cr_assert_eq(peer.watcher.mirror().rows().at("a").version, 12);
}
