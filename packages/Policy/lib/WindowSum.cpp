// Sliding-window sum over time buckets.
#include "lentilbay/Policy/WindowSum.h"

#include <algorithm>

namespace lentilbay {

void WindowSum::evict(Duration window, TimePoint now)
{
    while (!m_buckets.empty() && expiry(m_buckets.front(), window) < now)
        m_buckets.pop_front();
}

void WindowSum::add(double amount, TimePoint now)
{
    // Some sums are added to with each request and hardly ever read.
    evict(std::max(m_longestWindow, minKept), now);
    if (!m_buckets.empty() && now - m_buckets.back().startedAt < bucketLength)
        m_buckets.back().amount += amount;
    else
        m_buckets.push_back({ .startedAt = now, .amount = amount });
}

void WindowSum::addAt(double amount, TimePoint at)
{
    const auto next = std::ranges::upper_bound(
        m_buckets, at, std::ranges::less(), [](const auto& it) { return it.startedAt; });
    m_buckets.insert(next, { .startedAt = at, .amount = amount });
}

double WindowSum::within(Duration window, TimePoint now)
{
    m_longestWindow = std::max(m_longestWindow, window);
    evict(m_longestWindow, now);
    double sum = 0;
    for (auto it = m_buckets.rbegin(); it != m_buckets.rend() && expiry(*it, window) >= now; ++it)
        sum += it->amount;
    return sum;
}

double WindowSum::withinUntil(TimePoint until, Duration window, TimePoint now) const
{
    double sum = 0;
    for (auto it = m_buckets.rbegin(); it != m_buckets.rend() && expiry(*it, window) >= now; ++it) {
        if (until >= now || it->startedAt + bucketLength <= until)
            sum += it->amount;
    }
    return sum;
}

} // namespace lentilbay
