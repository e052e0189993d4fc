#include "goldcrestcleat/store/CountedStore.h"

namespace goldcrestcleat::store {

namespace {

    const char* nameOf(ReadOutcome outcome)
    {
        switch (outcome) {
        case ReadOutcome::Answered:
            return "answered";
        case ReadOutcome::HistoryCompacted:
            return "history-gone";
        case ReadOutcome::Refused:
            return "refused";
        case ReadOutcome::NoAnswer:
            break;
        }
        return "no-answer";
    }

    const char* nameOf(RowCommitOutcome outcome)
    {
        switch (outcome) {
        case RowCommitOutcome::Committed:
            return "committed";
        case RowCommitOutcome::Conflict:
            return "conflict";
        case RowCommitOutcome::NotApplied:
            return "not-done";
        case RowCommitOutcome::Unknown:
            break;
        }
        return "unknown";
    }

    RowStore::ReadHook counted(const char* call, const CallHook& onCall, RowStore::ReadHook onDone)
    {
        return [call, onCall, onDone = std::move(onDone)](const RowSet& answer) {
            onCall(call, nameOf(answer.outcome));
            onDone(answer);
        };
    }

} // namespace

RowStore countCalls(RowStore store, CallHook onCall)
{
    RowStore wrapper;
    wrapper.read = [read = std::move(store.read), onCall](const std::string& table, const std::string& fromKey,
                       RowStore::ReadHook onDone) { read(table, fromKey, counted("read", onCall, std::move(onDone))); };
    wrapper.watch = [watch = std::move(store.watch), onCall](const std::string& table, std::uint64_t afterVersion,
                        loop::TimeMs waitMs, RowStore::ReadHook onDone) {
        watch(table, afterVersion, waitMs, counted("watch", onCall, std::move(onDone)));
    };
    wrapper.commit
        = [commit = std::move(store.commit), onCall](const std::vector<RowWrite>& writes, RowStore::CommitHook onDone) {
              commit(writes, [onCall, onDone = std::move(onDone)](RowCommitOutcome outcome) {
                  onCall("commit", nameOf(outcome));
                  onDone(outcome);
              });
          };
    return wrapper;
}

} // namespace goldcrestcleat::store
