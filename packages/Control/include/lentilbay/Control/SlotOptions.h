// Intervals and time-outs of slot sharing. All daemons of a cluster must use the same values.
#pragma once

#include "lentilbay/Support/Time.h"

namespace lentilbay {

struct SlotOptions {
    /// Validity of a grant, counted from the demand report that it answers. An expired grant permits no
    /// dispatch.
    Duration grantLifetime = std::chrono::milliseconds(2500);
    /// The owner stops granting slots of an endpoint that has not answered a load query for this long,
    /// because it may be leaving. Together with grantLifetime this bounds how long a leaving endpoint can get
    /// new work.
    Duration endpointLoadTimeout = std::chrono::seconds(2);
    /// Validity of an occupancy report, counted from the demand report that it answers. An expired report
    /// permits no refusal.
    Duration occupancyLifetime = std::chrono::seconds(1);
    /// Interval between reports to an owner while there is demand, and between plans of an owner.
    Duration busyInterval = std::chrono::milliseconds(250);
    /// Interval between reports to an owner otherwise.
    Duration idleInterval = std::chrono::milliseconds(800);
    /// Minimum time between two reports to the same daemon.
    Duration minReportInterval = std::chrono::milliseconds(10);
    /// Minimum time between the last report to an owner and the acknowledgement of a grant that reduced slots
    /// or the admitted rank.
    Duration acknowledgementDelay = std::chrono::milliseconds(50);
    /// An entry that has not reported for this long is assumed to have no work left. At least grantLifetime.
    Duration entryTimeout = std::chrono::seconds(5);
    /// Time allowed for recalled work to end before more is recalled.
    Duration recallTimeout = std::chrono::seconds(1);
    /// Load reports older than this are ignored.
    Duration loadLifetime = std::chrono::seconds(10);
};

} // namespace lentilbay
