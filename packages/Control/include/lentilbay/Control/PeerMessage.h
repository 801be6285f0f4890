// The messages between daemons, as plain values. Fleet turns them into bytes with cereal.
//
// The position of a type in the variant is its number on the wire: types are appended, never moved.
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
    /// Empty: the address that the blackboard has for the member. Else the message goes there, whoever it is.
    std::string address;
};

} // namespace lentilbay
