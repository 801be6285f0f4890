// The periods of sharing slots. All daemons of a fleet use the same.
#pragma once

#include "lentilbay/Support/Time.h"

namespace lentilbay {

struct SlotOptions {
    /// From asking for a grant until it gives no right to dispatch any more.
    Duration grantLifetime = std::chrono::milliseconds(2500);
    /// An endpoint that has not answered its owner's question for its load for this long is lent no more: it
    /// may be leaving. With the grant's lifetime it bounds how long a leaving endpoint can get new work.
    Duration endpointHeardWithin = std::chrono::seconds(2);
    /// From asking for a verdict until it allows no refusal any more.
    Duration verdictLifetime = std::chrono::seconds(1);
    /// Between reports to an owner while there is demand or work in flight.
    Duration busyInterval = std::chrono::milliseconds(250);
    /// Between reports to an owner otherwise.
    Duration idleInterval = std::chrono::milliseconds(800);
    /// The least time between two reports to the same daemon.
    Duration leastGap = std::chrono::milliseconds(10);
    /// The least time until an entry acknowledges a grant that took something away.
    Duration acknowledgementGap = std::chrono::milliseconds(50);
    /// A silent entry's work is taken for gone after this; at least grantLifetime.
    Duration entryForgottenAfter = std::chrono::seconds(5);
    /// How long recalled work may take to end before more is recalled.
    Duration recallPatience = std::chrono::seconds(1);
    /// A report of an endpoint's load that is older than this says nothing.
    Duration loadLifetime = std::chrono::seconds(10);
};

} // namespace lentilbay
