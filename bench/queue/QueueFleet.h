// Daemons with a queue each in front of the same endpoints, in virtual time.
//
// The endpoints have slots only: a request takes one for a time that follows from its tokens and the
// endpoint's speed. Daemons know each other's loads as late as heartbeats bring them, and nothing of each
// other's queues. A caller that is refused waits for the stated time, up to a third of what it has left, and
// retries once at another daemon.
#pragma once

#include "lentilbay/Support/Time.h"

#include <array>
#include <cstdint>
#include <string>

namespace lentilbay::bench {

constexpr int queueRanks = 3;

struct FleetOptions {
    /// Whether the queue is the former one.
    bool isFormer = false;
    size_t daemons = 85;
    size_t endpoints = 90;
    /// The arriving work divided by what the endpoints can process.
    double load = 1;
    /// Whether daemons differ in the rate of their arrivals by a factor of up to 10, and data centres by 2.7.
    bool isUneven = true;
    uint64_t seed = 1;
    Duration length = std::chrono::seconds(10);
};

struct RankResult {
    double arrived = 0;
    double inTime = 0;
    double late = 0;
    /// The caller got neither, also after its retry.
    double refused = 0;
    /// The longest time for which a request was held before it was refused.
    Duration longestHold {};
    /// Refusals after an eighth of the objective.
    double heldRefusals = 0;
    double refusals = 0;
    /// Served in time and arrived, by size: small, medium and large.
    std::array<double, 3> inTimeBySize {};
    std::array<double, 3> arrivedBySize {};
    double retries = 0;
    /// Retries that were served in time.
    double retriesInTime = 0;
};

struct FleetResult {
    std::array<RankResult, queueRanks> ranks;
    /// The fraction of the slots' time that was used.
    double utilisation = 0;
    /// Refusals of the highest rank within a second of which requests of lower ranks were sent.
    double refusedWhileLowerServed = 0;
    /// Sends that an endpoint rejected because it had no slot.
    double rejectedSends = 0;
};

FleetResult runFleet(const FleetOptions& options);

} // namespace lentilbay::bench
