// All controllers of one daemon on one blackboard, and the dispatch of messages to them.
//
// The daemon and the tests drive the same class: they pass events with the current time, and execute what the
// controllers append to the blackboard's outboxes and to their command lists.
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
    /// Empty if the configuration comes from elsewhere, such as a file, and does not change.
    std::optional<ConfigurationOptions> configuration;
};

class ControlPlane {
public:
    /// The blackboard must outlive the control plane, and its self, region and dataCentre must be set.
    ControlPlane(Blackboard& blackboard, ControlPlaneOptions options, TimePoint now);
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    /// Handles a message from another daemon; `address` is the source address.
    void receive(const DaemonId& from, const std::string& address, const PeerMessage& message, TimePoint now);
    /// Handles the platform's reply to a command from the blackboard's storeOutbox.
    void receive(const StoreReply& reply, TimePoint now);
    /// Steps every controller, and delivers the messages that they send to this daemon itself.
    void step(TimePoint now);
    /// When step() must be called next even if no event arrives.
    std::optional<TimePoint> nextWake() const;
    /// Returns and removes the messages for other daemons since the last call.
    std::vector<OutgoingMessage> takeMessages();

    /// Sets the controller that receives messages about claims, which are dropped without one. It is stepped
    /// separately because it needs the wall clock.
    void attachClaims(ClaimController& claims) { m_claims = &claims; }

    EntryController& entry() { return m_entry; }
    const EntryController& entry() const { return m_entry; }
    MembershipController& membership() { return m_membership; }
    SlotController& slots() { return m_slots; }
    /// nullptr if the options have no configuration options.
    ConfigurationController* configuration() { return m_configuration ? &*m_configuration : nullptr; }

private:
    bool deliverToSelf(TimePoint now);

    Blackboard& m_blackboard;
    MembershipController m_membership;
    SlotController m_slots;
    EntryController m_entry;
    ClaimController* m_claims = nullptr;
    std::optional<ConfigurationController> m_configuration;
    TimePoint m_nextDigestsAt {};
};

} // namespace lentilbay
