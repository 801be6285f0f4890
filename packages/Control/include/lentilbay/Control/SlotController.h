// Controller for sharing endpoint slots between daemons.
//
// Combines endpoint ownership, the owner's side (SlotOwner) and the side of the entry daemon (SlotHolder).
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Control/Ownership.h"
#include "lentilbay/Control/SlotHolder.h"
#include "lentilbay/Control/SlotOptions.h"
#include "lentilbay/Control/SlotOwner.h"

#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

class SlotController {
public:
    /// The blackboard must outlive the controller.
    explicit SlotController(Blackboard& blackboard, SlotOptions options = {});
    SlotController(const SlotController&) = delete;
    SlotController& operator=(const SlotController&) = delete;

    /// `address` is the sender of the report; replies to daemons of other regions go there.
    void receive(const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now);
    void receive(const DaemonId& from, const std::string& address, const GrantReport& report, TimePoint now);
    /// Handles the reply of an owned endpoint to a load query.
    void loadReported(const EndpointId& endpoint, const LoadReport& load, bool leaving, TimePoint now);
    /// Appends messages to Blackboard::outbox, including those addressed to this daemon.
    void step(TimePoint now);
    std::optional<TimePoint> nextWake() const;

    /// Returns the endpoints whose load this daemon must query.
    std::vector<EndpointId> ownedEndpoints() const;
    const Ownership& ownership() const { return m_ownership; }

private:
    void refresh(TimePoint now);

    Blackboard& m_blackboard;
    Ownership m_ownership;
    SlotOwner m_owner;
    SlotHolder m_holder;
};

} // namespace lentilbay
