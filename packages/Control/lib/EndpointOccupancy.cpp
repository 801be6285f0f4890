// Finds requests that no entry has reported.
#include "lentilbay/Control/EndpointOccupancy.h"

#include <algorithm>

namespace lentilbay {
namespace {

constexpr Duration window = std::chrono::seconds(2);
/// Longer than an entry's interval between reports and the way of a report.
constexpr Duration reportDelay = std::chrono::milliseconds(400);

} // namespace

void EndpointOccupancy::noteReported(uint32_t inFlight, TimePoint now)
{
    if (now >= m_presentSince + window) {
        m_previous = m_present;
        m_present = 0;
        m_presentSince = now;
    }
    m_present = std::max(m_present, inFlight);
}

void EndpointOccupancy::judge(const std::optional<LoadReport>& load, TimePoint now)
{
    const bool isJudgeable = load && load->measuredAt > m_judged && now >= load->measuredAt + reportDelay;
    if (!isJudgeable)
        return;
    m_judged = load->measuredAt;
    const auto atEndpoint = load->running + load->waiting;
    const auto reported = std::max(m_present, m_previous);
    m_strangers = atEndpoint > reported ? atEndpoint - reported : 0;
}

} // namespace lentilbay
