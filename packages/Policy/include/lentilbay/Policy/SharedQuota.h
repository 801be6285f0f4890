// An organisation's token quota, enforced by many daemons without a shared store.
//
// Every daemon keeps a replica of the same token bucket and subtracts its own admissions as well as those
// that its peers report. For each silent peer it reserves an equal share of rate and burst. Hence the total
// stays within the quota under any network partition: an isolated daemon uses only its own share.
//
// Reports from peers arrive late, and at the start of a burst or after a refill all daemons see the same
// level. Therefore a daemon spends between two reports at most its share of that level, in proportion to its
// share of the organisation's recent use. As the level falls, all daemons admit more slowly.
//
// Two bounds apply together:
// - The token bucket needs no history. A restarted daemon starts with an empty bucket, so a window that spans
//   the restart stays close to the quota; it adopts the level of a peer that kept running, if one reports it.
// - The sliding-window sum limits what a full bucket would let through during a long burst. This allows the
//   bucket capacity to exceed the burst, so that an organisation with uneven traffic whose average is below
//   its quota is not rejected.
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
    /// The bucket capacity: the most that may be admitted at once after an idle period.
    double burstTokens = 0;
    Duration window {};
    /// The most that may be admitted within any `window`; 0 means no such bound.
    double windowTokens = 0;

    auto operator<=>(const QuotaLimits&) const = default;
};

/// The daemons that share a quota.
struct QuotaParticipants {
    /// All daemons that may admit, including this one.
    size_t known = 1;
    /// Peers without a recent report.
    size_t silent = 0;
    /// The interval between two reports of a peer.
    Duration reportInterval = std::chrono::milliseconds(200);

    auto operator<=>(const QuotaParticipants&) const = default;
};

/// A daemon's report on its own admissions.
struct QuotaReport {
    uint64_t incarnation = 0;
    /// Tokens admitted since it started.
    double admittedTotal = 0;
    /// Its bucket also accounts for the tokens admitted before it started. False until one window has passed
    /// after a restart of the whole fleet.
    bool countsAllUse = false;

    auto operator<=>(const QuotaReport&) const = default;
};

class SharedQuota {
public:
    /// @param startsFull set only if nothing can have been admitted before; otherwise the bucket starts empty
    SharedQuota(
        const QuotaLimits& limits, bool startsFull, const QuotaParticipants& participants, TimePoint now);

    /// Counts the tokens and returns true if the quota allows them.
    bool admit(
        double tokens, const QuotaLimits& limits, const QuotaParticipants& participants, TimePoint now);
    /// The time until the bucket holds the tokens, provided that no other daemon takes them.
    Duration timeUntil(double tokens, TimePoint now) { return m_bucket.timeUntil(tokens, now); }
    /// The bucket's level, in tokens.
    double level(TimePoint now) { return m_bucket.level(now); }
    /// Tokens admitted by all daemons in the last window, as far as known to this one.
    double admittedInWindow(TimePoint now) { return m_fleetAdmissions.within(m_limits.window, now); }
    /// Adopts the state of a peer that has counted without interruption: raises the level to that of the peer
    /// if it is higher, and replaces the sum over the last window.
    void adopt(double level, double inWindow, TimePoint now);
    /// Raises the level to at least `level`; used after a restart of the whole fleet.
    void raiseLevelTo(double level, TimePoint now);
    /// Returns tokens that were admitted but not used because the request did not run.
    void refund(double tokens, TimePoint now);

    /// Tokens admitted by this daemon since it started, less those returned.
    double admittedTotal() const { return m_admittedTotal; }
    /// Applies a peer's report. Idempotent: a total that was reported before changes nothing.
    void applyReport(const std::string& daemon, const QuotaReport& report, TimePoint now);

private:
    struct PeerTotal {
        uint64_t incarnation = 0;
        double total = 0;
    };

    /// Refills the allowance and returns whether any of it is left.
    bool refillAllowance(const QuotaParticipants& participants, TimePoint now);
    /// Whether the admissions of the last window are known.
    bool isWindowKnown(TimePoint now) const;
    TokenBucketOptions bucketOptions(const QuotaParticipants& participants, TimePoint now) const;

    QuotaLimits m_limits;
    TokenBucket m_bucket;
    /// Admissions of all daemons.
    WindowSum m_fleetAdmissions;
    /// Admissions of this daemon.
    WindowSum m_ownAdmissions;
    /// Tokens that this daemon may still admit before the next reports of its peers; may be negative by up to
    /// one request.
    double m_allowance = 0;
    TimePoint m_allowanceRefilledAt;
    TimePoint m_lastAdmittedAt {};
    bool m_startedFull;
    bool m_hasAdopted = false;
    TimePoint m_startedAt;
    double m_admittedTotal = 0;
    std::map<std::string, PeerTotal> m_peers;
};

} // namespace lentilbay
