#include "goldcrestcleat/fleet/VerdictRows.h"

namespace goldcrestcleat::fleet {

using admission::Verdict;
using store::ReadOutcome;
using store::RowCommitOutcome;

VerdictRows::VerdictRows(const store::RowStore& store, const observe::Log& log)
    : store_(store)
    , log_(log)
{
}

void VerdictRows::read(ReadHook onDone) const { readFrom("", {}, std::move(onDone)); }

void VerdictRows::save(const Verdict& verdict, std::function<void(SaveOutcome)> onDone) const
{
    const std::string key = admission::toHex(verdict.fingerprint);
    store_.read(TABLE, key, [this, verdict, key, onDone = std::move(onDone)](const store::RowSet& answer) {
        if (answer.outcome != ReadOutcome::Answered) {
            onDone(SaveOutcome::Failed);
            return;
        }
        store::RowWrite write { TABLE, key, admission::toJson(verdict).dump(), 0, true };
        if (!answer.rows.empty() && answer.rows.front().key == key) {
            write.expectedVersion = answer.rows.front().version;
            const auto stored = parseRow(answer.rows.front());
            if (stored && stored->revision >= verdict.revision) {
                onDone(SaveOutcome::Superseded);
                return;
            }
        }
        store_.commit({ write }, [onDone](RowCommitOutcome outcome) {
            if (outcome == RowCommitOutcome::Committed)
                onDone(SaveOutcome::Saved);
            else
                onDone(outcome == RowCommitOutcome::Conflict ? SaveOutcome::Superseded : SaveOutcome::Failed);
        });
    });
}

// ---- private ----

void VerdictRows::readFrom(const std::string& fromKey, Rows rows, ReadHook onDone) const
{
    store_.read(TABLE, fromKey,
        [this, rows = std::move(rows), onDone = std::move(onDone)](const store::RowSet& answer) mutable {
            if (answer.outcome != ReadOutcome::Answered) {
                log_.warn("quarantine-not-read", { { "reason", answer.reason } });
                onDone(std::nullopt);
                return;
            }
            rows.insert(rows.end(), answer.rows.begin(), answer.rows.end());
            if (answer.isTruncated && !answer.rows.empty())
                readFrom(answer.rows.back().key + '\0', std::move(rows), std::move(onDone));
            else
                onDone(parse(rows));
        });
}

std::vector<Verdict> VerdictRows::parse(const Rows& rows) const
{
    std::vector<Verdict> verdicts;
    for (const auto& row : rows) {
        if (auto verdict = parseRow(row))
            verdicts.push_back(std::move(*verdict));
    }
    return verdicts;
}

std::optional<Verdict> VerdictRows::parseRow(const store::VersionedRow& row) const
{
    try {
        return admission::parseVerdict(nlohmann::json::parse(row.value));
    } catch (const std::exception& e) {
        log_.warn("quarantine-row-unreadable", { { "key", row.key }, { "reason", e.what() } });
        return std::nullopt;
    }
}

} // namespace goldcrestcleat::fleet
