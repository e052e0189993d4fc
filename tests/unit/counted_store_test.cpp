#include "goldcrestcleat/store/CountedStore.h"

#include <criterion/criterion.h>

using namespace goldcrestcleat;

Test(counted_store, each_call_is_forwarded_and_reported_with_its_outcome)
{
    store::RowStore inner;
    inner.read = [](const std::string&, const std::string&, const store::RowStore::ReadHook& onDone) {
        store::RowSet set;
        set.outcome = store::ReadOutcome::Refused;
        onDone(set);
    };
    inner.watch = [](const std::string&, std::uint64_t, loop::TimeMs, const store::RowStore::ReadHook& onDone) {
        store::RowSet set;
        set.outcome = store::ReadOutcome::HistoryCompacted;
        onDone(set);
    };
    inner.commit = [](const std::vector<store::RowWrite>&, const store::RowStore::CommitHook& onDone) {
        onDone(store::RowCommitOutcome::Unknown);
    };
    std::string calls;
    const auto counted = store::countCalls(
        inner, [&](const std::string& call, const std::string& outcome) { calls += call + " " + outcome + "; "; });
    int expectedOutcomes = 0;
    counted.read(
        "t", "", [&](const store::RowSet& set) { expectedOutcomes += set.outcome == store::ReadOutcome::Refused; });
    counted.watch("t", 1, 10,
        [&](const store::RowSet& set) { expectedOutcomes += set.outcome == store::ReadOutcome::HistoryCompacted; });
    counted.commit(
        {}, [&](store::RowCommitOutcome outcome) { expectedOutcomes += outcome == store::RowCommitOutcome::Unknown; });
    cr_assert_eq(expectedOutcomes, 3);
    cr_assert(calls == "read refused; watch history-gone; commit unknown; ", "%s", calls.c_str());
}
