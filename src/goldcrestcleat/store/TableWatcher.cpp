#include "goldcrestcleat/store/TableWatcher.h"

#include <algorithm>

namespace goldcrestcleat::store {

namespace {

    // An open watch that a silent connection swallowed is noticed after this long at the latest; each call is priced.
    constexpr loop::TimeMs WATCH_MS = 4'000;

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
{
}

void TableWatcher::start() { next(); }

void TableWatcher::applyFromPeer(const RowChanges& changes)
{
    if (changes.version <= mirror_.version())
        return;
    report(changes.isWhole ? mirror_.replace(changes.rows, changes.version)
                           : mirror_.apply(changes.rows, changes.version));
}

// ---- private ----

void TableWatcher::next()
{
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
        report(mirror_.replace(pages_, std::max<std::uint64_t>(pagesVersion_, 1)));
        pages_.clear();
        next();
    });
}

void TableWatcher::watch()
{
    store_.watch(table_, mirror_.version(), WATCH_MS, [this](const RowSet& answer) {
        if (answer.outcome == ReadOutcome::HistoryGone) {
            needsWholeRead_ = true;
            next();
            return;
        }
        if (answer.outcome != ReadOutcome::Answered) {
            onFailed(answer);
            return;
        }
        onAnswered();
        report(mirror_.apply(answer.rows, answer.version));
        next();
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
    loop_.after(std::min(FIRST_PAUSE_MS << doublings, LONGEST_PAUSE_MS), [this] { next(); });
}

void TableWatcher::onAnswered()
{
    failures_ = 0;
    if (isAnswering_)
        return;
    isAnswering_ = true;
    regainedAt_ = loop_.now();
    hooks_.onContact(true, "answered");
}

void TableWatcher::report(const std::vector<VersionedRow>& changed)
{
    if (!changed.empty())
        hooks_.onChange(changed);
}

} // namespace goldcrestcleat::store
