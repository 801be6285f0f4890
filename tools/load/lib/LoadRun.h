// Sends planned requests at their times from several threads and returns one record for each.
#pragma once

#include "Workload.h"

#include <functional>
#include <string>
#include <vector>

namespace lentilbay::load {

struct DaemonAddress {
    std::string name;
    /// "127.0.0.1:7000"
    std::string address;
};

struct LoadRunOptions {
    /// Requests go to them in turn, as a balancer would send them.
    std::vector<DaemonAddress> daemons;
    /// The bearer key of an organisation is this and its name.
    std::string keyPrefix = "quickstart-";
    /// Requests in flight at most; later ones wait for a free thread.
    size_t threads = 64;
    /// A caller leaves after this time.
    Duration timeout = std::chrono::seconds(30);
    /// Asked before each request; true ends the run early.
    std::function<bool()> stopped = [] { return false; };
};

/// Records in the order of the requests; those that were not sent before the run was stopped are left out.
std::vector<CallerRecord> runLoad(const std::vector<PlannedRequest>& requests, const LoadRunOptions& options);

} // namespace lentilbay::load
