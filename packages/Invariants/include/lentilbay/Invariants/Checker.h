// Checks from the records of a run whether the eight invariants held, independently of what the daemons
// report.
//
// A request is shed if it is refused for a reason that is neither an error of its caller nor a limit of its
// organisation, unless an idle pool could not have served it either. Refusals for infeasible deadlines,
// expiry in the queue and preemption count as shed. Lower-tier work that is already running counts as served.
//
// A refusal whose code names a fault (a drain, an unavailable table, a broken endpoint) would occur on an
// idle pool too, but is excused only if the records show that fault: the daemon's result code alone is no
// evidence.
#pragma once

#include "lentilbay/Invariants/Records.h"

#include <string>
#include <string_view>
#include <vector>

namespace lentilbay {

enum class Invariant : uint8_t {
    DispatchedAtMostOnce,
    HigherTierNotShedWhileLowerServed,
    WholeAnswerToItsCaller,
    NotRunIsTrue,
    NonIdempotentRunsAtMostOnce,
    LeavingEndpointGetsNoNewWork,
    PlannedStopCutsNothingOff,
    AcceptedConfigurationInForce,
};

constexpr size_t invariantCount = 8;

/// The invariant's name in reports, such as "dispatched-at-most-once".
std::string_view printed(Invariant invariant);

struct Violation {
    Invariant invariant = Invariant::DispatchedAtMostOnce;
    /// The requests concerned, the one that shows the violation first; empty if none is concerned.
    std::vector<RequestId> requests;
    /// When the violation first shows in the records.
    TimePoint at {};
    std::string detail;

    bool operator==(const Violation&) const = default;
};

/// "12.345s higher-tier-not-shed-while-lower-served: r1, r2: ...", with the time relative to the origin.
std::string printed(const Violation& violation, TimePoint origin = {});

struct CheckOptions {
    /// How long a leaving endpoint may still receive new work.
    Duration leavingGrace = std::chrono::seconds(5);
    /// How long after its acceptance a configuration may still not be in force.
    Duration configurationGrace = std::chrono::seconds(5);
    /// The time that a request needs on an idle pool in addition to the endpoint's own, such as transport. A
    /// deadline excuses a refusal only if it is shorter than their sum.
    Duration idleOverhead {};
    /// The maximum time from the decision to refuse until the caller records the refusal. Lower-tier work
    /// counts as served if it ran throughout this time; 0 suits records with exact times.
    Duration answerDelay {};
    /// How long after its end a fault still excuses refusals.
    Duration faultGracePeriod = std::chrono::seconds(10);
};

/// Returns all violations, ordered by invariant and then by time; empty if all invariants held.
std::vector<Violation> checkInvariants(const RunRecords& records, const CheckOptions& options = {});

} // namespace lentilbay
