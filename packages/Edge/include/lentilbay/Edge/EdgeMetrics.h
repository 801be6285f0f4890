// Counters and latency histograms of the edge daemon, in the Prometheus text format.
#pragma once

#include "lentilbay/Support/ResultCode.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilbay::edge {

/// The histograms. Each is kept per rank; rank -1 is used for requests without a route.
enum class Timing : uint8_t {
    /// From arrival to completion of the request.
    Total,
    /// From arrival to the first event, or to the complete non-streamed answer.
    FirstAnswer,
    /// From arrival to the send to an endpoint.
    Wait,
    /// The longest time between two events of one stream.
    LongestPause,
    /// The Retry-After value of a refusal.
    PromisedReturn,
    /// Absolute difference between the actual time of the first event and the estimate made at the send.
    FirstEventError,
};

class EdgeMetrics {
public:
    EdgeMetrics();
    ~EdgeMetrics();

    /// Counts a completed request by rank and result code, and records its total time.
    void requestEnded(int rank, ResultCode code, Duration total);
    void observe(Timing timing, int rank, Duration time);
    void count(std::string_view name, uint64_t n = 1);
    /// Returns the counters, the histograms and the given gauges as text. Gauge names may include labels;
    /// gauges that differ only in their labels must be adjacent.
    std::string text(const std::vector<std::pair<std::string, double>>& gauges) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::edge
