// Steps all controllers of one daemon and dispatches messages to them.
#include "lentilbay/Control/ControlPlane.h"

#include <algorithm>
#include <type_traits>
#include <utility>

namespace lentilbay {
namespace {

/// Maximum rounds of local message delivery in one step; later messages wait for the next step.
constexpr int maxLocalRounds = 4;
/// Interval between updates of the digests of other regions from the membership controller.
constexpr Duration digestInterval = std::chrono::milliseconds(500);

} // namespace

ControlPlane::ControlPlane(Blackboard& blackboard, ControlPlaneOptions options, TimePoint now)
    : m_blackboard(blackboard)
    , m_membership(blackboard, std::move(options.membership), now)
    , m_slots(blackboard, options.slots)
    , m_entry(blackboard, options.entry)
{
    if (options.configuration)
        m_configuration.emplace(blackboard, std::move(*options.configuration), now);
}

void ControlPlane::receive(
    const DaemonId& from, const std::string& address, const PeerMessage& message, TimePoint now)
{
    std::visit(
        [&](const auto& it) {
            using Message = std::decay_t<decltype(it)>;
            constexpr bool isSlotMessage
                = std::is_same_v<Message, DemandReport> || std::is_same_v<Message, GrantReport>;
            constexpr bool isClaimMessage
                = std::is_same_v<Message, ClaimQuery> || std::is_same_v<Message, ClaimAnswer>;
            constexpr bool isConfigurationMessage = requires
            {
                m_configuration->receive(from, address, it, now);
            };
            if constexpr (isSlotMessage) {
                m_slots.receive(from, address, it, now);
            } else if constexpr (isClaimMessage) {
                if (m_claims != nullptr)
                    m_claims->receive(from, address, it, now);
            } else if constexpr (isConfigurationMessage) {
                if (m_configuration)
                    m_configuration->receive(from, address, it, now);
            } else {
                m_membership.receive(from, address, it, now);
            }
        },
        message);
}

void ControlPlane::receive(const StoreReply& reply, TimePoint now)
{
    if (m_configuration && reply.user == StoreUser::Configuration)
        m_configuration->receive(reply, now);
    if (m_claims != nullptr && reply.user == StoreUser::Claims)
        m_claims->receive(reply, now);
}

void ControlPlane::step(TimePoint now)
{
    // Comes first because it decides whether the other controllers may start new requests.
    if (m_configuration)
        m_configuration->step(now);
    m_membership.step(now);
    if (now >= m_nextDigestsAt) {
        m_blackboard.remoteDataCentres = m_membership.digests(now);
        m_nextDigestsAt = now + digestInterval;
    }
    m_entry.step(now);
    m_slots.step(now);
    for (int round = 0; round < maxLocalRounds && deliverToSelf(now); ++round) {
        m_slots.step(now);
        m_entry.step(now);
    }
}

bool ControlPlane::deliverToSelf(TimePoint now)
{
    auto& outbox = m_blackboard.outbox;
    const auto isLocal
        = [&](const OutgoingMessage& it) { return it.to == m_blackboard.self && it.address.empty(); };
    std::vector<OutgoingMessage> local;
    std::copy_if(outbox.begin(), outbox.end(), std::back_inserter(local), isLocal);
    std::erase_if(outbox, isLocal);
    for (const auto& it : local)
        receive(m_blackboard.self, "", it.message, now);
    return !local.empty();
}

std::optional<TimePoint> ControlPlane::nextWake() const
{
    std::optional<TimePoint> out = m_membership.nextWake();
    for (const auto& wake : { m_slots.nextWake(), m_entry.nextWake() }) {
        if (wake)
            out = std::min(*out, *wake);
    }
    if (m_configuration)
        out = std::min(*out, m_configuration->nextWake());
    return out;
}

std::vector<OutgoingMessage> ControlPlane::takeMessages() { return std::exchange(m_blackboard.outbox, {}); }

} // namespace lentilbay
