// Runs handlers of Asio and idle tasks by turns.
#include "lentilbay/Http/EventLoop.h"

#include "lentilbay/Support/SteadyClock.h"

#include <algorithm>
#include <poll.h>
#include <utility>

namespace lentilbay::http {
namespace {

/// Handlers that run between two overdue tasks if they are ready.
constexpr int maxHandlersBetweenTasks = 64;

} // namespace

void EventLoop::run()
{
    while (!m_isStopped) {
        // Returns when a task has been added, or if nothing is left to wait for.
        m_context.restart();
        if (m_context.run() == 0 && m_tasks.empty())
            return;
        while (!m_isStopped && runOne(bootNow())) { }
    }
}

void EventLoop::stop()
{
    m_isStopped = true;
    m_context.stop();
}

void EventLoop::whenIdle(Task task, TimePoint latest)
{
    const auto it = std::ranges::upper_bound(m_tasks, latest, {}, &Entry::latest);
    m_tasks.insert(it, { .task = std::move(task), .latest = latest });
    m_context.stop();
}

bool EventLoop::runOne(TimePoint now)
{
    if (m_tasks.empty())
        return false;
    // The context is stopped whenever a task is added.
    m_context.restart();
    if (std::exchange(m_hasRunOverdueTask, false)) {
        // Otherwise many tasks that are overdue together would hold everything else up.
        for (int i = 0; i < maxHandlersBetweenTasks && !m_isStopped && m_context.poll_one() > 0; ++i)
            m_context.restart();
        return true;
    }
    m_hasRunOverdueTask = now >= m_tasks.front().latest;
    if (m_hasRunOverdueTask)
        ::poll(nullptr, 0, idleWait / std::chrono::milliseconds(1));
    else if (m_context.run_one_for(idleWait) > 0 || m_context.poll_one() > 0)
        return true;
    const auto entry = std::move(m_tasks.front());
    m_tasks.pop_front();
    entry.task();
    return !m_tasks.empty();
}

} // namespace lentilbay::http
