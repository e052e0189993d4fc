#pragma once

#include "goldcrestcleat/admission/Verdict.h"
#include "goldcrestcleat/fleet/SharedQuarantine.h"
#include "goldcrestcleat/observe/Log.h"
#include "goldcrestcleat/store/RowStore.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace goldcrestcleat::fleet {

/// Verdicts in a table of the deployment's store: one row for each fingerprint, whose key is the fingerprint.
class VerdictRows {
public:
    static constexpr const char* TABLE = "goldcrestcleat-quarantine";

    using ReadHook = std::function<void(const std::optional<std::vector<admission::Verdict>>&)>;

    /// The store and the log must outlive this object.
    VerdictRows(const store::RowStore& store, const observe::Log& log);

    /// Reads all verdicts; reports nothing if a call failed. Rows that can't be parsed are logged and skipped.
    void read(ReadHook onDone) const;

    /// Writes a verdict unless the stored one has the same or a higher revision.
    void save(const admission::Verdict& verdict, std::function<void(SaveOutcome)> onDone) const;

private:
    using Rows = std::vector<store::VersionedRow>;

    void readFrom(const std::string& fromKey, Rows rows, ReadHook onDone) const;
    std::vector<admission::Verdict> parse(const Rows& rows) const;
    std::optional<admission::Verdict> parseRow(const store::VersionedRow& row) const;

    const store::RowStore& store_;
    const observe::Log& log_;
};

} // namespace goldcrestcleat::fleet
