// The sum of what happened within the last seconds.
#pragma once

#include "lentilbay/Support/Time.h"

#include <deque>

namespace lentilbay {

/// Keeps amounts in steps of a bucket's length, so that it stays small at any rate.
class WindowSum {
public:
    void add(double amount, TimePoint now);
    /// What was added within the window that ends now; counts up to one bucket more.
    double within(Duration window, TimePoint now);

private:
    /// A window of several seconds is exact to a few per cent.
    static constexpr Duration bucketLength = std::chrono::milliseconds(100);

    struct Bucket {
        TimePoint at {};
        double amount = 0;
    };

    std::deque<Bucket> m_buckets;
};

} // namespace lentilbay
