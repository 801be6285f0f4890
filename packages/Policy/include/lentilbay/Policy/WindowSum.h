// Sum of amounts over a sliding time window.
#pragma once

#include "lentilbay/Support/Time.h"

#include <deque>

namespace lentilbay {

/// Aggregates amounts into buckets of fixed length, which bounds its size at any rate.
class WindowSum {
public:
    void add(double amount, TimePoint now);
    /// Adds an amount at a time that may be before that of the amounts added so far.
    void addAt(double amount, TimePoint at);
    /// The sum over the window that ends at `now`; includes up to one bucket more. What is older than the
    /// longest window of the calls before is no longer known.
    double within(Duration window, TimePoint now);
    /// The part of that sum which was added before `until`, without the bucket that this time falls into
    /// unless it is `now`. Times in the future may be passed as `now`.
    double withinUntil(TimePoint until, Duration window, TimePoint now) const;

private:
    /// Short enough that the sum over several seconds is accurate to a few per cent.
    static constexpr Duration bucketLength = std::chrono::milliseconds(100);

    struct Bucket {
        TimePoint startedAt {};
        double amount = 0;
    };

    /// A bucket counts until its latest amount has left the window.
    static TimePoint expiry(const Bucket& bucket, Duration window)
    {
        return bucket.startedAt + bucketLength + window;
    }

    std::deque<Bucket> m_buckets;
    Duration m_longestWindow {};
};

} // namespace lentilbay
