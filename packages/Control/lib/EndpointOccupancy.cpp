// Compares load reports of an endpoint with the reports of the entry daemons.
#include "lentilbay/Control/EndpointOccupancy.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr Duration window = std::chrono::seconds(2);
/// Exceeds the interval between the reports of an entry daemon plus the network delay of a report.
constexpr Duration reportDelay = std::chrono::milliseconds(400);

} // namespace

void EndpointOccupancy::noteReported(uint32_t inFlight, TimePoint now)
{
    if (now >= m_windowStart + window) {
        m_previousMax = m_currentMax;
        m_currentMax = 0;
        m_windowStart = now;
    }
    m_currentMax = std::max(m_currentMax, inFlight);
}

void EndpointOccupancy::evaluate(const std::optional<LoadReport>& load, TimePoint now)
{
    const bool isDue = load && load->measuredAt > m_lastEvaluated && now >= load->measuredAt + reportDelay;
    if (!isDue)
        return;
    m_lastEvaluated = load->measuredAt;
    const auto atEndpoint = load->running + load->waiting;
    const auto reported = std::max(m_currentMax, m_previousMax);
    m_unreported = atEndpoint > reported ? atEndpoint - reported : 0;
}

} // namespace lentilbay
