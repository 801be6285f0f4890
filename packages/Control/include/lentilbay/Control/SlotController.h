// Sharing slots as one controller: ownership, the owner's side and the entry's side.
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

    /// The address is where the report came from; it is used for daemons of other regions.
    void received(
        const DaemonId& from, const std::string& address, const DemandReport& report, TimePoint now);
    void received(const DaemonId& from, const std::string& address, const GrantReport& report, TimePoint now);
    /// An endpoint that this daemon owns answered a question for its load.
    void loadReported(const EndpointId& endpoint, const LoadReport& load, bool leaving, TimePoint now);
    /// Messages go to Blackboard::outbox, those to this daemon itself too.
    void step(TimePoint now);
    std::optional<TimePoint> nextWake() const;

    /// The endpoints whose load this daemon has to ask for.
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
