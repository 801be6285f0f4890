// Sliding windows of admitted tokens.
#include "lentilbay/Policy/QuotaWindow.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// The length of a bucket: a window of several seconds is exact to a few per cent.
constexpr Duration bucketLength = std::chrono::milliseconds(100);

} // namespace

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
    return std::max(0.0, sum);
}

void QuotaWindow::assumePast(const Limits& limits, TimePoint now)
{
    const double whole = limits.tokensPerSecond * toSeconds(limits.window) + limits.burstTokens;
    const auto steps = limits.window / bucketLength;
    for (int64_t step = steps; step > 0; --step)
        m_used.add(whole / static_cast<double>(steps), now - step * bucketLength);
}

bool QuotaWindow::admit(double tokens, const Limits& limits, const Peers& peers, TimePoint now)
{
    const double whole = limits.tokensPerSecond * toSeconds(limits.window) + limits.burstTokens;
    const double setAside
        = whole * static_cast<double>(peers.silent) / static_cast<double>(std::max<size_t>(1, peers.known));
    if (m_used.within(limits.window, now) + tokens > whole - setAside)
        return false;
    m_used.add(tokens, now);
    m_total += tokens;
    return true;
}

Duration QuotaWindow::timeUntil(double tokens, const Limits& limits) const
{
    if (limits.tokensPerSecond <= 0)
        return limits.window;
    return std::min(limits.window, fromSeconds(tokens / limits.tokensPerSecond));
}

void QuotaWindow::giveBack(double tokens, TimePoint now)
{
    m_used.add(-tokens, now);
    m_total -= tokens;
}

void QuotaWindow::heard(const std::string& daemon, uint64_t incarnation, double admittedTotal, TimePoint now)
{
    auto& peer = m_peers[daemon];
    if (peer.incarnation != incarnation)
        peer = { .incarnation = incarnation, .total = 0 };
    if (admittedTotal > peer.total)
        m_used.add(admittedTotal - peer.total, now);
    peer.total = std::max(peer.total, admittedTotal);
}

} // namespace lentilbay
