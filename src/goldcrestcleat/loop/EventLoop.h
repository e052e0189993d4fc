#pragma once

#include <Poco/Net/PollSet.h>
#include <Poco/Net/Socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

/// The single-threaded event loop, its timers and its buffered connections.
namespace goldcrestcleat::loop {

/// Milliseconds on the steady clock; goes on while the process is stopped by a signal.
using TimeMs = std::int64_t;

/// Runs socket handlers and timers on one thread; owns no application state.
class EventLoop {
public:
    using Task = std::function<void()>;
    using SocketHandler = std::function<void(int readyModes)>;
    using TimerId = std::uint64_t; // 0 names no timer

    EventLoop();

    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    /// Returns the steady time at which the current turn began, in ms.
    TimeMs now() const { return now_; }

    /// Returns how much later than asked for the last turn began, in ms.
    TimeMs lateMs() const { return lateMs_; }

    /// Runs a task once, `delayMs` from now. Complexity: O(log n) in open timers.
    TimerId after(TimeMs delayMs, Task task);

    /// Runs a task at every multiple of `periodMs`, until the loop ends.
    void every(TimeMs periodMs, Task task);

    /// Drops a timer; unknown and spent ids are ignored.
    void cancel(TimerId id);

    /// Calls the handler when the socket is ready for one of the modes of `PollSet::Mode`; 0 mutes it.
    void watch(const Poco::Net::Socket& socket, int modes, SocketHandler handler);

    /// Changes the modes of a watched socket.
    void setModes(const Poco::Net::Socket& socket, int modes);

    void unwatch(const Poco::Net::Socket& socket);

    /// Turns until `stop` is called.
    void run();

    /// Makes `run` return after the current turn. Safe to call from a signal handler.
    void stop() { running_ = 0; }

    /// Called when a turn began over `LATE_TURN_MS` later than it should have, with the lateness in ms.
    std::function<void(TimeMs lateMs)> onLateTurn;

    /// Called after a turn whose handlers and timers took over `SLOW_TURN_MS`, with the time that they took.
    std::function<void(TimeMs tookMs)> onSlowTurn;

    /// Called after each turn with how late it began and how long its handlers and timers took.
    std::function<void(TimeMs lateMs, TimeMs tookMs)> onTurnEnd;

    /// Called once a turn; signal flags are read here.
    std::function<void()> onTurn;

    static constexpr TimeMs LATE_TURN_MS = 500;
    static constexpr TimeMs SLOW_TURN_MS = 50; // half of the pause that callers of streams notice first

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

    Poco::Net::PollSet pollSet_;
    std::unordered_map<int, Watch> watches_;
    std::multimap<TimeMs, std::pair<TimerId, Task>> timers_;
    std::unordered_map<TimerId, TimeMs> timerDue_;
    TimerId nextTimerId_ = 1;
    TimeMs now_ = 0;
    TimeMs lateMs_ = 0; // of the current turn
    volatile int running_ = 1;
};

} // namespace goldcrestcleat::loop
