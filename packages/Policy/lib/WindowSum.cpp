// Sliding-window sum over time buckets.
#include "lentilbay/Policy/WindowSum.h"

namespace lentilbay {

void WindowSum::add(double amount, TimePoint now)
{
    if (!m_buckets.empty() && now - m_buckets.back().startedAt < bucketLength)
        m_buckets.back().amount += amount;
    else
        m_buckets.push_back({ .startedAt = now, .amount = amount });
}

double WindowSum::within(Duration window, TimePoint now)
{
    // A bucket counts until its latest amount has left the window.
    while (!m_buckets.empty() && m_buckets.front().startedAt + bucketLength + window < now)
        m_buckets.pop_front();
    double sum = 0;
    for (const auto& it : m_buckets)
        sum += it.amount;
    return sum;
}

} // namespace lentilbay
