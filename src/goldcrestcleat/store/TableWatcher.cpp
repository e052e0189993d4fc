#include "goldcrestcleat/store/TableWatcher.h"

#include <algorithm>

namespace goldcrestcleat::store {

namespace {

    constexpr loop::TimeMs FIRST_WATCH_MS = 2'000; // until the number of daemons is known

    // Pause of a watcher that does not lead. Its peers tell it of newer rows, so that this is only a safeguard. The
    // store has usually dropped the changes since the last call, so that each call reads the complete table.
    constexpr loop::TimeMs FOLLOWER_PAUSE_MS = 600'000;

    // Allowance beyond the duration of a watch for the pause between two calls and a slow answer of the store.
    constexpr loop::TimeMs OVERDUE_MS = 500;

    // Pause of a leader after changes, which often come in batches, as each call is charged for. A tenth of the
    // shortest permitted delay of a change.
    constexpr loop::TimeMs BATCH_MS = 200;

    // Time after which a complete read is repeated if it followed a gap of the history: the copy that answered may have
    // been some seconds behind although it stated the newest version.
    constexpr loop::TimeMs CONFIRM_MS = 4'000;

    // Pause after the first failed call, doubled up to the longest one. Expired entries reappear within 2 s of the
    // store's recovery, and the pauses are the uncertainty about its time.
    constexpr loop::TimeMs FIRST_PAUSE_MS = 100;
    constexpr loop::TimeMs LONGEST_PAUSE_MS = 400;

