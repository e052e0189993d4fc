#pragma once

#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/store/TableClient.h"

#include <functional>
#include <memory>
#include <string>

namespace goldcrestcleat::requests {

/// The answer of an executed call, as stored for repeated calls.
struct StoredAnswer {
    int status = 0;
    std::string contentType;
    std::string body;
};

enum class ClaimState {
    Owned, ///< only this attempt may execute the call
    Answered, ///< the call was executed; its answer is known
    Open, ///< another attempt holds the claim and its outcome is not known yet
    Abandoned, ///< the other attempt removed its claim without having sent the call
    OutcomeUnknown, ///< the call was sent and its outcome cannot be determined
    KeyReused, ///< the key belongs to a call with different content
    StoreUnavailable ///< the table service is unavailable; this attempt owns nothing
};

/// A claim on an idempotency key.
struct Claim {
    std::string rowKey;
    std::string token; ///< identifies this attempt
    std::string contentDigest; ///< of the call
};

struct ClaimResult {
    ClaimState state = ClaimState::StoreUnavailable;
    Claim claim;
    StoredAnswer answer; ///< only with `ClaimState::Answered`
};

/// Claims idempotency keys in the table service, so that a call with a key is executed at most once.
///
/// A claim is a row that is inserted only if it is absent. It never expires and is never taken over, so that there
/// cannot be a second holder while the first one is paused. Only the attempt whose token is in the row may send the
/// call, and only that attempt may remove the row, as long as it has not sent the call.
class Claims {
public:
    using ResultHook = std::function<void(const ClaimResult&)>;

    /// Larger answers, and those that are not valid UTF-8, are stored without their body.
    static constexpr std::size_t MAX_STORED_BODY_BYTES = 64 * 1024;

    Claims(loop::EventLoop& loop, store::TableClient& table);

    /// Tries to claim a key of a workspace.
    void acquire(
        const std::string& workspace, const std::string& key, const std::string& contentDigest, ResultHook onResult);

    /// Reads the state of a claim that another attempt holds.
    void readState(const Claim& claim, ResultHook onResult);

    /// Removes an owned claim whose call has definitely not been sent.
    void abandon(const Claim& claim);

    /// Stores the answer for repeated calls.
    void storeAnswer(const Claim& claim, const StoredAnswer& answer);

    /// Records that the call was sent and its outcome is unknown.
    void storeUnknownOutcome(const Claim& claim);

private:
    struct Attempt {
        Claim claim;
        ResultHook onResult;
        int triesLeft = 0;
        bool maybeWritten = false; // an insert had an unknown outcome
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void insert(const AttemptPtr& attempt);
    void readBack(const AttemptPtr& attempt);
    void finish(const AttemptPtr& attempt, ClaimState state);
    void replace(const Claim& claim, const nlohmann::json& value, bool remove, int triesLeft);
    static ClaimResult readRow(const Claim& claim, const store::Row& row);

    loop::EventLoop& loop_;
    store::TableClient& table_;
};

} // namespace goldcrestcleat::requests
