// Sum of amounts over a sliding time window.
#pragma once

#include "lentilbay/Support/Time.h"

#include <deque>

namespace lentilbay {

/// Aggregates amounts into buckets of fixed length, which bounds its size at any rate.
class WindowSum {
public:
    void add(double amount, TimePoint now);
    /// The sum over the window that ends at `now`; includes up to one bucket more. The window must not grow
    /// between calls: older buckets are dropped.
    double within(Duration window, TimePoint now);

private:
    /// Short enough that the sum over several seconds is accurate to a few per cent.
    static constexpr Duration bucketLength = std::chrono::milliseconds(100);

    struct Bucket {
        TimePoint startedAt {};
        double amount = 0;
    };

    std::deque<Bucket> m_buckets;
};

} // namespace lentilbay
