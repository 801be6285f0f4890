// Counters and latency histograms of the edge daemon, in the Prometheus text format.
#pragma once

#include "lentilbay/Support/ResultCode.h"
#include "lentilbay/Support/Time.h"

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilbay::edge {

class EdgeMetrics {
public:
    EdgeMetrics();
    ~EdgeMetrics();

    /// A request of the rank ended with the code.
    void requestEnded(int rank, ResultCode code, Duration total);
    /// The time from the arrival to the first event, or the whole plain answer.
    void firstAnswer(int rank, Duration sinceArrival);
    void waited(int rank, Duration wait);
    /// The longest time between two events of one stream.
    void longestPause(int rank, Duration pause);
    /// The Retry-After of a refusal.
    void promisedReturn(int rank, Duration wait);
    /// How far the first event was from the time that was expected at the send, either way.
    void firstEventError(int rank, Duration error);
    void count(std::string_view name, uint64_t n = 1);
    /// Text with the counters, the histograms and the gauges, which are given by name, with labels or
    /// without; gauges that differ in their labels follow each other.
    std::string text(const std::vector<std::pair<std::string, double>>& gauges) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

} // namespace lentilbay::edge
