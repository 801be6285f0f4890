// Injects faults and keeps the records that the invariants are checked against.
#include "VirtualDaemon.h"

#include <algorithm>
#include <utility>

namespace lentilbay {

FaultRecord& VirtualFleet::recordFault(FaultRecord::Kind kind, const std::string& subject)
{
    return m_records.faults.emplace_back(FaultRecord { .kind = kind, .subject = subject, .from = m_now });
}

void VirtualFleet::endFault(FaultRecord::Kind kind, const std::string& subject)
{
    for (auto& it : m_records.faults) {
        if (it.kind == kind && it.subject == subject && !it.until)
            it.until = m_now;
    }
}

void VirtualFleet::kill(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    if (!it.isUp)
        return;
    recordFault(FaultRecord::Kind::DaemonKilled, it.id.text()).until = m_now;
    endFault(FaultRecord::Kind::DaemonPaused, it.id.text());
    it.isUp = false;
    std::vector<RequestId> lost;
    for (const auto& [id, caller] : m_open) {
        if (caller.daemon != daemon)
            continue;
        lost.push_back(id);
        // The connection closes when the process dies, and the endpoint then cancels the work.
        if (caller.endpoint)
            m_endpoints[*caller.endpoint]->cancel(id, m_now);
    }
    for (const auto& id : lost)
        endCaller(id, CallerEnd::Lost, ResultCode::Ok, Executed::Unknown, false);
}

void VirtualFleet::restart(size_t daemon)
{
    if (!m_daemons[daemon]->isUp)
        startProcess(daemon);
}

void VirtualFleet::pause(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    if (!it.isUp || it.isPaused)
        return;
    it.isPaused = true;
    recordFault(FaultRecord::Kind::DaemonPaused, it.id.text());
}

void VirtualFleet::resume(size_t daemon)
{
    auto& it = *m_daemons[daemon];
    if (!it.isPaused)
        return;
    it.isPaused = false;
    endFault(FaultRecord::Kind::DaemonPaused, it.id.text());
    for (const auto& callback : std::exchange(it.pending, {}))
        callback();
    it.isDirty = true;
}

void VirtualFleet::cut(size_t a, size_t b)
{
    if (a == b || m_network.isCut(a, b))
        return;
    m_network.cut(a, b);
    recordFault(FaultRecord::Kind::Partition, m_daemons[std::min(a, b)]->id.text());
}

void VirtualFleet::heal(size_t a, size_t b)
{
    m_network.heal(a, b);
    endFault(FaultRecord::Kind::Partition, m_daemons[std::min(a, b)]->id.text());
}

void VirtualFleet::killEndpoint(size_t endpoint)
{
    auto& it = *m_endpoints[endpoint];
    if (!it.acceptsConnections())
        return;
    recordFault(FaultRecord::Kind::EndpointFault, it.endpoint().name.text());
    deliverOutputs(it.kill(m_now));
}

void VirtualFleet::restartEndpoint(size_t endpoint)
{
    if (m_endpoints[endpoint]->acceptsConnections())
        return;
    m_endpoints[endpoint]->restart();
    endFault(FaultRecord::Kind::EndpointFault, m_endpoints[endpoint]->endpoint().name.text());
}

void VirtualFleet::setEndpointLeaving(size_t endpoint) { m_endpoints[endpoint]->setLeaving(m_now); }

void VirtualFleet::slowEndpoint(size_t endpoint, double factor)
{
    auto& it = *m_endpoints[endpoint];
    it.setSlowFactor(factor, m_now);
    if (factor > 1)
        recordFault(FaultRecord::Kind::EndpointFault, it.endpoint().name.text());
    else
        endFault(FaultRecord::Kind::EndpointFault, it.endpoint().name.text());
}

RunRecords VirtualFleet::records() const
{
    auto out = m_records;
    for (const auto& endpoint : m_endpoints) {
        out.endpoints.push_back(endpoint->record());
        const auto dispatches = endpoint->dispatches();
        out.dispatches.insert(out.dispatches.end(), dispatches.begin(), dispatches.end());
    }
    return out;
}

} // namespace lentilbay
