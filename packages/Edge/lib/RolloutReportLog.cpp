// The newest report of each daemon on one rollout.
#include "lentilbay/Edge/RolloutReportLog.h"

namespace lentilbay::edge {
namespace {

/// Four reports have been lost, or their sender has ended.
constexpr Duration silentTime = std::chrono::seconds(1);
/// Incarnations of daemons. More of them would need several restarts of each daemon within an order.
constexpr size_t maxEntries = 64;

} // namespace

void RolloutReportLog::add(const RolloutReport& report, TimePoint now)
{
    const std::pair id(report.daemon, report.incarnation);
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        if (m_entries.size() < maxEntries)
            m_entries.emplace(id, Entry { .report = report, .receivedAt = now });
    } else if (report.sequence > known->second.report.sequence) {
        known->second = { .report = report, .receivedAt = now };
    }
}

std::vector<RolloutReportLog::Entry> RolloutReportLog::all() const
{
    std::vector<Entry> out;
    out.reserve(m_entries.size());
    for (const auto& [id, it] : m_entries)
        out.push_back(it);
    return out;
}

std::vector<RolloutReport> RolloutReportLog::ofSilent(TimePoint now) const
{
    std::vector<RolloutReport> out;
    for (const auto& [id, it] : m_entries) {
        if (now - it.receivedAt >= silentTime)
            out.push_back(it.report);
    }
    return out;
}

} // namespace lentilbay::edge
