#pragma once

#include "goldcrestcleat/fleet/ConfigCache.h"
#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/store/TableClient.h"

#include <functional>
#include <optional>
#include <string>

namespace goldcrestcleat::fleet {

/// A change of one configuration item, requested by an operator.
struct Change {
    std::string changeId; ///< idempotency key: a repeated id does not apply the change again
    std::string operatorName;
    std::string action; ///< such as "profile publish"; recorded in the audit trail
    std::string kind;
    std::string id;
    std::optional<std::uint64_t> expectedVersion; ///< the change is rejected unless the item has this version
    nlohmann::json value;
};

/// How a change ended.
struct ChangeResult {
    errors::ResultCode code = errors::ResultCode::Ok;
    std::uint64_t version = 0; ///< accepted version; after a conflict, the stored one
    std::string winner; ///< after a conflict, the operator who wrote the stored version
    bool isRepeat = false; ///< the change id was already accepted earlier
};

/// Writes configuration to the table service and polls it for changes by other daemons.
///
/// Rows: `config/KIND/ID` holds an item, `config-head` the number of changes, `audit/N` one line of the audit trail,
/// `change/ID` the result of a change. A change writes all four in one transaction.
class ConfigStore {
public:
    using ChangeHook = std::function<void(const ChangeResult&)>;
    using AuditHook = std::function<void(const std::optional<std::vector<store::Row>>&)>;

    /// `cache` receives all items that are read or accepted, and must outlive the store.
    ConfigStore(loop::EventLoop& loop, store::TableClient& table, ConfigCache& cache);

    /// Starts to poll.
    void start();

    /// True once the complete configuration has been read from the table.
    bool isLoaded() const { return isLoaded_; }

    /// True if the last poll was answered.
    bool isReachable() const { return isReachable_; }

    loop::TimeMs lastReadAt() const { return lastReadAt_; }

    /// Called at the end of each poll, whether or not it was answered.
    std::function<void()> onPolled;

    /// Reads the table immediately unless a poll is under way.
    void poll();

    void submit(const Change& change, ChangeHook onDone);

    /// Reads up to `limit` lines of the audit trail that follow number `after`.
    void readAudit(std::uint64_t after, int limit, AuditHook onDone);

private:
    struct Attempt {
        Change change;
        ChangeHook onDone;
        int attemptsLeft = 0;
        bool maybeApplied = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void onHead(const std::optional<std::vector<store::Row>>& rows);
    void readItems(std::uint64_t head, const std::string& after);
    void readCurrent(const AttemptPtr& attempt);
    void onCurrent(const AttemptPtr& attempt, const std::optional<std::vector<store::Row>>& rows);
    void write(const AttemptPtr& attempt, const store::Row& item, const store::Row& head);
    void retry(const AttemptPtr& attempt);
    static void finish(const AttemptPtr& attempt, const ChangeResult& result);

    loop::EventLoop& loop_;
    store::TableClient& table_;
    ConfigCache& cache_;
    std::uint64_t knownHead_ = 0;
    bool isLoaded_ = false;
    bool isReachable_ = false;
    bool isPolling_ = false;
    loop::TimeMs lastReadAt_ = 0;
};

} // namespace goldcrestcleat::fleet
