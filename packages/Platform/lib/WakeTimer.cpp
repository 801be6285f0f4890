// Implements WakeTimer with an asio::steady_timer that is left armed when the time is moved later or cleared.
#include "lentilbay/Platform/WakeTimer.h"

#include "lentilbay/Support/SteadyClock.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace lentilbay {

/// Kept alive by pending handlers after the WakeTimer is destroyed.
struct WakeTimer::State : std::enable_shared_from_this<WakeTimer::State> {
    State(asio::io_context& context, std::function<void()> callback)
        : context(context)
        , timer(context)
        , callback(std::move(callback))
    {
    }

    void arm(TimePoint at)
    {
        armedAt = at;
        timer.expires_at(std::chrono::steady_clock::time_point { at.time_since_epoch() });
        timer.async_wait([self = shared_from_this()](const asio::error_code& ec) {
            if (!ec)
                self->onExpiry();
        });
    }

    void onExpiry()
    {
        armedAt.reset();
        if (!requestedAt)
            return;
        if (*requestedAt > steadyNow())
            return arm(*requestedAt); // set() requested a later time after the timer was armed
        fire();
    }

    void fire()
    {
        requestedAt.reset();
        if (callback)
            callback();
    }

    void postFire()
    {
        if (std::exchange(posted, true))
            return;
        asio::post(context, [self = shared_from_this()] {
            self->posted = false;
            if (self->requestedAt && *self->requestedAt <= steadyNow())
                self->fire();
        });
    }

    asio::io_context& context;
    asio::steady_timer timer;
    /// Empty once the WakeTimer is destroyed.
    std::function<void()> callback;
    std::optional<TimePoint> requestedAt;
    /// Invariant: not later than requestedAt, unless the callback has been posted for that time.
    std::optional<TimePoint> armedAt;
    bool posted = false;
};

WakeTimer::WakeTimer(asio::io_context& context, std::function<void()> callback)
    : m_state(std::make_shared<State>(context, std::move(callback)))
{
}

WakeTimer::~WakeTimer()
{
    m_state->callback = nullptr;
    m_state->requestedAt.reset();
    m_state->timer.cancel();
}

void WakeTimer::set(TimePoint at, TimePoint now)
{
    m_state->requestedAt = at;
    if (at <= now)
        return m_state->postFire();
    if (!m_state->armedAt || at < *m_state->armedAt)
        m_state->arm(at);
}

void WakeTimer::clear() { m_state->requestedAt.reset(); }

} // namespace lentilbay
