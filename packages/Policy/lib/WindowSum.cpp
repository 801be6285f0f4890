// Sums over a sliding window.
#include "lentilbay/Policy/WindowSum.h"

namespace lentilbay {

void WindowSum::add(double amount, TimePoint now)
{
    if (!m_buckets.empty() && now - m_buckets.back().at < bucketLength)
        m_buckets.back().amount += amount;
    else
        m_buckets.push_back({ .at = now, .amount = amount });
}

double WindowSum::within(Duration window, TimePoint now)
{
    // A bucket counts until its youngest part has left the window.
    while (!m_buckets.empty() && m_buckets.front().at + bucketLength + window < now)
        m_buckets.pop_front();
    double sum = 0;
    for (const auto& it : m_buckets)
        sum += it.amount;
    return sum;
}

} // namespace lentilbay
