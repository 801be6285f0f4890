// Decides from the records of a run whether the eight invariants held, whatever the daemons claim.
//
// A request is shed when it is refused for any reason that is neither its caller's own fault nor its
// organisation's limit, unless it could not have been met on an idle pool. Refusals for infeasible deadlines,
// expiry in the queue and preemption are shed requests. Lower-tier work that already runs is still served.
//
// A refusal that blames a fault (a drain, a lost table, a broken endpoint) would have come from an idle pool
// too, but only where the records show that fault: a daemon's word alone excuses nothing.
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

/// "dispatched-at-most-once" and so on.
std::string_view printed(Invariant invariant);

struct Breach {
    Invariant invariant = Invariant::DispatchedAtMostOnce;
    /// The requests concerned, the broken one first; empty where no request is concerned.
    std::vector<RequestId> requests;
    /// When the records first show it.
    TimePoint at {};
    std::string detail;

    bool operator==(const Breach&) const = default;
};

/// "12.345s higher-tier-not-shed-while-lower-served: r1, r2: ...", times counted from the origin.
std::string printed(const Breach& breach, TimePoint origin = {});

struct CheckOptions {
    /// How long an endpoint that is leaving may still get new work.
    Duration leavingGrace = std::chrono::seconds(5);
    /// How long after it was accepted a configuration may not yet be in force.
    Duration configurationGrace = std::chrono::seconds(5);
    /// What a request needs beyond its endpoint's own time on an idle pool: the way there and back. Only a
    /// deadline shorter than both excuses a refusal.
    Duration idleOverhead {};
    /// The most that a refusal takes from its decision to its caller's record. Lower-tier work counts as
    /// still served if it ran all this time; 0 fits records whose times are exact.
    Duration answerDelay {};
    /// How long after a fault's end refusals may still blame it.
    Duration faultAftermath = std::chrono::seconds(10);
};

/// Each breach of an invariant, in the order of the invariants and then of time; empty where all held.
std::vector<Breach> checkInvariants(const RunRecords& records, const CheckOptions& options = {});

} // namespace lentilbay
