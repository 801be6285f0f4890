// Requests at an endpoint that no entry has reported: those of a paused daemon, or of entries that have
// another owner. They take up capacity, and no verdict can tell their tier.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Support/Time.h"

#include <cstdint>
#include <optional>

namespace lentilbay {

class EndpointOccupancy {
public:
    /// What all entries together have reported in flight.
    void noteReported(uint32_t inFlight, TimePoint now);
    /// Compares what the endpoint says it runs with what was reported around then. A load report is judged
    /// only once the entries have had the time to report what they had dispatched before it was taken.
    void judge(const std::optional<LoadReport>& load, TimePoint now);

    uint32_t strangers() const { return m_strangers; }

private:
    /// The most in flight in the present second and in the one before it.
    uint32_t m_present = 0;
    uint32_t m_previous = 0;
    TimePoint m_presentSince {};
    TimePoint m_judged {};
    uint32_t m_strangers = 0;
};

} // namespace lentilbay
