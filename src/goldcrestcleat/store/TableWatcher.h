#pragma once

#include "goldcrestcleat/store/TableMirror.h"

#include <functional>
#include <string>

namespace goldcrestcleat::store {

/// Keeps a mirror up to date by one open watch; reads the table whole at first and after a gap in the history.
class TableWatcher {
public:
    struct Hooks {
        /// Rows that changed; `isFirstRead` while the mirror was empty before.
        std::function<void(const std::vector<VersionedRow>&)> onChange;
        /// The store began or ceased to answer, with the reason.
        std::function<void(bool isAnswering, const std::string& reason)> onContact;
    };

    /// The store and the loop must outlive the watcher.
    TableWatcher(loop::EventLoop& loop, const RowStore& store, std::string table, Hooks hooks);

    void start();

    /// Takes over rows that a peer knows.
    void applyFromPeer(const RowChanges& changes);

    const TableMirror& mirror() const { return mirror_; }
    const std::string& table() const { return table_; }

    /// True while the last call was answered and the table was read whole.
    bool isCurrent() const { return isAnswering_ && mirror_.isLoaded() && !needsWholeRead_; }

    /// Returns when the store began to answer again after it had failed; 0 when it never failed.
    loop::TimeMs regainedAt() const { return regainedAt_; }

private:
    void next();
    void readWhole(const std::string& fromKey);
    void watch();
    void onFailed(const RowSet& answer);
    void onAnswered();
    void report(const std::vector<VersionedRow>& changed);

    loop::EventLoop& loop_;
    const RowStore& store_;
    std::string table_;
    Hooks hooks_;
    TableMirror mirror_;
    std::vector<VersionedRow> pages_; // of a whole read that is under way
    std::uint64_t pagesVersion_ = 0;
    bool needsWholeRead_ = true;
    bool isAnswering_ = true;
    int failures_ = 0; // in a row
    loop::TimeMs regainedAt_ = 0;
};

} // namespace goldcrestcleat::store
