#include "lentilbay/Platform/WakeTimer.h"

#include "lentilbay/Support/SteadyClock.h"

#include <asio/io_context.hpp>
#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <optional>
#include <utility>

namespace lentilbay {

/// Outlives the timer until the last handler has run.
struct WakeTimer::State : std::enable_shared_from_this<WakeTimer::State> {
    State(asio::io_context& context, std::function<void()> function)
        : context(context)
        , timer(context)
        , function(std::move(function))
    {
    }

    void arm(TimePoint at)
    {
        armedAt = at;
        timer.expires_at(std::chrono::steady_clock::time_point { at.time_since_epoch() });
        timer.async_wait([self = shared_from_this()](const asio::error_code& ec) {
            if (!ec)
                self->expired();
        });
    }

    void expired()
    {
        armedAt.reset();
        if (!wantedAt)
            return;
        if (*wantedAt > steadyNow())
            return arm(*wantedAt); // the time was moved later meanwhile
        fire();
    }

    void fire()
    {
        wantedAt.reset();
        if (function)
            function();
    }

    void postFire()
    {
        if (std::exchange(posted, true))
            return;
        asio::post(context, [self = shared_from_this()] {
            self->posted = false;
            if (self->wantedAt && *self->wantedAt <= steadyNow())
                self->fire();
        });
    }

    asio::io_context& context;
    asio::steady_timer timer;
    /// Empty once the timer is gone.
    std::function<void()> function;
    std::optional<TimePoint> wantedAt;
    /// Invariant: never later than wantedAt, unless that has been posted.
    std::optional<TimePoint> armedAt;
    bool posted = false;
};

WakeTimer::WakeTimer(asio::io_context& context, std::function<void()> function)
    : m_state(std::make_shared<State>(context, std::move(function)))
{
}

WakeTimer::~WakeTimer()
{
    m_state->function = nullptr;
    m_state->wantedAt.reset();
    m_state->timer.cancel();
}

void WakeTimer::set(TimePoint at, TimePoint now)
{
    m_state->wantedAt = at;
    if (at <= now)
        return m_state->postFire();
    if (!m_state->armedAt || at < *m_state->armedAt)
        m_state->arm(at);
}

void WakeTimer::clear() { m_state->wantedAt.reset(); }

} // namespace lentilbay
