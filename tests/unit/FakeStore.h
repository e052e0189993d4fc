#pragma once

#include "goldcrestcleat/store/RowStore.h"

#include <criterion/criterion.h>

#include <deque>
#include <string>
#include <vector>

namespace goldcrestcleat::store {

/// A store whose calls are answered by the test, one by one.
struct FakeStore {
    struct Call {
        bool isWatch = false;
        std::string fromKey;
        std::uint64_t afterVersion = 0;
        RowStore::ReadHook answer;
    };

    std::deque<Call> calls;
    RowStore port;

    FakeStore()
    {
        port.read = [this](const std::string&, const std::string& fromKey, RowStore::ReadHook hook) {
            calls.push_back({ false, fromKey, 0, std::move(hook) });
        };
        port.watch = [this](const std::string&, std::uint64_t after, loop::TimeMs, RowStore::ReadHook hook) {
            calls.push_back({ true, "", after, std::move(hook) });
        };
    }

    Call take()
    {
        cr_assert_not(calls.empty(), "no call was made");
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
    set.reason = "in the test";
    return set;
}

} // namespace goldcrestcleat::store
