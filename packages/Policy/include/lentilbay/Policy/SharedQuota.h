// An organisation's token quota, enforced by many daemons without a shared store.
//
// Every daemon keeps a replica of the same token bucket and window, and subtracts its own admissions as well
// as those that its peers report. A peer that is silent may be cut off and go on admitting, so a part of the
// quota is reserved for it. Let L be what a window may hold, N the number of daemons and C what had been
// admitted in the window when the peer was last heard. Both sides know C, and each may use its equal share of
// the rest: (L - C) / N is reserved for a silent peer. What it had admitted before is in C, so it is counted
// once. Over all daemons, the admissions in a window are at most C + N (L - C) / N = L, whatever partition
// they are in; what exceeds this is what was admitted but not yet reported when they lost each other. That is
// the use of half a report interval on average, and of the time until a silence is noticed, and is covered by
// the excess that limitsFor() does not give away. If peers fall silent one after another, C is another one
// for each of them: use that came after the last report of a peer is not known to it, and reduces only this
// daemon's part. As C leaves the window, a daemon that is left alone comes to its share L / N.
//
// The bucket is divided in the same way: rate and capacity are those of the daemons that hear each other. A
// second bucket goes on as if no peer were silent. Its level counts again once all peers have been heard for
// so long that their reports have been subtracted from it.
//
// Reports from peers arrive late, and at the start of a burst or after a refill all daemons see the same
// level. Therefore a daemon spends between two reports at most its share of that level, in proportion to its
// share of the organisation's recent use. As the level falls, all daemons admit more slowly. While the level
// exceeds several times what the peers can have admitted unseen, and this daemon's own demand has not risen,
// the share does not apply.
//
// Two bounds apply together:
// - The sliding-window sum is the quota that was promised: the rate over a window, plus the burst.
// - The token bucket refills at the rate at which the window would be used up evenly. It limits how much of
//   the window may be used at once, and thereby what a fleet that has lost all its daemons may have admitted
//   just before. A restarted daemon adopts the state of a peer that kept running; if there is none, it
//   restores what a checkpoint states (QuotaCheckpoint.h); without one, its bucket starts empty and refills
//   slowly until what may have been admitted at once has left the window.
//
// Once the quota is nearly used up, a small part of it is kept for the more urgent of an organisation's
// requests. The most urgent ones are those that resume a stream. After a restart of the whole fleet many of
// them arrive at once, while the bucket is empty: each daemon may then admit its share of a part of what the
// bucket will be refilled with, and other requests wait until the bucket has made up for it.
#pragma once

#include "lentilbay/Policy/TokenBucket.h"
#include "lentilbay/Policy/WindowSum.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

/// What an organisation is promised, and by how much a fleet may exceed it.
struct QuotaPromise {
    double tokensPerSecond = 0;
    double burstTokens = 0;
    Duration window {};
    /// The fraction of the promise by which a window may exceed it.
    double overshoot = 0;
    /// Tokens that a window may hold in addition.
    double slackTokens = 0;

    double windowTokens() const { return tokensPerSecond * toSeconds(window) + burstTokens; }
    /// What no window may exceed, summed over all daemons.
    double maxWindowTokens() const { return windowTokens() * (1 + overshoot) + slackTokens; }

    auto operator<=>(const QuotaPromise&) const = default;
};

struct QuotaLimits {
    /// The rate at which the bucket refills.
    double tokensPerSecond = 0;
    /// The bucket capacity: the most that may be admitted at once after an idle period.
    double burstTokens = 0;
    Duration window {};
    /// The most that may be admitted within any `window`; 0 means no such bound.
    double windowTokens = 0;
    /// What may be admitted beyond `windowTokens` because reports are late or a restarted fleet has no
    /// history.
    double toleranceTokens = 0;

    auto operator<=>(const QuotaLimits&) const = default;
};

/// The limits with which a fleet keeps the promise, and its bound.
QuotaLimits limitsFor(const QuotaPromise& promise);

