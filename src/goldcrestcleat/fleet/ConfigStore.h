#pragma once

#include "goldcrestcleat/fleet/ConfigBook.h"
#include "goldcrestcleat/loop/EventLoop.h"
#include "goldcrestcleat/store/TableClient.h"

#include <functional>
#include <optional>
#include <string>

namespace goldcrestcleat::fleet {

/// A change that an operator asks for.
struct Change {
    std::string changeId; ///< the same id again repeats nothing
    std::string operatorName;
    std::string action; ///< as in "profile publish", for the audit trail
    std::string kind;
    std::string id;
    std::optional<std::uint64_t> expectedVersion; ///< the change loses unless the item has this version
    nlohmann::json value;
};

/// How a change ended.
struct ChangeResult {
    errors::ResultCode code = errors::ResultCode::Ok;
    std::uint64_t version = 0; ///< accepted version, or the winner's after a conflict
    std::string winner; ///< operator whose change won a conflict
    bool isRepeat = false; ///< the change id had been accepted before
};

/// Writes configuration to the table service and polls it for what others wrote.
///
/// Rows: `config/KIND/ID` holds an item, `config-head` the number of changes, `audit/N` one line of the
/// audit trail, `change/ID` the result of a change. A change writes all four in one transaction.
class ConfigStore {
public:
    using ChangeHook = std::function<void(const ChangeResult&)>;
    using AuditHook = std::function<void(const std::optional<std::vector<store::Row>>&)>;

    /// `book` receives what is read and accepted, and must outlive the store.
    ConfigStore(loop::EventLoop& loop, store::TableClient& table, ConfigBook& book);

    /// Begins to poll.
    void start();

    /// True once the whole configuration was read from the table.
    bool hasRead() const { return hasRead_; }

    /// True when the last poll was answered.
    bool isReachable() const { return isReachable_; }

    loop::TimeMs lastReadAt() const { return lastReadAt_; }

    /// Called when a poll ended, answered or not.
    std::function<void()> onPolled;

    /// Reads the table at once, as when a peer knows of a change.
    void poll();

    void submit(const Change& change, ChangeHook onDone);

    /// Reads the last `limit` lines of the audit trail.
    void readAudit(std::uint64_t after, int limit, AuditHook onDone);

private:
    struct Attempt {
        Change change;
        ChangeHook onDone;
        int left = 0;
        bool maybeApplied = false;
    };
    using AttemptPtr = std::shared_ptr<Attempt>;

    void onHead(const std::optional<std::vector<store::Row>>& rows);
    void readItems(std::uint64_t head, const std::string& after);
    void readCurrent(const AttemptPtr& attempt);
    void onCurrent(const AttemptPtr& attempt, const std::optional<std::vector<store::Row>>& rows);
    void write(const AttemptPtr& attempt, const store::Row& item, const store::Row& head);
    void retry(const AttemptPtr& attempt);
    static void end(const AttemptPtr& attempt, const ChangeResult& result);

    loop::EventLoop& loop_;
    store::TableClient& table_;
    ConfigBook& book_;
    std::uint64_t knownHead_ = 0;
    bool hasRead_ = false;
    bool isReachable_ = false;
    bool isPolling_ = false;
    loop::TimeMs lastReadAt_ = 0;
};

} // namespace goldcrestcleat::fleet
