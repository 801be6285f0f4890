// How long responses usually take, by route, so that responses of a new software version can be called slow.
#pragma once

#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Support/Time.h"

#include <unordered_map>

namespace lentilbay::edge {

/// Times are divided by the work that they were spent on, so that a long prompt is not a slow response.
class ResponseTimes {
public:
    /// Records a response of a version that is in regular use.
    /// @param route hash of the route and the kind of time
    void observe(uint64_t route, Duration elapsed, double work);
    /// Whether a response that takes this long is much later than usual. Never while few are known.
    bool isSlow(uint64_t route, Duration elapsed, double work) const;

    size_t size() const { return m_times.size(); }

private:
    std::unordered_map<uint64_t, Estimate> m_times;
};

} // namespace lentilbay::edge
