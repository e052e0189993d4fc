#include "goldcrestcleat/requests/Claims.h"

#include "goldcrestcleat/observe/Digest.h"

#include <algorithm>

namespace goldcrestcleat::requests {

using nlohmann::json;
using store::CommitOutcome;

namespace {

    constexpr int INSERT_TRIES = 3;
    constexpr int UPDATE_TRIES = 40;
    constexpr loop::TimeMs UPDATE_RETRY_MS = 250;
    constexpr loop::TimeMs MAX_UPDATE_RETRY_MS = 10'000;
    constexpr std::size_t TOKEN_BYTES = 16;

    /// The table service stores JSON, in which text must be UTF-8.
    bool isUtf8(const std::string& text)
    {
        try {
            return !json(text).dump().empty();
        } catch (const json::exception&) {
            return false;
        }
    }

    json rowValue(const Claim& claim, const char* state)
    {
        return { { "token", claim.token }, { "content", claim.contentDigest }, { "state", state } };
    }

} // namespace

Claims::Claims(loop::EventLoop& loop, store::TableClient& table)
    : loop_(loop)
    , table_(table)
{
}

void Claims::acquire(
    const std::string& workspace, const std::string& key, const std::string& contentDigest, ResultHook onResult)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->claim.rowKey = "claim/" + workspace + "/" + observe::sha256Hex(key);
    attempt->claim.token = observe::randomHex(TOKEN_BYTES);
    attempt->claim.contentDigest = contentDigest;
    attempt->onResult = std::move(onResult);
    attempt->triesLeft = INSERT_TRIES;
    insert(attempt);
}

void Claims::readState(const Claim& claim, ResultHook onResult)
{
    table_.get({ claim.rowKey }, [claim, onResult = std::move(onResult)](const auto& rows) {
        if (!rows) {
            onResult({ ClaimState::StoreUnavailable, claim, {} });
            return;
        }
        onResult(rows->empty() ? ClaimResult { ClaimState::Abandoned, claim, {} } : readRow(claim, rows->front()));
    });
}

void Claims::abandon(const Claim& claim) { replace(claim, nullptr, /*remove*/ true, UPDATE_TRIES); }

void Claims::storeAnswer(const Claim& claim, const StoredAnswer& answer)
{
    json value = rowValue(claim, "answered");
    value["status"] = answer.status;
    value["contentType"] = answer.contentType;
    const bool isStorable = answer.body.size() <= MAX_STORED_BODY_BYTES && isUtf8(answer.body);
    value["body"] = isStorable ? answer.body : "";
    value["isWhole"] = isStorable;
    replace(claim, value, /*remove*/ false, UPDATE_TRIES);
}

void Claims::storeUnknownOutcome(const Claim& claim)
{
    replace(claim, rowValue(claim, "unknown"), /*remove*/ false, UPDATE_TRIES);
}

// ---- private ----

void Claims::insert(const AttemptPtr& attempt)
{
    if (attempt->triesLeft-- == 0) {
        finish(attempt, ClaimState::StoreUnavailable);
        return;
    }
    store::Commit commit;
    commit.conditions = { { attempt->claim.rowKey, 0 } };
    commit.puts = { { attempt->claim.rowKey, rowValue(attempt->claim, "claimed") } };
    table_.commit(commit, [this, attempt](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            finish(attempt, ClaimState::Owned);
            return;
        }
        if (outcome == CommitOutcome::NotSent) {
            finish(attempt, ClaimState::StoreUnavailable);
            return;
        }
        attempt->maybeWritten = attempt->maybeWritten || outcome == CommitOutcome::Unknown;
        readBack(attempt);
    });
}

void Claims::readBack(const AttemptPtr& attempt)
{
    table_.get({ attempt->claim.rowKey }, [this, attempt](const auto& rows) {
        if (!rows) {
            finish(attempt, ClaimState::StoreUnavailable);
            return;
        }
        if (rows->empty()) {
            // The insert failed or is still in transit; a second insert is harmless because it has the same token.
            insert(attempt);
            return;
        }
        const json& value = rows->front().value;
        if (value.value("token", "") == attempt->claim.token) {
            finish(attempt, ClaimState::Owned);
            return;
        }
        attempt->onResult(readRow(attempt->claim, rows->front()));
    });
}

void Claims::finish(const AttemptPtr& attempt, ClaimState state)
{
    // A claim that may have been written but is not used would block its key.
    if (state == ClaimState::StoreUnavailable && attempt->maybeWritten)
        abandon(attempt->claim);
    attempt->onResult({ state, attempt->claim, {} });
}

void Claims::replace(const Claim& claim, const json& value, bool remove, int triesLeft)
{
    if (triesLeft == 0)
        return;
    const auto retry = [this, claim, value, remove, triesLeft] {
        const int triesDone = UPDATE_TRIES - triesLeft;
        const loop::TimeMs delayMs = std::min(UPDATE_RETRY_MS * (triesDone + 1), MAX_UPDATE_RETRY_MS);
        loop_.after(delayMs, [=] { replace(claim, value, remove, triesLeft - 1); });
    };
    table_.get({ claim.rowKey }, [this, claim, value, remove, retry](const auto& rows) {
        if (!rows) {
            retry();
            return;
        }
        const bool isOwn = !rows->empty() && rows->front().value.value("token", "") == claim.token;
        const bool isOpen = isOwn && rows->front().value.value("state", "") == "claimed";
        if (!isOpen) {
            // A removed claim may still be written by a delayed insert, so its absence is checked again.
            if (remove && rows->empty())
                retry();
            return;
        }
        store::Commit commit;
        commit.conditions = { { claim.rowKey, rows->front().revision } };
        if (remove)
            commit.deletes = { claim.rowKey };
        else
            commit.puts = { { claim.rowKey, value } };
        table_.commit(commit, [retry](CommitOutcome outcome) {
            if (outcome != CommitOutcome::Committed)
                retry();
        });
    });
}

ClaimResult Claims::readRow(const Claim& claim, const store::Row& row)
{
    ClaimResult result { ClaimState::Open, claim, {} };
    const json& value = row.value;
    const std::string state = value.value("state", "claimed");
    if (value.value("content", "") != claim.contentDigest)
        result.state = ClaimState::KeyReused;
    else if (state == "unknown")
        result.state = ClaimState::OutcomeUnknown;
    else if (state == "answered") {
        result.state = ClaimState::Answered;
        result.answer.status = value.value("status", 200);
        result.answer.contentType = value.value("contentType", "application/json");
        result.answer.body = value.value("body", "");
    }
    return result;
}

} // namespace goldcrestcleat::requests
