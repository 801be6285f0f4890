// The admin listener's pages on the daemon itself: health, metrics, status, endpoints, requests and drain.
#pragma once

#include "Daemon.h"
#include "lentilbay/Gateway/AdminServer.h"
#include "lentilbay/Gateway/Metrics.h"

namespace lentilbay {

/// The daemon and the metrics must outlive the server.
void addAdminPages(AdminServer& server, Daemon& daemon, const Metrics& metrics);

} // namespace lentilbay