    /// Returns the pause before the next call after a number of earlier consecutive failures.
    loop::TimeMs pauseAfter(int failures)
    {
        constexpr int MAX_DOUBLINGS = 3;
        return std::min(FIRST_PAUSE_MS << std::min(failures, MAX_DOUBLINGS), LONGEST_PAUSE_MS);
    }

} // namespace

TableWatcher::TableWatcher(loop::EventLoop& loop, const RowStore& store, std::string table, Hooks hooks)
    : loop_(loop)
    , store_(store)
    , table_(std::move(table))
    , hooks_(std::move(hooks))
    , watchMs_(FIRST_WATCH_MS)
{
}

void TableWatcher::start() { startNextCall(); }

void TableWatcher::setLeading(bool isLeading, loop::TimeMs watchMs)
{
    watchMs_ = watchMs;
    const bool beginsToLead = isLeading && !isLeading_;
    isLeading_ = isLeading;
    if (beginsToLead) {
        lastAnswerAt_ = loop_.now();
        isConfirming_ = true;
    }
    if (beginsToLead && timer_ != 0 && isAnswering_)
        scheduleNextCall(0);
}

bool TableWatcher::isOverdue() const { return isLeading_ && loop_.now() - lastAnswerAt_ > openWatchMs() + OVERDUE_MS; }

std::size_t TableWatcher::applyFromPeer(const RowChanges& changes)
{
    const StateVersion state { changes.era, changes.version };
    const bool isNews = mirror_.state() < state || (mirror_.state() == state && changes.isComplete);
    if (!isNews || (state.era > mirror_.era() && !changes.isComplete))
        return 0;
    std::vector<VersionedRow> changed;
    if (state.era > mirror_.era())
        changed = enterEra(changes.rows, state);
    else
        changed = changes.isComplete ? mirror_.replace(changes.rows, changes.version)
                                     : mirror_.apply(changes.rows, changes.version);
    if (!changed.empty())
        hooks_.onChange(changed);
    return changed.size();
}

void TableWatcher::checkNow()
{
    if (timer_ != 0 && isAnswering_)
        scheduleNextCall(0);
}

// ---- private ----

/// Returns how long a watch stays open. The first one of a leader is answered at once and shows whether the store is
/// available.
loop::TimeMs TableWatcher::openWatchMs() const { return isLeading_ && !isConfirming_ ? watchMs_ : 0; }

void TableWatcher::scheduleNextCall(loop::TimeMs pauseMs)
{
    loop_.cancel(timer_);
    timer_ = loop_.after(pauseMs, [this] { startNextCall(); });
}

void TableWatcher::startNextCall()
{
    timer_ = 0;
    if (needsFullRead_ || (confirmReadAt_ != 0 && loop_.now() >= confirmReadAt_)) {
        pages_.clear();
        readTable("");
    } else {
        watch();
    }
}

void TableWatcher::readTable(const std::string& fromKey)
{
    calledAt_ = loop_.now();
    store_.read(table_, fromKey, [this](const RowSet& answer) {
        if (answer.outcome != ReadOutcome::Answered || isOutdated(answer)) {
            onFailed(answer);
            return;
        }
        onAnswered();
        const std::uint64_t era = answer.era.value_or(mirror_.era());
        // Pages are read one after another, so the complete table is known only as of the first page's version.
        if (pages_.empty())
            pagesState_ = { era, answer.version };
        if (era != pagesState_.era) {
            onGap(); // the pages are of two eras
            return;
        }
        pagesState_.version = std::min(pagesState_.version, answer.version);
        pages_.insert(pages_.end(), answer.rows.begin(), answer.rows.end());
        if (answer.isTruncated && !answer.rows.empty())
            readTable(answer.rows.back().key + '\0');
        else
            onTableRead();
    });
}

void TableWatcher::onTableRead()
{
    confirmReadAt_ = needsFullRead_ && mirror_.isLoaded() ? loop_.now() + CONFIRM_MS : 0;
    needsFullRead_ = false;
    pagesState_.version = std::max<std::uint64_t>(pagesState_.version, 1);
    const auto rows = std::move(pages_);
    pages_.clear();
    if (pagesState_.era > mirror_.era() && mirror_.isLoaded()) {
        const auto changed = enterEra(rows, pagesState_);
        if (!changed.empty())
            hooks_.onChange(changed);
        if (onStoreRestored)
            onStoreRestored(changed.size());
    } else if (!mirror_.isLoaded()) {
        publishChanges(0, mirror_.restore(rows, pagesState_));
    } else {
        const std::uint64_t previousVersion = mirror_.version();
        publishChanges(previousVersion, mirror_.replace(rows, pagesState_.version));
    }
    if (isLeading_)
        startNextCall();
    else
        scheduleNextCall(confirmReadAt_ != 0 ? CONFIRM_MS : FOLLOWER_PAUSE_MS);
}

void TableWatcher::watch()
{
    calledAt_ = loop_.now();
    const StateVersion watched = mirror_.state();
    store_.watch(table_, watched.version, openWatchMs(), [this, watched](const RowSet& answer) {
        if (answer.outcome == ReadOutcome::HistoryCompacted)
            onGap();
        else if (answer.outcome != ReadOutcome::Answered || isOutdated(answer))
            onFailed(answer);
        else
            onWatchAnswered(answer, watched);
    });
}

void TableWatcher::onWatchAnswered(const RowSet& answer, StateVersion watched)
{
    onAnswered();
    // The version that was watched means another state in a new era, so that the answer may lack changes.
    const std::uint64_t era = answer.era.value_or(mirror_.era());
    if (era > mirror_.era()) {
        onGap();
        return;
    }
    if (era != watched.era) {
        scheduleNextCall(0); // a peer's rows have moved the mirror to the new era meanwhile
        return;
    }
    std::uint64_t version = answer.version;
    if (answer.isTruncated && !answer.rows.empty()) {
        version = std::min(version, answer.rows.back().version - 1); // more rows of the last version may follow
        if (version <= watched.version) {
            onGap();
            return;
        }
    }
    gaps_ = 0;
    const std::uint64_t previousVersion = mirror_.version();
    publishChanges(previousVersion, mirror_.apply(answer.rows, version));
    const loop::TimeMs leaderPauseMs = answer.rows.empty() ? 0 : BATCH_MS;
    scheduleNextCall(isLeading_ ? leaderPauseMs : FOLLOWER_PAUSE_MS);
}

/// Returns whether an answer comes from an earlier era of the store than the mirror.
bool TableWatcher::isOutdated(const RowSet& answer) const
{
    return answer.outcome == ReadOutcome::Answered && answer.era.value_or(mirror_.era()) < mirror_.era();
}

/// Takes over a complete table of a new era. Returns the rows that differ.
std::vector<VersionedRow> TableWatcher::enterEra(const std::vector<VersionedRow>& rows, StateVersion state)
{
    if (onNewEra && mirror_.isLoaded())
        onNewEra();
    return mirror_.restore(rows, state);
}

/// Reads the complete table, at once the first time. The copy that answers may be behind the store's history for some
/// seconds, so that the next watch shows a gap again.
void TableWatcher::onGap()
{
    needsFullRead_ = true;
    if (gaps_ == 0)
        startNextCall();
    else
        scheduleNextCall(pauseAfter(gaps_ - 1));
    ++gaps_;
}

void TableWatcher::onFailed(const RowSet& answer)
{
    if (onNoAnswer)
        onNoAnswer(calledAt_);
    if (isAnswering_) {
        isAnswering_ = false;
        hooks_.onAvailability(false, isOutdated(answer) ? "the store answered from an earlier era" : answer.reason);
    }
    scheduleNextCall(pauseAfter(failures_++));
}

void TableWatcher::onAnswered()
{
    failures_ = 0;
    lastAnswerAt_ = loop_.now();
    isConfirming_ = false;
    if (onAnswer)
        onAnswer();
    if (isAnswering_)
        return;
    isAnswering_ = true;
    hooks_.onAvailability(true, "answered");
}

void TableWatcher::publishChanges(std::uint64_t afterVersion, const std::vector<VersionedRow>& changed)
{
    if (changed.empty())
        return;
    hooks_.onChange(changed);
    if (onStoreChanges)
        onStoreChanges(afterVersion, changed);
}

} // namespace goldcrestcleat::store
