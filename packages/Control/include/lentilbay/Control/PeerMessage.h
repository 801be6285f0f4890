// The messages between daemons, as plain values. Fleet turns them into bytes with cereal.
//
// The position of a type in the variant is its number on the wire: types are appended, never moved.
#pragma once

#include "lentilbay/Control/SlotMessages.h"
#include "lentilbay/Support/Identifier.h"

#include <variant>

namespace lentilbay {

using PeerMessage = std::variant<DemandReport, GrantReport>;

struct OutgoingMessage {
    DaemonId to;
    PeerMessage message;
};

} // namespace lentilbay
