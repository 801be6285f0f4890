// Admin routes of the daemon itself: health, metrics, status, endpoints, requests and drain.
#pragma once

#include "Daemon.h"
#include "lentilbay/Gateway/AdminServer.h"
#include "lentilbay/Gateway/Metrics.h"

namespace lentilbay {

/// The daemon and the metrics must outlive the server.
void addAdminRoutes(AdminServer& server, Daemon& daemon, const Metrics& metrics);

} // namespace lentilbay
