// Interposes a handler that is safe in a signal: it reads a clock, stores a number and calls the former one.
#include "lentilbay/Support/SignalTime.h"

#include "lentilbay/Support/SteadyClock.h"

#include <atomic>
#include <csignal>
#include <mutex>

namespace lentilbay {
namespace {

std::mutex usersMutex;
int users = 0;
struct sigaction formerAction { };
/// Zero if there has been none. Lock-free, as the handler needs it.
std::atomic<Duration::rep> firstAt = 0;
static_assert(std::atomic<Duration::rep>::is_always_lock_free);

extern "C" void noteSignal(int signal)
{
    Duration::rep none = 0;
    firstAt.compare_exchange_strong(none, bootNow().time_since_epoch().count());
    formerAction.sa_handler(signal);
}

} // namespace

SignalTime::SignalTime()
{
    const std::lock_guard lock(usersMutex);
    if (users++ > 0)
        return;
    firstAt = 0;
    sigaction(SIGTERM, nullptr, &formerAction);
    if (formerAction.sa_handler == SIG_DFL || formerAction.sa_handler == SIG_IGN)
        return;
    auto action = formerAction;
    action.sa_handler = noteSignal;
    sigaction(SIGTERM, &action, nullptr);
}

SignalTime::~SignalTime()
{
    const std::lock_guard lock(usersMutex);
    if (--users == 0)
        sigaction(SIGTERM, &formerAction, nullptr);
}

std::optional<TimePoint> SignalTime::first() const
{
    const auto at = firstAt.load();
    return at == 0 ? std::nullopt : std::optional(TimePoint { Duration(at) });
}

} // namespace lentilbay
