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
    constexpr int MAX_ATTEMPTS = 6; // further tries after a lost reply or an unrelated concurrent change
    constexpr loop::TimeMs RETRY_MS = 50;
    const char* const HEAD_KEY = "config-head";

    std::string itemKey(const std::string& kind, const std::string& id) { return "config/" + kind + "/" + id; }

    std::string auditKey(std::uint64_t number)
    {
        char text[32];
        std::snprintf(text, sizeof text, "audit/%012llu", static_cast<unsigned long long>(number));
        return text;
    }

    Row rowOf(const std::vector<Row>& rows, const std::string& key)
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

    /// Tells a repeated change from another one that was sent under the same change id.
    std::string contentDigest(const Change& change)
    {
        return observe::sha256Hex(change.kind + "\n" + change.id + "\n" + change.value.dump());
    }

    std::string wallClock()
    {
        return Poco::DateTimeFormatter::format(Poco::Timestamp(), Poco::DateTimeFormat::ISO8601_FRAC_FORMAT);
    }

} // namespace

ConfigStore::ConfigStore(loop::EventLoop& loop, store::TableClient& table, ConfigBook& book)
    : loop_(loop)
    , table_(table)
    , book_(book)
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
    attempt->left = MAX_ATTEMPTS;
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
        const std::uint64_t head = versionOf(rowOf(*rows, HEAD_KEY));
        if (!hasRead_ || head != knownHead_)
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
            return; // the next poll reads again
        for (const Row& row : *rows) {
            const auto slash = row.key.find('/', 7);
            if (slash == std::string::npos || !row.value.contains("value"))
                continue;
            book_.apply(
                { row.key.substr(7, slash - 7), row.key.substr(slash + 1), versionOf(row), row.value["value"] });
        }
        if (rows->size() == PAGE_ROWS) {
            readItems(head, rows->back().key);
            return;
        }
        knownHead_ = head;
        hasRead_ = true;
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
    const Row done = rowOf(*rows, "change/" + c.changeId);
    if (done.revision != 0) {
        ChangeResult result;
        if (done.value.value("digest", "") != contentDigest(c)) {
            result.code = ResultCode::IdempotencyKeyReused;
            end(attempt, result);
            return;
        }
        result.version = versionOf(done);
        result.isRepeat = !attempt->maybeApplied;
        book_.apply({ c.kind, c.id, result.version, c.value });
        end(attempt, result);
        return;
    }
    const Row item = rowOf(*rows, itemKey(c.kind, c.id));
    if (c.expectedVersion && *c.expectedVersion != versionOf(item)) {
        ChangeResult result;
        result.code = ResultCode::VersionConflict;
        result.version = versionOf(item);
        result.winner = item.revision == 0 ? "" : item.value.value("operator", "");
        end(attempt, result);
        return;
    }
    write(attempt, item, rowOf(*rows, HEAD_KEY));
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
            { { "time", wallClock() }, { "operator", c.operatorName }, { "action", c.action }, { "id", c.id },
                { "fromVersion", versionOf(item) }, { "toVersion", version }, { "result", "accepted" },
                { "changeId", c.changeId } } },
    };
    table_.commit(commit, [this, attempt, version](CommitOutcome outcome) {
        if (outcome == CommitOutcome::Committed) {
            const Change& change = attempt->change;
            book_.apply({ change.kind, change.id, version, change.value });
            ChangeResult result;
            result.version = version;
            end(attempt, result);
            return;
        }
        attempt->maybeApplied = attempt->maybeApplied || outcome == CommitOutcome::Unknown;
        retry(attempt);
    });
}

void ConfigStore::retry(const AttemptPtr& attempt)
{
    if (--attempt->left > 0) {
        loop_.after(RETRY_MS, [this, attempt] { readCurrent(attempt); });
        return;
    }
    ChangeResult result;
    result.code = attempt->maybeApplied ? ResultCode::ChangeOutcomeUnknown : ResultCode::StoreUnavailable;
    end(attempt, result);
}

void ConfigStore::end(const AttemptPtr& attempt, const ChangeResult& result) { attempt->onDone(result); }

} // namespace goldcrestcleat::fleet