/// The daemons that share a quota.
struct QuotaParticipants {
    /// All daemons that may admit, including this one.
    size_t known = 1;
    /// Peers without a recent report.
    size_t silent = 0;
    /// When the silent peers were last heard. One that is missing has never been heard, so it does not know
    /// of anything that this daemon has counted.
    std::vector<TimePoint> silentSince;
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
    /// Into how many parts the window is divided for a daemon that adopts the state of another one.
    static constexpr size_t windowPartCount = 8;
    using WindowParts = std::array<double, windowPartCount>;
    /// The rank of requests that resume a stream.
    static constexpr int resumingRank = -1;

    /// @param startsFull set only if nothing can have been admitted before; otherwise the bucket starts empty
    SharedQuota(
        const QuotaLimits& limits, bool startsFull, const QuotaParticipants& participants, TimePoint now);

    /// Counts the tokens and returns true if the quota allows them.
    /// @param rank the urgency among the organisation's own requests; 0 is the highest of new requests
    bool admit(double tokens, const QuotaLimits& limits, const QuotaParticipants& participants, TimePoint now,
        int rank = 0);
    /// Refills the bucket; called at least as often as reports are sent. Between two calls the bucket refills
    /// at the rate of the earlier one, which is a fraction of the quota while peers are silent or after a
    /// restart.
    void refresh(const QuotaParticipants& participants, TimePoint now);
    /// The time until admit() allows the tokens, provided that no other request takes them, the same peers
    /// stay silent and what is kept for higher ranks stays the same.
    Duration timeUntil(double tokens, const QuotaParticipants& participants, TimePoint now, int rank = 0);
    /// What the quota admits for the requests that arrive at this daemon, in proportion to its share of the
    /// organisation's recent use.
    double ownTokensPerSecond(const QuotaParticipants& participants, TimePoint now);
    /// The level, in tokens, of the bucket from which this daemon may take.
    double level(TimePoint now) { return m_bucket.level(now); }
    const QuotaLimits& limits() const { return m_limits; }
    /// The level of the bucket of all daemons, as far as known to this one.
    double fleetLevel(TimePoint now) { return m_fleetBucket.level(now); }
    /// Tokens admitted by all daemons in the last window, as far as known to this one.
    double admittedInWindow(TimePoint now) { return m_fleetAdmissions.within(m_limits.window, now); }
    /// Of these, the tokens that this daemon admitted.
    double ownInWindow(TimePoint now) { return m_ownAdmissions.within(m_limits.window, now); }
    /// The part of the window that is kept for peers which may be admitting unheard.
    double reservedForSilent(const QuotaParticipants& participants, TimePoint now) const;
    /// Tokens that this daemon may admit before its peers report, unless the quota is ample.
    double allowance() const { return m_allowance; }
    /// The tokens that admittedInWindow() counts, by when they were counted: in equal parts of the window,
    /// the oldest first.
    WindowParts windowParts(TimePoint now) const;
    /// Adopts the state of a peer that has counted without interruption: raises the level to the peer's
    /// fleetLevel() if it is higher, and replaces what the window holds by the peer's windowParts().
    /// @return false if the state was restored from a checkpoint that contains more than the peer knows; then
    ///     nothing changes
    bool adopt(double level, const WindowParts& parts, TimePoint now);
    /// Restores what a fleet of which no daemon is left had admitted. What it may have admitted after the
    /// checkpoint is bounded by the level stated there and what the bucket was refilled with since, and
    /// counts as admitted as late as possible. Keeps what was counted since this daemon started.
    /// @param level the fleetLevel() at the checkpoint
    /// @param parts the windowParts() at the checkpoint
    /// @param restartedAt when this daemon's process started
    void restore(
        double level, const WindowParts& parts, TimePoint checkpointAt, TimePoint restartedAt, TimePoint now);
    /// Raises the level to at least `level`; used after a restart of the whole fleet.
    void raiseLevelTo(double level, TimePoint now);
    /// Returns tokens that were admitted but not used because the request did not run.
    void refund(double tokens, TimePoint now);

    /// Tokens admitted by this daemon since it started, less those returned.
    double admittedTotal() const { return m_admittedTotal; }
    /// Applies a peer's report and returns the tokens that it adds. Idempotent: a total that was reported
    /// before changes nothing.
    double applyReport(const std::string& daemon, const QuotaReport& report, TimePoint now);
    /// Takes the total of a report as counted already, because the daemon's use is part of a sum.
    void skipReport(const std::string& daemon, const QuotaReport& report)
    {
        m_peers[daemon] = { .incarnation = report.incarnation, .total = report.admittedTotal };
    }
    /// Counts what other daemons have admitted; negative for what they returned.
    void applyUse(double tokens, TimePoint now);

private:
    struct PeerTotal {
        uint64_t incarnation = 0;
        double total = 0;
    };

