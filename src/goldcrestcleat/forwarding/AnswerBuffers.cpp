#include "goldcrestcleat/forwarding/AnswerBuffers.h"

namespace goldcrestcleat::forwarding {

namespace {

    constexpr loop::TimeMs CHECK_INTERVAL_MS = 50; // queued output drains without a call of `resize`

} // namespace

std::unique_ptr<AnswerBuffers::Share> AnswerBuffers::add(Hooks hooks)
{
    entries_[++lastId_].hooks = std::move(hooks);
    return std::make_unique<Share>(shared_from_this(), lastId_);
}

// ---- private ----

void AnswerBuffers::resize(std::uint64_t id, std::size_t bytes)
{
    Entry& entry = entries_.at(id);
    answerBytes_ += bytes - entry.bytes;
    if (entry.isEnding)
        endingBytes_ += bytes - entry.bytes;
    entry.bytes = bytes;
    if (loneReader_ == id && bytes <= SMALL_ANSWER_BYTES)
        loneReader_.reset(); // a stream whose large event is complete
    if (!isAboveSoftLimit())
        return;
    if (!loneReader_)
        chooseLoneReader();
    if (!std::exchange(isLimiting_, true))
        pauseOthers();
    armTimer();
    if (loneReader_ == id)
        return;
    pauseIfLarge(entry);
    if (answerBytes_ - endingBytes_ > HARD_LIMIT_BYTES)
        end(largest(), MemoryVerdict::Crowded);
}

void AnswerBuffers::remove(std::uint64_t id)
{
    const auto entry = entries_.find(id);
    answerBytes_ -= entry->second.bytes;
    if (entry->second.isEnding)
        endingBytes_ -= entry->second.bytes;
    entries_.erase(entry);
    if (loneReader_ != id)
        return;
    loneReader_.reset();
    if (isAboveSoftLimit())
        chooseLoneReader();
    else
        resumeAll();
}

/// Lets the largest answer be read to its end, unless callers have yet to read too much of earlier ones.
void AnswerBuffers::chooseLoneReader()
{
    const auto entry = largest();
    const bool hasRoom = loop_.queuedOutput() <= SOFT_LIMIT_BYTES;
    if (!hasRoom || entry == entries_.end() || entry->second.bytes <= SMALL_ANSWER_BYTES)
        return;
    loneReader_ = entry->first;
    loneSince_ = loop_.now();
    setPaused(entry->second, false);
}

void AnswerBuffers::onTimer()
{
    isTimerArmed_ = false;
    if (!isAboveSoftLimit()) {
        loneReader_.reset();
        resumeAll();
        return;
    }
    armTimer();
    if (loneReader_ && loop_.now() - loneSince_ >= MAX_LONE_READ_MS)
        end(entries_.find(*loneReader_), MemoryVerdict::NeverEnds);
    if (!loneReader_)
        chooseLoneReader();
}

void AnswerBuffers::armTimer()
{
    if (std::exchange(isTimerArmed_, true))
        return;
    loop_.after(CHECK_INTERVAL_MS, [weak = weak_from_this()] {
        if (const auto self = weak.lock())
            self->onTimer();
    });
}

void AnswerBuffers::pauseIfLarge(Entry& entry)
{
    if (entry.bytes > SMALL_ANSWER_BYTES)
        setPaused(entry, true);
}

/// Pauses all large answers but the one that is read alone.
void AnswerBuffers::pauseOthers()
{
    for (auto& [id, entry] : entries_) {
        if (loneReader_ != id)
            pauseIfLarge(entry);
    }
}

void AnswerBuffers::resumeAll()
{
    isLimiting_ = false;
    for (auto& [id, entry] : entries_) {
        if (!entry.isEnding)
            setPaused(entry, false);
    }
}

/// Returns the largest answer that is neither read alone nor about to be ended.
AnswerBuffers::Entries::iterator AnswerBuffers::largest()
{
    auto found = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        if (entry->second.isEnding || loneReader_ == entry->first)
            continue;
        if (found == entries_.end() || entry->second.bytes > found->second.bytes)
            found = entry;
    }
    return found;
}

void AnswerBuffers::end(Entries::iterator entry, MemoryVerdict verdict)
{
    if (entry == entries_.end())
        return;
    entry->second.isEnding = true;
    endingBytes_ += entry->second.bytes;
    setPaused(entry->second, true);
    if (loneReader_ == entry->first)
        loneReader_.reset();
    loop_.after(0, [weak = weak_from_this(), id = entry->first, verdict] {
        const auto self = weak.lock();
        const auto ending = self ? self->entries_.find(id) : Entries::iterator();
        if (!self || ending == self->entries_.end())
            return;
        const auto onEnd = ending->second.hooks.end; // a copy, since the hook removes the entry
        onEnd(verdict);
    });
}

void AnswerBuffers::setPaused(Entry& entry, bool isPaused)
{
    if (std::exchange(entry.isPaused, isPaused) != isPaused)
        entry.hooks.setReading(!isPaused);
}

} // namespace goldcrestcleat::forwarding
