// An event loop with tasks that run once it has waited and nothing was ready.
//
// What a handler finds on a socket may be out of date: other handlers of the same turn may take long, and on
// some systems what arrives while a process computes becomes readable only when it waits. A task that looks
// at a socket and then does what cannot be undone, such as closing it, comes right after a wait and is
// followed by no other handler before the loop looks at its sockets again.
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
    /// Runs handlers and tasks until stop() is called or nothing is left to wait for.
    void run();
    /// Called by a handler or a task; those that are ready and have not run are dropped.
    void stop();
    /// Runs the task once the loop has waited for `idleWait` and no handler was ready, or at `latest` after
    /// such a wait if the loop is never idle. Called by a handler or a task.
    void whenIdle(Task task, TimePoint latest);
    /// Runs the next task if it is time to, otherwise a handler. Returns whether tasks are left.
    bool runOne(TimePoint now);

    static constexpr Duration idleWait = std::chrono::milliseconds(1);

private:
    struct Entry {
        Task task;
        TimePoint latest {};
    };

    asio::io_context m_context { 1 };
    /// By `latest`, which is the order in which they run.
    std::deque<Entry> m_tasks;
    bool m_isStopped = false;
    /// The last step was an overdue task, so that handlers come next.
    bool m_hasRunOverdueTask = false;
};

} // namespace lentilbay::http
