// Sum of amounts over a sliding time window.
#pragma once

#include "lentilbay/Support/Time.h"

#include <cstddef>
#include <deque>

namespace lentilbay {

/// Aggregates amounts into buckets of fixed length, which bounds its size at any rate.
class WindowSum {
public:
    void add(double amount, TimePoint now);
    /// Adds an amount at a time that may be before that of the amounts added so far.
    void addAt(double amount, TimePoint at);
    /// The sum over the window that ends at `now`; includes up to one bucket more. What is older than the
    /// longest window of the calls before, or than a minute if there were none, may no longer be known.
    double within(Duration window, TimePoint now);
    /// The part of that sum which was added before `until`, without the bucket that this time falls into
    /// unless it is `now`. Times in the future may be passed as `now`.
    double withinUntil(TimePoint until, Duration window, TimePoint now) const;

    /// The number of buckets held, which is bounded whether or not the sum is read.
    size_t bucketCount() const { return m_buckets.size(); }

private:
    /// Short enough that the sum over several seconds is accurate to a few per cent.
    static constexpr Duration bucketLength = std::chrono::milliseconds(100);
    /// What is added is kept for at least this long, as the windows that will be read are not known before;
    /// several times the windows of quotas and retry budgets.
    static constexpr Duration minKept = std::chrono::minutes(1);

    struct Bucket {
        TimePoint startedAt {};
        double amount = 0;
    };

    /// A bucket counts until its latest amount has left the window.
    static TimePoint expiry(const Bucket& bucket, Duration window)
    {
        return bucket.startedAt + bucketLength + window;
    }

    /// Removes the buckets that have left the window.
    void evict(Duration window, TimePoint now);

    std::deque<Bucket> m_buckets;
    Duration m_longestWindow {};
};

} // namespace lentilbay
