#include "goldcrestcleat/fleet/ConfigStore.h"

#include "goldcrestcleat/observe/Digest.h"

#include <Poco/DateTimeFormat.h>
#include <Poco/DateTimeFormatter.h>
#include <Poco/Timestamp.h>

#include <cstdio>

namespace goldcrestcleat::fleet {

using errors::ResultCode;
using nlohmann::json;
using store::CommitOutcome;
using store::Row;

namespace {

    constexpr loop::TimeMs POLL_MS = 2'000;
    constexpr int PAGE_ROWS = 200;
    constexpr int MAX_ATTEMPTS = 6; // retries follow a lost reply or an unrelated concurrent change
    constexpr loop::TimeMs RETRY_MS = 50;
    const char* const HEAD_KEY = "config-head";

    std::string itemKey(const std::string& kind, const std::string& id) { return "config/" + kind + "/" + id; }

    std::string auditKey(std::uint64_t number)
    {
        char text[32];
        std::snprintf(text, sizeof text, "audit/%012llu", static_cast<unsigned long long>(number));
        return text;
    }

    Row findRow(const std::vector<Row>& rows, const std::string& key)
    {
        for (const Row& row : rows) {
            if (row.key == key)
                return row;
        }
        return { key, nullptr, 0 };
    }

    std::uint64_t versionOf(const Row& row)
    {
        return row.revision == 0 ? 0 : row.value.value("version", std::uint64_t { 0 });
    }

    /// Distinguishes a repeated change from a different one that was sent with the same change id.
    std::string contentDigest(const Change& change)
    {
        return observe::sha256Hex(change.kind + "\n" + change.id + "\n" + change.value.dump());
    }

    std::string utcNow()
    {
        return Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
    }

} // namespace

ConfigStore::ConfigStore(loop::EventLoop& loop, store::TableClient& table, ConfigCache& cache)
    : loop_(loop)
    , table_(table)
    , cache_(cache)
{
}

void ConfigStore::start()
{
    poll();
    loop_.every(POLL_MS, [this] { poll(); });
}

void ConfigStore::submit(const Change& change, ChangeHook onDone)
{
    const auto attempt = std::make_shared<Attempt>();
    attempt->change = change;
    attempt->onDone = std::move(onDone);
    attempt->attemptsLeft = MAX_ATTEMPTS;
    readCurrent(attempt);
}

void ConfigStore::readAudit(std::uint64_t after, int limit, AuditHook onDone)
{
    table_.range("audit/", auditKey(after), limit, std::move(onDone));
}

// ---- private: polling ----

void ConfigStore::poll()
{
    if (isPolling_)
        return;
    isPolling_ = true;
    table_.get({ HEAD_KEY }, [this](const auto& rows) { onHead(rows); });
}

void ConfigStore::onHead(const std::optional<std::vector<Row>>& rows)
{
    isPolling_ = false;
    isReachable_ = rows.has_value();
    if (rows) {
        const std::uint64_t head = versionOf(findRow(*rows, HEAD_KEY));
        if (!isLoaded_ || head != knownHead_)
            readItems(head, "");
        else
            lastReadAt_ = loop_.now();
    }
    if (onPolled)
        onPolled();
}

void ConfigStore::readItems(std::uint64_t head, const std::string& after)
{
    table_.range("config/", after, PAGE_ROWS, [this, head](const auto& rows) {
        if (!rows)
            return; // the next poll reads all items again
        for (const Row& row : *rows) {
            const auto slash = row.key.find('/', 7);
            if (slash == std::string::npos || !row.value.contains("value"))
                continue;
            cache_.apply(
                { row.key.substr(7, slash - 7), row.key.substr(slash + 1), versionOf(row), row.value["value"] });
        }
        if (rows->size() == PAGE_ROWS) {
            readItems(head, rows->back().key);
            return;
        }
        knownHead_ = head;
        isLoaded_ = true;
        lastReadAt_ = loop_.now();
        if (onPolled)
            onPolled();
    });
}

// ---- private: changing ----

void ConfigStore::readCurrent(const AttemptPtr& attempt)
{
    const Change& c = attempt->change;
    table_.get({ HEAD_KEY, itemKey(c.kind, c.id), "change/" + c.changeId },
        [this, attempt](const auto& rows) { onCurrent(attempt, rows); });
}

void ConfigStore::onCurrent(const AttemptPtr& attempt, const std::optional<std::vector<Row>>& rows)
{
    if (!rows) {
        retry(attempt);
        return;
    }
    const Change& c = attempt->change;
    const Row earlierResult = findRow(*rows, "change/" + c.changeId);
    if (earlierResult.revision != 0) {
        ChangeResult result;
        if (earlierResult.value.value("digest", "") != contentDigest(c)) {
            result.code = ResultCode::IdempotencyKeyReused;
            finish(attempt, result);
            return;
        }
        result.version = versionOf(earlierResult);
        result.isRepeat = !attempt->maybeApplied;
        cache_.apply({ c.kind, c.id, result.version, c.value });
        finish(attempt, result);
        return;
    }
    const Row item = findRow(*rows, itemKey(c.kind, c.id));
    if (c.expectedVersion && *c.expectedVersion != versionOf(item)) {
        ChangeResult result;
        result.code = ResultCode::VersionConflict;
        result.version = versionOf(item);
        result.winner = item.revision == 0 ? "" : item.value.value("operator", "");
        finish(attempt, result);
        return;
    }
    write(attempt, item, findRow(*rows, HEAD_KEY));
}

void ConfigStore::write(const AttemptPtr& attempt, const Row& item, const Row& head)
{
    const Change& c = attempt->change;
    const std::uint64_t version = versionOf(item) + 1;
    const std::uint64_t number = versionOf(head) + 1;
    store::Commit commit;
    commit.conditions = { { item.key, item.revision }, { head.key, head.revision }, { "change/" + c.changeId, 0 } };
    commit.puts = {
        { item.key, { { "version", version }, { "operator", c.operatorName }, { "value", c.value } } },
        { head.key, { { "version", number } } },
        { "change/" + c.changeId, { { "version", version }, { "digest", contentDigest(c) } } },
        { auditKey(number),
            { { "time", utcNow() }, { "operator", c.operatorName }, { "action", c.action }, { "id", c.id },
                { "fromVersion", versionOf(item) }, { "toVersion", version }, { "result", "accepted" },
                { "changeId", c.changeId } } },
    };
    table_.commit(commit, [this, attempt, version](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            const Change& change = attempt->change;
            cache_.apply({ change.kind, change.id, version, change.value });
            ChangeResult result;
            result.version = version;
            finish(attempt, result);
            return;
        }
        attempt->maybeApplied = attempt->maybeApplied || outcome == CommitOutcome::Unknown;
        retry(attempt);
    });
}

void ConfigStore::retry(const AttemptPtr& attempt)
{
    if (--attempt->attemptsLeft > 0) {
        loop_.after(RETRY_MS, [this, attempt] { readCurrent(attempt); });
        return;
    }
    ChangeResult result;
    result.code = attempt->maybeApplied ? ResultCode::ChangeOutcomeUnknown : ResultCode::StoreUnavailable;
    finish(attempt, result);
}

void ConfigStore::finish(const AttemptPtr& attempt, const ChangeResult& result) { attempt->onDone(result); }

} // namespace goldcrestcleat::fleet
