#pragma once

#include "goldcrestcleat/loop/EventLoop.h"

#include <functional>
#include <queue>
#include <tuple>

namespace bench {

using goldcrestcleat::loop::TimeMs;

/// Discrete-event scheduler: runs tasks in the order of their times, without waiting.
class Timeline {
public:
    /// Schedules a task. Tasks with the same time run in the order in which they were scheduled.
    void schedule(TimeMs when, std::function<void()> task) { events_.push({ when, nextOrder_++, std::move(task) }); }

    /// Runs all tasks, including those that are scheduled meanwhile. Calls `onTime` with the time of each task before
    /// it.
    void run(const std::function<void(TimeMs)>& onTime)
    {
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            onTime(event.at);
            event.task();
        }
    }

private:
    struct Event {
        TimeMs at;
        std::uint64_t order;
        std::function<void()> task;
        bool operator<(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    std::priority_queue<Event> events_;
    std::uint64_t nextOrder_ = 0;
};

} // namespace bench
