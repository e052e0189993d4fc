#include "goldcrestcleat/store/TableWatcher.h"

#include <algorithm>

namespace goldcrestcleat::store {

namespace {

    constexpr loop::TimeMs FIRST_WATCH_MS = 2'000; // until the number of daemons is known

    // Pause of a watcher that does not lead; half of the shortest history that a platform keeps, so that a read of the
    // changes is enough.
    constexpr loop::TimeMs FOLLOWER_PAUSE_MS = 10'000;

    // Beyond the time of a watch: the pause between two calls, and the time of an answer of a slow store.
    constexpr loop::TimeMs OVERDUE_MS = 500;

    // Changes often come in groups, and each call is priced. A tenth of the shortest bound on a change.
    constexpr loop::TimeMs GROUP_MS = 200;

    // Pause after the first failed call, doubled up to the longest one; entries are due back two seconds after the
    // store's return, so that the pause must stay well below that.
    constexpr loop::TimeMs FIRST_PAUSE_MS = 100;
    constexpr loop::TimeMs LONGEST_PAUSE_MS = 800;

} // namespace

TableWatcher::TableWatcher(loop::EventLoop& loop, const RowStore& store, std::string table, Hooks hooks)
    : loop_(loop)
    , store_(store)
    , table_(std::move(table))
    , hooks_(std::move(hooks))
    , watchMs_(FIRST_WATCH_MS)
{
}

void TableWatcher::start() { next(); }

void TableWatcher::setLeading(bool isLeading, loop::TimeMs watchMs)
{
    watchMs_ = watchMs;
    const bool beginsToLead = isLeading && !isLeading_;
    isLeading_ = isLeading;
    if (beginsToLead)
        heardAt_ = loop_.now();
    if (beginsToLead && timer_ != 0 && isAnswering_)
        nextAfter(0);
}

bool TableWatcher::isOverdue() const { return isLeading_ && loop_.now() - heardAt_ > watchMs_ + OVERDUE_MS; }

void TableWatcher::applyFromPeer(const RowChanges& changes, loop::TimeMs lapsedMs)
{
    if (changes.version <= mirror_.version())
        return;
    lapsedUntil_ = std::max(lapsedUntil_, loop_.now() + lapsedMs);
    const auto changed = changes.isComplete ? mirror_.replace(changes.rows, changes.version)
                                            : mirror_.apply(changes.rows, changes.version);
    if (!changed.empty())
        hooks_.onChange(changed);
}

void TableWatcher::checkNow()
{
    if (timer_ != 0 && isAnswering_)
        nextAfter(0);
}

// ---- private ----

void TableWatcher::nextAfter(loop::TimeMs pauseMs)
{
    loop_.cancel(timer_);
    timer_ = loop_.after(pauseMs, [this] { next(); });
}

void TableWatcher::next()
{
    timer_ = 0;
    if (needsWholeRead_) {
        pages_.clear();
        pagesVersion_ = 0;
        readWhole("");
    } else {
        watch();
    }
}

void TableWatcher::readWhole(const std::string& fromKey)
{
    store_.read(table_, fromKey, [this](const RowSet& answer) {
        if (answer.outcome != ReadOutcome::Answered) {
            onFailed(answer);
            return;
        }
        onAnswered();
        pages_.insert(pages_.end(), answer.rows.begin(), answer.rows.end());
        // Pages are read one after the other: only what the first one saw is known of the whole table.
        pagesVersion_ = pagesVersion_ == 0 ? answer.version : std::min(pagesVersion_, answer.version);
        if (answer.isTruncated && !answer.rows.empty()) {
            readWhole(answer.rows.back().key + '\0');
            return;
        }
        needsWholeRead_ = false;
        const std::uint64_t before = mirror_.version();
        learn(before, mirror_.replace(pages_, std::max<std::uint64_t>(pagesVersion_, 1)));
        pages_.clear();
        next();
    });
}

void TableWatcher::watch()
{
    store_.watch(table_, mirror_.version(), isLeading_ ? watchMs_ : 0, [this](const RowSet& answer) {
        if (answer.outcome == ReadOutcome::HistoryCompacted) {
            needsWholeRead_ = true;
            next();
            return;
        }
        if (answer.outcome != ReadOutcome::Answered) {
            onFailed(answer);
            return;
        }
        onAnswered();
        const std::uint64_t before = mirror_.version();
        learn(before, mirror_.apply(answer.rows, answer.version));
        const loop::TimeMs leadersPauseMs = answer.rows.empty() ? 0 : GROUP_MS;
        nextAfter(isLeading_ ? leadersPauseMs : FOLLOWER_PAUSE_MS);
    });
}

void TableWatcher::onFailed(const RowSet& answer)
{
    const int doublings = std::min(failures_, 3);
    ++failures_;
    if (isAnswering_) {
        isAnswering_ = false;
        hooks_.onContact(false, answer.reason);
    }
    nextAfter(std::min(FIRST_PAUSE_MS << doublings, LONGEST_PAUSE_MS));
}

void TableWatcher::onAnswered()
{
    failures_ = 0;
    heardAt_ = loop_.now();
    if (isAnswering_)
        return;
    isAnswering_ = true;
    lapsedUntil_ = loop_.now() + LAPSED_MS;
    hooks_.onContact(true, "answered");
}

void TableWatcher::learn(std::uint64_t afterVersion, const std::vector<VersionedRow>& changed)
{
    if (changed.empty())
        return;
    hooks_.onChange(changed);
    if (onStoreChanges)
        onStoreChanges(afterVersion, { false, mirror_.version(), changed });
}

} // namespace goldcrestcleat::store
