// Time constants shared by several parts of the edge daemon.
#pragma once

#include "lentilbay/Model/Topology.h"
#include "lentilbay/Support/Time.h"

namespace lentilbay::edge {

/// Loads change within the duration of a short answer, so heartbeats are sent this often.
constexpr Duration heartbeatPeriod = std::chrono::milliseconds(200);
/// In a larger fleet, heartbeats that are not summarised are sent less often to data centres whose endpoints
/// are rarely used: traffic between regions is billed.
constexpr Duration otherDataCentreHeartbeatPeriod = std::chrono::milliseconds(600);
constexpr Duration otherRegionHeartbeatPeriod = std::chrono::milliseconds(1000);
constexpr size_t smallFleetSize = 16;

/// The period of heartbeats to a daemon of a large fleet that cannot do with summaries.
constexpr Duration directHeartbeatPeriod(Locality locality)
{
    if (locality == Locality::OwnDataCentre)
        return heartbeatPeriod;
    return locality == Locality::OwnRegion ? otherDataCentreHeartbeatPeriod : otherRegionHeartbeatPeriod;
}

/// New requests are accepted for this long after SIGTERM. The load balancer needs two failed health checks,
/// one second apart, before it sends new connections elsewhere; a request that starts later might not
/// complete before the process must exit.
constexpr Duration acceptAfterStop = std::chrono::milliseconds(2400);
/// The part of the grace period after SIGTERM that is left when the last requests have ended, for their
/// answers to be sent.
constexpr Duration stopMargin = std::chrono::milliseconds(700);
/// How long closing a connection may wait for the event loop to be idle.
constexpr Duration maxCloseDelay = std::chrono::milliseconds(300);
/// Retry-After while this daemon is draining: other daemons can serve the caller immediately.
constexpr Duration drainingRetryAfter = std::chrono::milliseconds(20);
/// Retry-After of a refusal that is not caused by load.
constexpr Duration defaultRetryAfter = std::chrono::milliseconds(600);

constexpr int64_t millisecondsOf(Duration duration) { return duration / std::chrono::milliseconds(1); }

} // namespace lentilbay::edge
