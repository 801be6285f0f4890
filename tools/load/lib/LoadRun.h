// Sends planned requests at their scheduled times from several threads and returns a record of each.
#pragma once

#include "Workload.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilbay::load {

struct DaemonAddress {
    std::string name;
    /// Host and port, such as "127.0.0.1:7000".
    std::string address;
};

struct LoadRunOptions {
    /// Requests are distributed round-robin, as by a load balancer.
    std::vector<DaemonAddress> daemons;
    /// An organisation's API key is this prefix followed by the organisation's name.
    std::string keyPrefix = "quickstart-";
    /// Maximum number of requests in flight; further requests wait for a free thread.
    size_t threads = 64;
    /// Time after which a client closes its connection.
    Duration timeout = std::chrono::seconds(30);
    /// Called before each request; returning true ends the run early.
    std::function<bool()> stopped = [] { return false; };
};

/// Returns the records in the order of the requests, without those not sent before the run was stopped.
std::vector<CallerRecord> runLoad(const std::vector<PlannedRequest>& requests, const LoadRunOptions& options);

} // namespace lentilbay::load
