// Times that several parts of the edge daemon go by.
#pragma once

#include "lentilbay/Support/Time.h"

namespace lentilbay::edge {

/// Loads change within the time of a short answer, so daemons tell theirs this often.
constexpr Duration peerPeriod = std::chrono::milliseconds(200);
/// In a larger fleet, statuses to places whose endpoints are seldom used go out less often: links between
/// regions are billed, and the statuses of all to all grow with the square of the fleet.
constexpr Duration otherDataCentrePeriod = std::chrono::milliseconds(600);
constexpr Duration otherRegionPeriod = std::chrono::milliseconds(1000);
constexpr size_t smallFleet = 16;
/// New requests are taken for so long after SIGTERM: the balancer needs two missed questions, one a second,
/// to send new connections elsewhere, and what begins later may not end before the process must.
constexpr Duration acceptAfterStop = std::chrono::milliseconds(2400);
/// When a caller should come back after a refusal that has nothing to do with load.
constexpr Duration usualReturn = std::chrono::milliseconds(600);

constexpr int64_t millisecondsOf(Duration duration) { return duration / std::chrono::milliseconds(1); }

} // namespace lentilbay::edge
