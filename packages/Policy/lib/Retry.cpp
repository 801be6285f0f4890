// Exponential backoff with jitter, and the state transitions of circuit breakers.
#include "lentilbay/Policy/Retry.h"

#include <algorithm>
#include <cassert>

namespace lentilbay {

Duration backoff(uint32_t attempt, const BackoffOptions& options, Random& random)
{
    assert(attempt > 0 && "attempt numbers start at 1");
    const auto doublings = std::min<uint32_t>(attempt - 1, 20);
    const auto bound = std::min(options.longest, options.base * (1U << doublings));
    return fromSeconds(toSeconds(bound) * random.fraction());
}

bool CircuitBreaker::allows(TimePoint now) const
{
    switch (m_status) {
    case Status::Closed:
        return true;
    case Status::Open:
        return now >= m_openUntil;
    case Status::HalfOpen:
        return !m_probe || now >= m_probeUntil;
    }
    return false;
}

CircuitBreaker::Attempt CircuitBreaker::sent(TimePoint now)
{
    ++m_lastSent;
    if (m_status == Status::Open && now >= m_openUntil)
        m_status = Status::HalfOpen;
    if (m_status == Status::HalfOpen) {
        m_probe = m_lastSent;
        // A probe without a stream may take minutes until it shows anything.
        m_probeUntil = now + pauseBound();
    }
    return m_lastSent;
}

void CircuitBreaker::succeeded(Attempt attempt)
{
    if (attempt <= m_lastBeforeOpening)
        return;
    m_status = Status::Closed;
    m_failures = 0;
    m_openings = 0;
    m_probe.reset();
}

void CircuitBreaker::failed(Attempt attempt, TimePoint now, Random& random)
{
    if (attempt <= m_lastBeforeOpening)
        return;
    ++m_failures;
    if (m_status == Status::Closed && m_failures < m_options.failures)
        return;
    m_status = Status::Open;
    ++m_openings;
    m_openUntil = now + fromSeconds(toSeconds(pauseBound()) * (0.5 + random.fraction() / 2));
    m_lastBeforeOpening = m_lastSent;
    m_probe.reset();
}

void CircuitBreaker::releaseProbe(Attempt attempt)
{
    if (m_probe == attempt)
        m_probe.reset();
}

Duration CircuitBreaker::pauseBound() const
{
    assert(m_openings > 0 && "only a breaker that has opened has a pause");
    const auto doublings = std::min<uint32_t>(m_openings - 1, 10);
    return std::min(m_options.longestPause, m_options.firstPause * (1U << doublings));
}

} // namespace lentilbay
