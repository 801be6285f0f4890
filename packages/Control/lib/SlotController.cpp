// Keeps endpoint ownership up to date and dispatches messages to SlotOwner and SlotHolder.
#include "lentilbay/Control/SlotController.h"

#include <algorithm>

namespace lentilbay {

SlotController::SlotController(Blackboard& blackboard, SlotOptions options)
    : m_blackboard(blackboard)
    , m_owner(blackboard, m_ownership, options)
    , m_holder(blackboard, m_ownership, options)
{
}

void SlotController::refresh(TimePoint now)
{
    if (m_ownership.refresh(m_blackboard))
        m_owner.ownershipChanged(now);
}

void SlotController::receive(
    const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now)
{
    refresh(now);
    m_owner.demandReported(from, address, report, now);
}

void SlotController::receive(
    const DaemonId& from, const std::string&, const GrantReport& report, TimePoint now)
{
    refresh(now);
    m_holder.grantReported(from, report, now);
}

void SlotController::loadReported(
    const EndpointId& endpoint, const LoadReport& load, bool leaving, TimePoint now)
{
    m_owner.loadReported(endpoint, load, leaving, now);
}

void SlotController::step(TimePoint now)
{
    refresh(now);
    m_holder.step(now);
    m_owner.step(now);
}

std::optional<TimePoint> SlotController::nextWake() const
{
    const auto a = m_owner.nextWake();
    const auto b = m_holder.nextWake();
    if (a && b)
        return std::min(*a, *b);
    return a ? a : b;
}

std::vector<EndpointId> SlotController::ownedEndpoints() const
{
    std::vector<EndpointId> out;
    for (const auto position : m_ownership.endpointsOf(m_blackboard.self))
        out.push_back(m_blackboard.endpoints[position].endpoint.name);
    return out;
}

} // namespace lentilbay
