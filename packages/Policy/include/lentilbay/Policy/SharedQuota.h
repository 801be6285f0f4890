// An organisation's token quota, kept by many daemons without a store.
//
// Every daemon keeps the same token bucket: it takes out what it admits itself and what others tell that they
// admitted. For each daemon that it does not hear, an equal share of rate and burst is set aside. So the sum
// stays within the quota however the network splits: a daemon that hears nobody uses its own share and no
// more.
//
// What others admit is known late, and when a rush begins or the bucket fills again all daemons see the same
// level. So between two reports each one spends no more than its part of that level, in proportion to its
// part of the organisation's recent use: the less is left, the slower all of them go.
//
// Two bounds hold at once. The bucket needs no memory of the past: a daemon that was restarted begins with an
// empty one, so whatever was admitted before, a window stays near the quota; where a peer that ran on tells
// what its bucket holds, the restarted daemon goes on from there. The sum over the sliding window bounds what
// a bucket alone would let through when a full one meets a long rush, so the bucket may hold more than the
// burst and an organisation that stays below its quota on the whole isn't refused for being uneven.
#pragma once

#include "lentilbay/Policy/TokenBucket.h"
#include "lentilbay/Policy/WindowSum.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace lentilbay {

struct QuotaLimits {
    double tokensPerSecond = 0;
    /// The most that may be admitted at once after a quiet time.
    double burstTokens = 0;
    /// The most that any time of the length `window` may hold; zero: no such bound.
    Duration window {};
    double windowTokens = 0;

    auto operator<=>(const QuotaLimits&) const = default;
};

/// The daemons among which a quota is shared.
struct QuotaSharers {
    /// All that may admit, this one included.
    size_t known = 1;
    /// Those that were not heard lately.
    size_t silent = 0;
    /// How often the others are heard.
    Duration heardEvery = std::chrono::milliseconds(200);

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
    /// What all daemons admitted in the last window, as far as this one knows.
    double inWindow(TimePoint now) { return m_recent.within(m_limits.window, now); }
    /// A peer that has counted all along holds this much, which is taken over where it is more, and has seen
    /// so many tokens in the last window.
    void adopt(double level, double inWindow, TimePoint now);
    /// Tokens to begin with after a restart of the whole fleet.
    void beginWith(double level, TimePoint now);
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

    /// Whether this daemon has not spent its part of the bucket in advance of what others will tell.
    bool mayAdvance(const QuotaSharers& sharers, TimePoint now);
    /// Whether what was admitted in the last window is known.
    bool knowsWindow(TimePoint now) const;
    TokenBucketOptions bucketOptions(const QuotaSharers& sharers, TimePoint now) const;

    QuotaLimits m_limits;
    TokenBucket m_bucket;
    /// What this daemon and others admitted.
    WindowSum m_recent;
    /// What this daemon admitted.
    WindowSum m_own;
    /// What it may still admit before others have told of their use; may be in debt by one request.
    double m_advance = 0;
    TimePoint m_advancedAt;
    TimePoint m_admittedAt {};
    bool m_startedFull;
    bool m_hasAdopted = false;
    TimePoint m_startedAt;
    double m_total = 0;
    std::map<std::string, PeerTotal> m_peers;
};

} // namespace lentilbay
