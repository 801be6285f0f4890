// A load generator that sends one fixed HTTP request in a closed loop or at a fixed rate, and measures
// latency.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lentilbay {

struct LoadOptions {
    uint16_t port = 0;
    std::string request;
    /// The byte sequence that ends a response.
    std::string endMarker;
    size_t connections = 1;
    /// The number of responses after which the run ends.
    size_t answers = 1;
    /// Requests per second over all connections; 0 sends the next request when the response is complete.
    double rate = 0;
};

struct LoadResult {
    Duration elapsed {};
    /// In ascending order.
    std::vector<Duration> latencies;

    double perSecond() const { return static_cast<double>(latencies.size()) / toSeconds(elapsed); }
    /// The latency at a quantile; `fraction` is from 0 to 1.
    Duration quantile(double fraction) const;
};

/// Sends requests to 127.0.0.1 and returns after `options.answers` responses.
LoadResult runLoad(const LoadOptions& options);

} // namespace lentilbay
