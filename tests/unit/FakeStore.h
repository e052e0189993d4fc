#pragma once

#include "goldcrestcleat/store/RowStore.h"

#include <criterion/criterion.h>

#include <deque>
#include <string>
#include <vector>

namespace goldcrestcleat::store {

/// Records the calls of a `RowStore`; the test answers them one at a time.
struct FakeStore {
    struct Call {
        bool isWatch = false;
        std::string fromKey;
        std::uint64_t afterVersion = 0;
        loop::TimeMs waitMs = 0;
        RowStore::ReadHook answer;
    };

    std::deque<Call> calls;
    RowStore rowStore;

    FakeStore()
    {
        rowStore.read = [this](const std::string&, const std::string& fromKey, RowStore::ReadHook hook) {
            calls.push_back({ false, fromKey, 0, 0, std::move(hook) });
        };
        rowStore.watch = [this](const std::string&, std::uint64_t after, loop::TimeMs waitMs, RowStore::ReadHook hook) {
            calls.push_back({ true, "", after, waitMs, std::move(hook) });
        };
    }

    Call take()
    {
        cr_assert_not(calls.empty(), "no call is pending");
        Call call = calls.front();
        calls.pop_front();
        return call;
    }
};

inline RowSet answered(std::vector<VersionedRow> rows, std::uint64_t version, bool isTruncated = false)
{
    RowSet set;
    set.outcome = ReadOutcome::Answered;
    set.rows = std::move(rows);
    set.version = version;
    set.isTruncated = isTruncated;
    return set;
}

inline RowSet failed(ReadOutcome outcome)
{
    RowSet set;
    set.outcome = outcome;
    set.reason = "simulated failure";
    return set;
}

} // namespace goldcrestcleat::store
