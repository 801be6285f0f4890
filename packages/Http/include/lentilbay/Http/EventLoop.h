// An event loop with tasks that run once everything that was ready has been handled.
//
// What a handler finds on a socket may be out of date when its turn of the loop ends: other handlers of the
// same turn may take long. A task that looks at a socket and then does what cannot be undone, such as closing
// it, is followed by no other handler before the loop looks at its sockets again.
#pragma once

#include "lentilbay/Support/Time.h"

#include <asio/io_context.hpp>
#include <deque>
#include <functional>

namespace lentilbay::http {

class EventLoop {
public:
    using Task = std::function<void()>;

    asio::io_context& context() { return m_context; }
    /// Runs handlers and tasks until stop() is called.
    void run();
    /// Called by a handler or a task; those that are ready and have not run are dropped.
    void stop();
    /// Runs the task once no handler is ready, or after `maxTaskDelay` if the loop is never idle. Called by a
    /// handler or a task.
    void whenIdle(Task task, TimePoint now);
    /// Runs the next task if no handler is ready or the task has waited for `maxTaskDelay`, otherwise a
    /// handler. Returns whether tasks are left.
    bool runOne(TimePoint now);

    static constexpr Duration maxTaskDelay = std::chrono::milliseconds(300);

private:
    struct Entry {
        Task task;
        TimePoint notAfter {};
    };

    asio::io_context m_context { 1 };
    /// In the order in which they run.
    std::deque<Entry> m_tasks;
    bool m_isStopped = false;
};

} // namespace lentilbay::http
