// The values of the edge daemon for the metrics.
#include "lentilbay/Edge/EdgeDaemon.h"
#include "lentilbay/Support/Log.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <iterator>
#include <set>
#include <unistd.h>

namespace lentilbay::edge {
namespace {

/// Returns the resident memory of the process, or -1 if it cannot be determined.
double residentBytes()
{
    std::ifstream in("/proc/self/statm");
    double all = 0;
    double resident = 0;
    return in >> all >> resident ? resident * static_cast<double>(sysconf(_SC_PAGESIZE)) : -1;
}

} // namespace

EdgeDaemon::Gauges EdgeDaemon::gauges(TimePoint now) const
{
    const auto number = [](auto n) { return static_cast<double>(n); };
    const auto age = m_state.routesAge(now);
    const auto endpointsAt = m_endpointFollower->confirmedAt();
    Gauges out { { "configuration_version", number(m_state.routes ? m_state.routes->version() : 0) },
        { "configuration_age_seconds", age ? toSeconds(*age) : -1 },
        { "endpoints", number(m_state.endpointRegistry.all().size()) },
        { "endpoints_age_seconds", endpointsAt ? toSeconds(now - *endpointsAt) : -1 },
        { "requests_open", number(m_state.requests.size()) },
        { "requests_waiting", number(m_state.queue.size()) },
        { "caller_connections", number(m_callerServer->connections()) },
        { "endpoint_connections_opened", number(m_state.pools.opened()) },
        { "endpoint_connections_withheld", number(m_state.pools.withheld()) },
        { "peers", number(m_state.peers.peers().size()) },
        { "peers_silent", number(m_state.peers.silentDaemons()) },
        { "aggregator", number(m_summaries.isAggregator()) },
        { "store_calls",
            number(
                m_configurationFollower->calls() + m_endpointFollower->calls() + m_daemonFollower->calls()) },
        { "store_calls_failed",
            number(m_configurationFollower->failures() + m_endpointFollower->failures()
                + m_daemonFollower->failures()) },
        { "stream_origin_store_calls", number(m_state.streamOrigins.calls()) },
        { "stream_origin_store_calls_failed", number(m_state.streamOrigins.failures()) },
        { "stream_origins_unwritten", number(m_state.streamOrigins.unwritten()) },
        { "quota_checkpoint_store_calls", number(m_quotaCheckpoints.calls()) },
        { "quota_checkpoint_store_calls_failed", number(m_quotaCheckpoints.failures()) },
        { "quota_checkpoint_conflicts", number(m_quotaCheckpoints.conflicts()) },
        { "retry_reservations_organisations", number(m_state.organisationsWithReservations()) },
        { "quotas_restored", number(m_quotaCheckpoints.isRestored()) }, { "store_era", number(m_storeEra) },
        { "event_loop_delay_seconds", toSeconds(m_loopWatch.delay()) },
        { "request_memory_bytes", number(m_state.requestMemory->usedBytes()) },
        { "requests_evicted", number(m_state.requestMemory->evictions()) },
        { "answer_memory_bytes", number(m_state.answerMemory->usedBytes()) },
        { "answers_evicted", number(m_state.answerMemory->evictions()) },
        { "link_state", number(static_cast<int>(m_state.links.state())) },
        { "relays", number(m_state.relays.size()) },
        { "crash_triggers_blocked", number(m_state.crashes.blockedTriggers()) },
        { "log_lines_dropped", number(droppedLogLines()) }, { "resident_bytes", residentBytes() } };
    for (const auto& [revision, n] : m_state.peers.daemonsByRevision())
        out.emplace_back(
            fmt::format("peers_by_wire_revision{{revision=\"{}\"}}", static_cast<int>(revision)), number(n));
    out.emplace_back("slots_assigned", number(m_state.endpointRegistry.assignedSlots()));
    out.emplace_back("endpoints_excluded", number(m_endpointReports.excluded()));
    for (const auto& [source, sumAge] : m_summaries.ages(now))
        out.emplace_back(fmt::format("summary_age_seconds{{source=\"{}\"}}", source), toSeconds(sumAge));
    std::ranges::move(m_state.rollouts.gauges(now), std::back_inserter(out));
    std::set<ServiceId> services;
    for (const auto& [id, endpoint] : m_state.endpointRegistry.all())
        services.insert(endpoint->entry().service);
    for (const auto& it : services)
        out.emplace_back(fmt::format("service_slots{{service=\"{}\"}}", it.text()),
            m_state.endpointRegistry.occupancy(it, now).slots);
    for (const auto& it : services)
        out.emplace_back(fmt::format("service_load{{service=\"{}\"}}", it.text()),
            m_state.endpointRegistry.occupancy(it, now).load);
    return out;
}

} // namespace lentilbay::edge
