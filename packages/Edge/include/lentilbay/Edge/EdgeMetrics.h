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

/// The histograms, each by rank; -1 stands for requests without a route.
enum class Timing : uint8_t {
    /// From the arrival to the end.
    Total,
    /// From the arrival to the first event, or the whole plain answer.
    FirstAnswer,
    /// From the arrival to the send.
    Wait,
    /// The longest time between two events of one stream.
    LongestPause,
    /// The Retry-After of a refusal.
    PromisedReturn,
    /// How far the first event was from the time that was expected at the send, either way.
    FirstEventError,
};

class EdgeMetrics {
public:
    EdgeMetrics();
    ~EdgeMetrics();

    /// A request of the rank ended with the code.
    void requestEnded(int rank, ResultCode code, Duration total);
    void observe(Timing timing, int rank, Duration time);
    void count(std::string_view name, uint64_t n = 1);
    /// Text with the counters, the histograms and the gauges, which are given by name, with labels or
    /// without; gauges that differ in their labels follow each other.
    std::string text(const std::vector<std::pair<std::string, double>>& gauges) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::edge
