#include "goldcrestcleat/loop/EventLoop.h"

#include <Poco/Net/SocketImpl.h>
#include <Poco/Timespan.h>

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace goldcrestcleat::loop {

namespace {

    constexpr TimeMs MAX_POLL_MS = 50; // maximum delay before flags set by signal handlers are checked

    TimeMs steadyNow()
    {
        const auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::milliseconds>(sinceStart).count();
    }

} // namespace

EventLoop::EventLoop(Clock clock)
    : clock_(clock ? std::move(clock) : steadyNow)
{
    refreshNow();
}

EventLoop::TimerId EventLoop::after(TimeMs delayMs, Task task)
{
    const TimerId id = nextTimerId_++;
    const TimeMs due = now_ + std::max<TimeMs>(delayMs, 0);
    timers_.emplace(due, std::make_pair(id, std::move(task)));
    timerDue_[id] = due;
    return id;
}

void EventLoop::every(TimeMs periodMs, Task task)
{
    auto shared = std::make_shared<Task>(std::move(task));
    after(periodMs, [this, periodMs, shared] {
        (*shared)();
        every(periodMs, *shared);
    });
}

void EventLoop::cancel(TimerId id)
{
    const auto due = timerDue_.find(id);
    if (due == timerDue_.end())
        return;
    auto [it, end] = timers_.equal_range(due->second);
    while (it != end && it->second.first != id)
        ++it;
    if (it != end)
        timers_.erase(it);
    timerDue_.erase(due);
}

void EventLoop::watch(const Poco::Net::Socket& socket, int modes, SocketHandler handler)
{
    const int descriptor = socket.impl()->sockfd();
    watches_.insert_or_assign(descriptor, Watch { socket, 0, std::make_shared<SocketHandler>(std::move(handler)) });
    setModes(socket, modes);
}

void EventLoop::setModes(const Poco::Net::Socket& socket, int modes)
{
    const auto watch = watches_.find(socket.impl()->sockfd());
    if (watch == watches_.end() || watch->second.modes == modes)
        return;
    // A socket without modes is removed from the set, since epoll reports hang-ups even with an empty event mask.
    if (watch->second.modes == 0)
        pollSet_.add(socket, modes);
    else if (modes == 0)
        pollSet_.remove(socket);
    else
        pollSet_.update(socket, modes);
    watch->second.modes = modes;
}

void EventLoop::unwatch(const Poco::Net::Socket& socket)
{
    const auto watch = watches_.find(socket.impl()->sockfd());
    if (watch == watches_.end())
        return;
    if (watch->second.modes != 0)
        pollSet_.remove(socket);
    watches_.erase(watch);
}

void EventLoop::run()
{
    while (running_)
        runOnce();
}

void EventLoop::runOnce()
{
    pollSockets(std::min(untilNextTimer(), MAX_POLL_MS));
    runDueTimers();
    if (onIteration)
        onIteration();
    const TimeMs durationMs = clock_() - now_;
    if (durationMs > SLOW_ITERATION_MS && onSlowIteration)
        onSlowIteration(durationMs);
    if (onIterationEnd)
        onIterationEnd(lateMs_, durationMs);
}

TimeMs EventLoop::untilNextTimer() const
{
    if (timers_.empty())
        return MAX_POLL_MS;
    return std::max<TimeMs>(timers_.begin()->first - clock_(), 0);
}

void EventLoop::pollSockets(TimeMs timeoutMs)
{
    const auto ready = pollSet_.poll(Poco::Timespan(timeoutMs * 1000));
    const TimeMs lateMs = clock_() - now_ - timeoutMs;
    lateMs_ = std::max<TimeMs>(lateMs, 0);
    refreshNow();
    // Called before any handler, since input that is buffered in the sockets may be as old as the delay is long.
    if (lateMs > LATE_ITERATION_MS && onLateIteration)
        onLateIteration(lateMs);
    for (const auto& [socket, modes] : ready) {
        const auto watch = watches_.find(socket.impl()->sockfd());
        if (watch == watches_.end() || watch->second.modes == 0)
            continue;
        const auto handler = watch->second.handler; // a copy, since the handler may remove itself
        (*handler)(modes);
    }
}

void EventLoop::runDueTimers()
{
    while (!timers_.empty() && timers_.begin()->first <= now_) {
        auto first = timers_.begin();
        const Task task = std::move(first->second.second);
        timerDue_.erase(first->second.first);
        timers_.erase(first);
        task();
    }
}

void EventLoop::refreshNow() { now_ = clock_(); }

} // namespace goldcrestcleat::loop
