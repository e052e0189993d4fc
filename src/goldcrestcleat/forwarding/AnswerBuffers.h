#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace goldcrestcleat::forwarding {

/// Why an answer is ended for lack of memory.
enum class MemoryVerdict {
    Crowded, ///< the hard limit is exceeded, and the answer is the largest of those that are not read
    NeverEnds ///< no other large answer was read, and yet it did not end in time
};

/// Limits the memory that a daemon uses for answers: those being received, and the output queued on all connections.
///
/// Above the soft limit, only one large answer is read at a time, beginning with the largest; TCP flow control slows
/// down the servers of the others. It is ended if it takes too long. Small answers are always read. Above the hard
/// limit, the largest of the other answers is ended.
class AnswerBuffers : public std::enable_shared_from_this<AnswerBuffers> {
public:
    static constexpr std::size_t MAX_ANSWER_BYTES = 8 * 1024 * 1024; ///< of one answer that is no stream
    static constexpr std::size_t SMALL_ANSWER_BYTES = 64 * 1024;
    static constexpr std::size_t SOFT_LIMIT_BYTES = 32 * 1024 * 1024;
    static constexpr std::size_t HARD_LIMIT_BYTES = 40 * 1024 * 1024; ///< of the answers being received, all but one
    static constexpr loop::TimeMs MAX_LONE_READ_MS = 500; ///< time for a large answer while no other one is read

    struct Hooks {
        std::function<void(bool isReading)> setReading; ///< pauses or resumes reading of the answer
        std::function<void(MemoryVerdict)> end; ///< called at most once, never from within a call of `resize`
    };

    /// The memory of one answer, which counts until this object is destroyed.
    class Share {
    public:
        Share(std::shared_ptr<AnswerBuffers> buffers, std::uint64_t id)
            : buffers_(std::move(buffers))
            , id_(id)
        {
        }
        ~Share() { buffers_->remove(id_); }
        Share(const Share&) = delete;
        Share& operator=(const Share&) = delete;

        /// Sets the bytes that the answer uses. May pause it.
        void resize(std::size_t bytes) { buffers_->resize(id_, bytes); }

    private:
        std::shared_ptr<AnswerBuffers> buffers_;
        std::uint64_t id_;
    };

    explicit AnswerBuffers(loop::EventLoop& loop)
        : loop_(loop)
    {
    }

    /// Registers an answer that is being received.
    std::unique_ptr<Share> add(Hooks hooks);

    /// Returns the bytes of all answers that are being received.
    std::size_t answerBytes() const { return answerBytes_; }

private:
    struct Entry {
        Hooks hooks;
        std::size_t bytes = 0;
        bool isPaused = false;
        bool isEnding = false; // it is paused, and its `end` hook is about to be called
    };
    using Entries = std::map<std::uint64_t, Entry>;

    void resize(std::uint64_t id, std::size_t bytes);
    void remove(std::uint64_t id);
    std::size_t heldBytes() const { return answerBytes_ + loop_.queuedOutput(); }
    bool isAboveSoftLimit() const { return heldBytes() > SOFT_LIMIT_BYTES; }
    void chooseLoneReader();
    void onTimer();
    void armTimer();
    static void pauseIfLarge(Entry& entry);
    void pauseOthers();
    void resumeAll();
    Entries::iterator largest();
    void end(Entries::iterator entry, MemoryVerdict verdict);
    static void setPaused(Entry& entry, bool isPaused);

    loop::EventLoop& loop_;
    Entries entries_;
    std::uint64_t lastId_ = 0;
    std::size_t answerBytes_ = 0;
    std::size_t endingBytes_ = 0; // part of `answerBytes_`
    std::optional<std::uint64_t> loneReader_; // the large answer that is read above the soft limit
    loop::TimeMs loneSince_ = 0;
    bool isLimiting_ = false; // large answers are paused
    bool isTimerArmed_ = false;
};

} // namespace goldcrestcleat::forwarding
