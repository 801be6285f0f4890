// Estimates of response times by route.
#include "lentilbay/Edge/ResponseTimes.h"

namespace lentilbay::edge {
namespace {

/// A response is slow if it takes this many times as long as usual.
constexpr double slowFactor = 2.5;
/// Fewer responses than these do not show what is usual.
constexpr uint64_t minObservations = 10;
constexpr double observationWeight = 0.02;
/// Routes beyond these are not judged by their times.
constexpr size_t maxRoutes = 1024;

} // namespace

void ResponseTimes::observe(uint64_t route, Duration elapsed, double work)
{
    auto it = m_times.find(route);
    if (it == m_times.end()) {
        if (m_times.size() >= maxRoutes)
            return;
        it = m_times.emplace(route, Estimate(0, observationWeight)).first;
    }
    it->second.observe(toSeconds(elapsed) / work);
}

bool ResponseTimes::isSlow(uint64_t route, Duration elapsed, double work) const
{
    const auto it = m_times.find(route);
    return it != m_times.end() && it->second.observations() >= minObservations
        && toSeconds(elapsed) / work > slowFactor * it->second.mean();
}

} // namespace lentilbay::edge
