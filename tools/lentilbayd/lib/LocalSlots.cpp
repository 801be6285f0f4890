#include "LocalSlots.h"

#include <chrono>

namespace lentilbay {
namespace {

constexpr Duration grantLifetime = std::chrono::seconds { 3 };
constexpr Duration renewal = std::chrono::seconds { 1 };

} // namespace

void LocalSlots::step(TimePoint now)
{
    if (now < m_renewAt && m_version == m_blackboard.configuration->version)
        return;
    m_renewAt = now + renewal;
    m_version = m_blackboard.configuration->version;
    for (auto& it : m_blackboard.endpoints)
        it.grant = { .slots = it.endpoint.slots, .lapses = now + grantLifetime };
}

} // namespace lentilbay
