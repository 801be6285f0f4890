// An organisation's token quota, kept by many daemons without a store.
//
// Every daemon keeps the same token bucket: it takes out what it admits itself and what others tell that they
// admitted. For each daemon that it does not hear, an equal share of rate and burst is set aside. So the sum
// stays within the quota however the network splits: a daemon that hears nobody uses its own share and no
// more.
//
// A bucket, and not a sum over a sliding window, because it needs no memory of the past: a daemon that was
// restarted begins with an empty one, and whatever was admitted before, no window holds more than the quota.
// Where a peer that ran on tells what its bucket holds, the restarted daemon goes on from there.
#pragma once

#include "lentilbay/Policy/TokenBucket.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lentilbay {

struct QuotaLimits {
    double tokensPerSecond = 0;
    double burstTokens = 0;

    auto operator<=>(const QuotaLimits&) const = default;
};

/// The daemons among which a quota is shared.
struct QuotaSharers {
    /// All that may admit, this one included.
    size_t known = 1;
    /// Those that were not heard lately.
    size_t silent = 0;

    auto operator<=>(const QuotaSharers&) const = default;
};

/// What a daemon tells of its own admissions.
struct QuotaReport {
    uint64_t incarnation = 0;
    /// All that it has admitted since it started.
    double admittedTotal = 0;
    /// Its bucket accounts for whatever was admitted before it started; not so soon after the whole fleet was
    /// restarted.
    bool countsAllUse = false;

    auto operator<=>(const QuotaReport&) const = default;
};

class SharedQuota {
public:
    /// Starts full where nothing can have been admitted before, else empty.
    SharedQuota(const QuotaLimits& limits, bool startsFull, const QuotaSharers& sharers, TimePoint now);

    /// Counts the tokens and returns true where the quota allows them.
    bool admit(double tokens, const QuotaLimits& limits, const QuotaSharers& sharers, TimePoint now);
    /// How long until so many tokens are there, if nobody else takes them.
    Duration timeUntil(double tokens, TimePoint now) { return m_bucket.timeUntil(tokens, now); }
    /// What the bucket holds.
    double level(TimePoint now) { return m_bucket.level(now); }
    /// A peer that has counted all along holds this much; it is taken over where it is more.
    void adoptLevel(double level, TimePoint now);
    /// Gives back what was admitted and then not run.
    void giveBack(double tokens, TimePoint now);

    /// All that this daemon has admitted since it started.
    double admittedTotal() const { return m_total; }
    /// Another daemon has admitted so much. Totals that were heard before change nothing.
    void heard(const std::string& daemon, const QuotaReport& report, TimePoint now);

private:
    struct PeerTotal {
        uint64_t incarnation = 0;
        double total = 0;
    };

    TokenBucket m_bucket;
    bool m_startedFull;
    TimePoint m_startedAt;
    double m_capacity;
    double m_total = 0;
    std::map<std::string, PeerTotal> m_peers;
};

} // namespace lentilbay
