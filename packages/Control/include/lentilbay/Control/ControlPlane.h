// All controllers of one daemon over one blackboard, with the way of messages between them.
//
// The daemon and the tests drive the same class: they hand in events with the present time, and carry out
// what the controllers leave in the blackboard's outboxes and in their lists of commands.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/ClaimController.h"
#include "lentilbay/Control/ConfigurationController.h"
#include "lentilbay/Control/EntryController.h"
#include "lentilbay/Control/MembershipController.h"
#include "lentilbay/Control/SlotController.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

struct ControlPlaneOptions {
    EntryOptions entry;
    MembershipOptions membership;
    SlotOptions slots;
    /// Nothing: the configuration comes from elsewhere, such as a file, and stays.
    std::optional<ConfigurationOptions> configuration;
};

class ControlPlane {
public:
    /// The blackboard must outlive the control plane; its self, region and dataCentre must be set.
    ControlPlane(Blackboard& blackboard, ControlPlaneOptions options, TimePoint now);
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    /// A message of another daemon; `address` is where it came from.
    void receive(const DaemonId& from, const std::string& address, const PeerMessage& message, TimePoint now);
    /// An answer of the platform to a command of the blackboard's storeOutbox.
    void receive(const StoreReply& reply, TimePoint now);
    /// Lets every controller decide what it can; messages to this daemon itself are delivered on the way.
    void step(TimePoint now);
    /// When step() has something to do even without an event.
    std::optional<TimePoint> nextWake() const;
    /// The messages for other daemons since the last call.
    std::vector<OutgoingMessage> takeMessages();

    /// Where messages about claims go; without it they are dropped. The claims step by themselves, since
    /// they need the wall clock.
    void attachClaims(ClaimController& claims) { m_claims = &claims; }

    EntryController& entry() { return m_entry; }
    const EntryController& entry() const { return m_entry; }
    MembershipController& membership() { return m_membership; }
    SlotController& slots() { return m_slots; }
    /// nullptr where the options hold none.
    ConfigurationController* configuration() { return m_configuration ? &*m_configuration : nullptr; }

private:
    bool deliverToSelf(TimePoint now);

    Blackboard& m_blackboard;
    MembershipController m_membership;
    SlotController m_slots;
    EntryController m_entry;
    ClaimController* m_claims = nullptr;
    std::optional<ConfigurationController> m_configuration;
    TimePoint m_nextDigests {};
};

} // namespace lentilbay
