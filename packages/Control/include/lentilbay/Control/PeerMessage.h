// The messages between daemons, as plain values. Fleet serialises them with cereal.
//
// The index of a type in the variant identifies it on the wire: append new types, never reorder them.
#pragma once

#include "lentilbay/Control/ClaimMessages.h"
#include "lentilbay/Control/ConfigurationMessages.h"
#include "lentilbay/Control/MembershipMessages.h"
#include "lentilbay/Control/SlotMessages.h"
#include "lentilbay/Support/Identifier.h"

#include <string>
#include <variant>

namespace lentilbay {

using PeerMessage = std::variant<DemandReport, GrantReport, Probe, ProbeReply, ProbeRequest, StateExchange,
    DigestGossip, ConfigurationReport, HeadNotice, DocumentRequest, DocumentReply, ClaimQuery, ClaimAnswer>;

struct OutgoingMessage {
    DaemonId to;
    PeerMessage message;
    /// Overrides the member's address in the blackboard unless empty, whichever daemon listens there.
    std::string address;
};

} // namespace lentilbay
