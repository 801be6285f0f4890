// Counts the sends of one request.
#include "lentilbay/Policy/RequestAttempts.h"

#include <algorithm>
#include <utility>

namespace lentilbay {
namespace {

/// A request that so many endpoints broke off before they had begun an answer may have crashed them, and is
/// not sent to another one.
constexpr int maxBroken = 2;
/// So many endpoints without room show that the service is busy, which passes.
constexpr size_t rejectionsToWait = 2;
/// So many refusals by peers that sent the request nowhere take no retry: when several daemons lose their
/// links at once, a request meets those of which this daemon does not know it yet. With more of them the
/// fleet is overloaded, and asking each daemon would add to it.
constexpr int maxFreeRefusalsByPeers = 4;
/// The share of the retry budget for requests that fail at other endpoints as well, so that they leave some
/// of it to the others.
constexpr double shareOfFailingRequests = 0.5;

} // namespace

void RequestAttempts::begin(const EndpointId& endpoint)
{
    m_last = endpoint;
    m_tried.push_back(endpoint);
}

void RequestAttempts::recordArrival()
{
    ++m_arrivals;
    m_hasRetry = false;
}

bool RequestAttempts::recordClosedUnsent()
{
    --m_arrivals;
    // The retry that was taken for this send is left.
    m_hasRetry = m_arrivals > 0;
    if (needsNewConnection(m_last))
        return true;
    m_stale.push_back(m_last);
    m_tried.pop_back();
    return false;
}

void RequestAttempts::recordRefusalByPeer()
{
    if (++m_refusalsByPeers > maxFreeRefusalsByPeers)
        return;
    --m_arrivals;
    m_hasRetry = m_arrivals > 0;
}

void RequestAttempts::recordRejection() { m_rejecting.push_back(m_last); }

bool RequestAttempts::needsNewConnection(const EndpointId& endpoint) const
{
    return std::ranges::find(m_stale, endpoint) != m_stale.end();
}

bool RequestAttempts::reconsiderRejections()
{
    if (m_possibleExecutions > 0 || m_rejecting.size() < rejectionsToWait)
        return false;
    retryRejecting();
    return true;
}

void RequestAttempts::retryRejecting()
{
    std::erase_if(
        m_tried, [this](const auto& it) { return std::ranges::find(m_rejecting, it) != m_rejecting.end(); });
    m_rejecting.clear();
}

bool RequestAttempts::maySendAgain(const Limits& limits, WindowedRetryBudget& budget, TimePoint now)
{
    if (m_possibleExecutions >= limits.maxExecutions || m_broken >= maxBroken)
        return false;
    if (m_possibleExecutions > 0 && limits.isAtMostOnce)
        return false;
    if (m_arrivals == 0 || m_hasRetry)
        return true;
    auto allowed = limits.budget;
    if (limits.failureEvidence < minEvidenceToAskAgain) {
        allowed.ratio *= shareOfFailingRequests;
        allowed.slack *= shareOfFailingRequests;
    }
    m_hasRetry = budget.take(allowed, now);
    return m_hasRetry;
}

} // namespace lentilbay
