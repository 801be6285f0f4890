// Detects requests at an endpoint that no entry daemon has reported: those of a paused daemon, or of entry
// daemons that report to another owner. They use capacity, and their tier is unknown.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>

namespace lentilbay {

class EndpointOccupancy {
public:
    /// Records the total number of requests in flight that the entry daemons have reported.
    void noteReported(uint32_t inFlight, TimePoint now);
    /// Compares the endpoint's load report with what the entry daemons reported around that time. Evaluates
    /// a load report only once the entry daemons have had time to report the requests that they dispatched
    /// before it was measured.
    void evaluate(const std::optional<LoadReport>& load, TimePoint now);

    /// The number of requests at the endpoint that no entry daemon has reported, as of the last evaluation.
    uint32_t unreportedRequests() const { return m_unreported; }

private:
    /// The maximum reported in flight in the current window and in the one before it.
    uint32_t m_currentMax = 0;
    uint32_t m_previousMax = 0;
    TimePoint m_windowStart {};
    /// The measurement time of the last load report that was evaluated.
    TimePoint m_lastEvaluated {};
    uint32_t m_unreported = 0;
};

} // namespace lentilbay
