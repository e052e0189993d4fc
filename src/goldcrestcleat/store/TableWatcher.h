#pragma once

#include "goldcrestcleat/store/TableMirror.h"

#include <functional>
#include <string>

namespace goldcrestcleat::store {

/// Keeps a mirror up to date; reads the complete table at first, when the store's history has a gap and when the store
/// begins a new era. Answers of an earlier era than the mirror's change nothing.
///
/// A leading watcher always keeps a watch open. Only a few of the daemons lead and forward the changes; the others poll
/// the store infrequently.
class TableWatcher {
public:
    struct Hooks {
        /// Called with the rows that changed.
        std::function<void(const std::vector<VersionedRow>&)> onChange;
        /// Called when the store starts or stops answering, with the reason.
        std::function<void(bool isAnswering, const std::string& reason)> onAvailability;
    };

    /// The store and the loop must outlive the watcher.
    TableWatcher(loop::EventLoop& loop, const RowStore& store, std::string table, Hooks hooks);

    void start();

    /// Sets whether this watcher leads, and how long its watches stay open.
    void setLeading(bool isLeading, loop::TimeMs watchMs);

    /// Applies changes from a peer; returns how many rows changed.
    std::size_t applyFromPeer(const RowChanges& changes);

    /// Reads changes immediately, as when a peer has newer ones, unless a call is open or the last one failed.
    void checkNow();

    /// True if the last call was answered.
    bool isAnswering() const { return isAnswering_; }

    /// True if this watcher leads and its watch is overdue: the store may be unreachable long before the call fails.
    bool isOverdue() const;

    /// True if this watcher leads and the store has answered it in time since it began to.
    bool isWatchAnswered() const { return isLeading_ && isAnswering_ && !isConfirming_ && !isOverdue(); }

    const TableMirror& mirror() const { return mirror_; }
    const std::string& table() const { return table_; }

    /// True if the last call was answered and the complete table was read.
    bool isCurrent() const { return isAnswering_ && mirror_.isLoaded() && !needsFullRead_; }

    /// Called with rows that changed and were read from the store, and the mirror's version before.
    std::function<void(std::uint64_t afterVersion, const std::vector<VersionedRow>& changed)> onStoreChanges;

    /// Called when the mirror changes to a new era of the store, before the rows that differ are passed on; may be
    /// unset.
    std::function<void()> onNewEra;

    /// Called when the mirror has changed to a new era that this watcher read from the store; may be unset.
    std::function<void(std::size_t changedRows)> onStoreRestored;

    /// Called when the store has answered, before the changes that the answer contains are applied; may be unset.
    std::function<void()> onAnswer;

    /// Called when the store did not answer a call, or refused it, with the time of the call; may be unset.
    std::function<void(loop::TimeMs calledAt)> onNoAnswer;

private:
    loop::TimeMs openWatchMs() const;
    void startNextCall();
    void readTable(const std::string& fromKey);
    void onTableRead();
    void watch();
    void onWatchAnswered(const RowSet& answer, StateVersion watched);
    bool isOutdated(const RowSet& answer) const;
    std::vector<VersionedRow> enterEra(const std::vector<VersionedRow>& rows, StateVersion state);
    void scheduleNextCall(loop::TimeMs pauseMs);
    void onGap();
    void onFailed(const RowSet& answer);
    void onAnswered();
    void publishChanges(std::uint64_t afterVersion, const std::vector<VersionedRow>& changed);

    loop::EventLoop& loop_;
    const RowStore& store_;
    std::string table_;
    Hooks hooks_;
    TableMirror mirror_;
    std::vector<VersionedRow> pages_; // read so far by a full read
    StateVersion pagesState_; // of the first page
    bool needsFullRead_ = true;
    loop::TimeMs confirmReadAt_ = 0; // when the table is read once more; 0 if it is not
    bool isAnswering_ = true;
    bool isLeading_ = true;
    bool isConfirming_ = false; // began to lead, and the store has not answered it since
    loop::TimeMs watchMs_; // how long a watch stays open
    loop::TimeMs calledAt_ = 0; // when the last call was made
    loop::TimeMs lastAnswerAt_ = 0; // when the store last answered, or when this watcher began to lead
    loop::EventLoop::TimerId timer_ = 0; // of the next call; 0 while a call is open
    int failures_ = 0; // consecutive
    int gaps_ = 0; // watches whose history was gone since the last one that was answered
};

} // namespace goldcrestcleat::store
