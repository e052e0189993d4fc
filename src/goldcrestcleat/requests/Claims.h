#pragma once

#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/store/TableClient.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrestcleat::requests {

/// The answer of a call that ran, as kept for repeats.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class ClaimState {
    Owned, ///< this attempt alone may run the call
    Answered, ///< the call has run; its answer is known
    Open, ///< another attempt holds the claim and its outcome is not known yet
    Abandoned, ///< the other attempt gave its claim back without having sent anything
    OutcomeUnknown, ///< the call was sent and nobody knows how it ended
    KeyReused, ///< the key belongs to a call with another content
    StoreUnavailable
}; ///< the table can't be reached; this attempt owns nothing

/// A claim on an idempotency key.
struct Claim {
    std::string rowKey;
    std::string token; ///< names this attempt
    std::string content; ///< digest of the call
};

struct ClaimResult {
    ClaimState state = ClaimState::StoreUnavailable;
    Claim claim;
    StoredAnswer answer; ///< with Answered
};

/// Claims idempotency keys in the table service, so that a call with a key runs at most once.
///
/// A claim is a row that is inserted only if absent. It never expires and is never taken over, so that a
/// holder that was paused can't meet a second one. Only the attempt whose token is in the row may send the
/// call, and only that attempt may remove the row, before it has sent anything.
class Claims {
public:
    using ResultHook = std::function<void(const ClaimResult&)>;

    /// Larger answers, and those that are no UTF-8 text, are kept without their body.
    static constexpr std::size_t MAX_STORED_BODY_BYTES = 64 * 1024;

    Claims(loop::EventLoop& loop, store::TableClient& table);

    /// Tries to claim a key of a workspace. `content` is a digest of the call.
    void acquire(const std::string& workspace, const std::string& key, const std::string& content, ResultHook onResult);

    /// Reads the state of a claim that another attempt holds.
    void look(const Claim& claim, ResultHook onResult);

    /// Removes an owned claim whose call was certainly not sent.
    void abandon(const Claim& claim);

    /// Keeps the answer for repeats.
    void storeAnswer(const Claim& claim, const StoredAnswer& answer);

    /// Keeps that the call was sent and its outcome is unknown.
    void storeUnknown(const Claim& claim);

private:
    struct Attempt {
        Claim claim;
        ResultHook onResult;
        int left = 0;
        bool maybeWritten = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void insert(const AttemptPtr& attempt);
    void readBack(const AttemptPtr& attempt);
    void end(const AttemptPtr& attempt, ClaimState state);
    void replace(const Claim& claim, const nlohmann::json& value, bool remove, int triesLeft);
    static ClaimResult readRow(const Claim& claim, const store::Row& row);

    loop::EventLoop& loop_;
    store::TableClient& table_;
};

} // namespace goldcrestcleat::requests
