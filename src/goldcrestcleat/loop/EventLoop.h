#pragma once

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

/// The single-threaded event loop, its timers and its buffered connections.
namespace goldcrestcleat::loop {

/// Milliseconds on the steady clock, which also advances while the process is stopped by a signal.
using TimeMs = std::int64_t;

/// Runs socket handlers and timers on one thread. Holds no application state.
class EventLoop {
public:
    using Task = std::function<void()>;
    using SocketHandler = std::function<void(int readyModes)>;
    using TimerId = std::uint64_t; // 0 is never a valid id

    /// Returns the current time in ms.
    using Clock = std::function<TimeMs()>;

    /// Creates a loop on the steady clock, or on the given one.
    explicit EventLoop(Clock clock = nullptr);

    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Returns the steady-clock time at which the current iteration began, in ms.
    TimeMs now() const { return now_; }

    /// Returns how much later than scheduled the current iteration began, in ms.
    TimeMs lateMs() const { return lateMs_; }

    /// Runs a task once, `delayMs` from now. Complexity: O(log n) in pending timers.
    TimerId after(TimeMs delayMs, Task task);

    /// Runs a task repeatedly, `periodMs` after its previous run, until the loop ends.
    void every(TimeMs periodMs, Task task);

    /// Cancels a timer. Ids that are unknown or have expired are ignored.
    void cancel(TimerId id);

    /// Calls the handler whenever the socket is ready for one of `modes` (see `PollSet::Mode`); 0 suspends the calls.
    void watch(const Poco::Net::Socket& socket, int modes, SocketHandler handler);

    /// Changes the modes of a watched socket.
    void setModes(const Poco::Net::Socket& socket, int modes);

    void unwatch(const Poco::Net::Socket& socket);

    /// Runs iterations until `stop` is called.
    void run();

    /// Runs a single iteration.
    void runOnce();

    /// Makes `run` return after the current iteration. Safe to call from a signal handler.
    void stop() { running_ = 0; }

    /// Counts memory of output buffers, in bytes; negative for memory that is released.
    void addQueuedOutput(std::ptrdiff_t bytes) { queuedOutput_ += bytes; }

    /// Returns the memory of the output buffers of all connections on this loop, in bytes.
    std::size_t queuedOutput() const { return static_cast<std::size_t>(queuedOutput_); }

    /// Called when an iteration began more than `LATE_ITERATION_MS` later than scheduled, with the delay in ms.
    std::function<void(TimeMs lateMs)> onLateIteration;

    /// Called after an iteration whose handlers and timers took more than `SLOW_ITERATION_MS`, with the time they took.
    std::function<void(TimeMs durationMs)> onSlowIteration;

    /// Called after each iteration with the delay of its start and the time that its handlers and timers took.
    std::function<void(TimeMs lateMs, TimeMs durationMs)> onIterationEnd;

    /// Called once in each iteration; the place to check flags that signal handlers set.
    std::function<void()> onIteration;

    static constexpr TimeMs LATE_ITERATION_MS = 500;
    static constexpr TimeMs SLOW_ITERATION_MS = 50; // half of the shortest pause that is noticed in a stream

private:
    struct Watch {
        Poco::Net::Socket socket;
        int modes;
        std::shared_ptr<SocketHandler> handler;
    };

    TimeMs untilNextTimer() const;
    void pollSockets(TimeMs timeoutMs);
    void runDueTimers();
    void refreshNow();

    const Clock clock_;
    Poco::Net::PollSet pollSet_;
    std::unordered_map<int, Watch> watches_;
    std::multimap<TimeMs, std::pair<TimerId, Task>> timers_;
    std::unordered_map<TimerId, TimeMs> timerDue_;
    TimerId nextTimerId_ = 1;
    TimeMs now_ = 0;
    TimeMs lateMs_ = 0; // of the current iteration
    std::ptrdiff_t queuedOutput_ = 0;
    volatile int running_ = 1;
};

} // namespace goldcrestcleat::loop