    struct RankUse {
        WindowSum demanded;
        WindowSum admitted;
    };

    /// What the window may still hold, as far as known to this daemon; infinite without a window.
    double windowLeft(const QuotaParticipants& participants, TimePoint now) const;
    /// The part of the quota that the requests of this daemon get.
    double ownShare(const QuotaParticipants& participants, TimePoint now);
    /// The time until some of the allowance is left, when `left` tokens are.
    Duration timeUntilAllowance(double left, const QuotaParticipants& participants, TimePoint now);
    /// Refills the allowance and returns whether any of it is left.
    bool refillAllowance(double left, const QuotaParticipants& participants, TimePoint now);
    /// Whether the quota cannot be exceeded by what the peers admit before their next reports, because it is
    /// large compared with the organisation's demand.
    bool isAmple(double tokens, double left, const QuotaParticipants& participants, TimePoint now);
    /// Whether a request that resumes a stream may be admitted ahead of what the bucket will hold.
    bool mayAdvance(double tokens, const QuotaParticipants& participants, TimePoint now) const;
    /// By how much the fleet's demand exceeds that of this daemon, as far as both have been counted.
    double fleetDemandFactor(TimePoint now);
    /// The part of the quota that is kept for requests of higher ranks.
    double reserveAbove(int rank, TimePoint now);
    /// What may have been admitted at once before a restart of the whole fleet and count after it.
    double burstBeforeRestart() const;
    /// The same unless a checkpoint accounts for it.
    double unknownBurst() const;
    /// Whether the whole fleet was restarted less long ago than its bucket takes to fill.
    bool hasJustRestarted(TimePoint now) const;
    /// Whether a burst that was admitted before a restart of the whole fleet may still be in the window.
    bool hasUnknownBurst(TimePoint now) const;
    /// The options of the fleet's bucket.
    TokenBucketOptions bucketOptions(TimePoint now) const;
    /// Adds to both buckets, or takes from them if negative.
    void settle(double tokens, TimePoint now);

    QuotaLimits m_limits;
    /// What the daemons that hear each other may use.
    TokenBucket m_bucket;
    /// What all daemons could use if they heard each other; means nothing until `m_knowsFleetLevel`.
    TokenBucket m_fleetBucket;
    /// The fraction of the quota that is not reserved for silent peers.
    double m_usableFraction = 1;
    /// Admissions of all daemons.
    WindowSum m_fleetAdmissions;
    /// Those of them that were counted one by one, not taken from a peer or a checkpoint.
    WindowSum m_countedAdmissions;
    /// Admissions of this daemon.
    WindowSum m_ownAdmissions;
    /// Tokens demanded of this daemon and admitted by it, by rank.
    std::map<int, RankUse> m_ownRanks;
    /// Tokens that this daemon may still admit before the next reports of its peers; may be negative by up to
    /// one request.
    double m_allowance = 0;
    TimePoint m_allowanceRefilledAt;
    TimePoint m_lastAdmittedAt {};
    bool m_startedFull;
    /// Whether the buckets have differed, because peers were silent or this daemon was restarted, and when
    /// peers were last silent.
    bool m_isDivided;
    TimePoint m_lastSilentAt {};
    /// Whether the fleet's bucket has been in the state of that of a peer, or of this daemon's while it heard
    /// all peers.
    bool m_knowsFleetLevel;
    bool m_hasAdopted = false;
    /// Up to when the use that was restored from a checkpoint is counted. All restarted daemons know of it.
    std::optional<TimePoint> m_restoredUntil;
    /// What restore() has counted without knowing of it.
    double m_restoredUnseen = 0;
    /// Tokens that this daemon has admitted ahead of what its bucket held.
    double m_advanced = 0;
    TimePoint m_startedAt;
    double m_admittedTotal = 0;
    std::map<std::string, PeerTotal> m_peers;
};

} // namespace lentilbay
