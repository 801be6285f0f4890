// What one daemon knows of an endpoint: its entry, load, speed and recent failures.
#pragma once

#include "lentilbay/Edge/EndpointSignalTable.h"
#include "lentilbay/Model/RoutedEndpoint.h"
#include "lentilbay/Model/Topology.h"
#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Policy/PromptCacheEstimate.h"
#include "lentilbay/Policy/SlotAssignment.h"
#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace lentilbay::edge {

/// The work that a request requires of an endpoint.
struct Work {
    bool isStream = false;
    double promptTokens = 0;
    /// The expected number, not the maximum.
    double answerTokens = 0;
    /// Of the prompt's tokens, those that the endpoint is expected to have in its cache.
    double cachedTokens = 0;

    double tokensToProcess() const { return std::max(0.0, promptTokens - cachedTokens); }
};

/// The outcome of a send, classified by what it shows about the state of the endpoint.
enum class SendOutcome : uint8_t {
    Succeeded,
    /// No connection was established, which no request can cause.
    Unreachable,
    /// Broken answer, server error or stall.
    Failed,
    /// The endpoint reported that it is at capacity.
    Full,
    /// Another endpoint has the address, so the entry is wrong or out of date.
    Misdirected,
    /// Does not reflect on the endpoint: the caller disconnected, for instance.
    Neutral,
};

class EndpointState {
public:
    explicit EndpointState(RoutedEndpoint entry);

    const RoutedEndpoint& entry() const { return m_entry; }
    /// hashOf() of the endpoint's id.
    uint64_t hash() const { return m_hash; }
    EndpointIncarnation incarnation() const
    {
        return { .endpoint = m_hash,
            .startedAtMilliseconds = m_entry.startedAtMilliseconds,
            .dataCentre = m_entry.dataCentre };
    }
    CacheOwner cacheOwner() const { return { m_hash, m_entry.startedAtMilliseconds }; }
    void updateEntry(RoutedEndpoint entry);
    /// hashOf() the endpoint's software version.
    uint64_t versionHash() const { return m_versionHash; }

    void recordSend(const Work& work, TimePoint now);
    /// Records the first event, or the complete non-streamed answer.
    void recordFirstEvent(const Work& work, Duration elapsed, TimePoint now);
    /// Records that `tokens` arrived within `elapsed`.
    void recordProgress(double tokens, Duration elapsed, TimePoint now);
    /// Must match a recordSend(); `hadFirstEvent` is whether recordFirstEvent() was called for it.
    /// @param evidence of a failure against the endpoint, from 0 to 1: FailureSources::weightAgainst()
    void recordEnd(
        const Work& work, SendOutcome outcome, bool hadFirstEvent, TimePoint now, double evidence = 1);
    /// Records that a send which has ended turned out to have failed.
    void recordFailure(TimePoint now, double evidence = 1);
    /// Records that the endpoint's process is gone, which suspends it.
    void recordLost(TimePoint now);
    /// Ends a suspension, because another daemon has reached the endpoint since. It gets one request at a
    /// time until one succeeds.
    void endSuspension() { m_suspendedUntil = m_unusableUntil = {}; }
    /// Forgets failures that did not come from the endpoint.
    void forgetFailures();
    /// When a request last failed there.
    TimePoint failedAt() const { return m_failedAt; }
    /// Takes back a failure that was recorded then, since the request turned out to be its cause.
    void retractFailure(double evidence, TimePoint failedAt);
    /// Requests in flight at the endpoint, of all daemons.
    double load() const { return static_cast<double>(m_ownInFlight + m_peerInFlight); }
    uint32_t ownInFlight() const { return m_ownInFlight; }
    double pendingPromptTokens() const { return m_pendingPromptTokens; }
    /// The expected time to the first event, or to the complete non-streamed answer, if the work were sent
    /// now.
    Duration expectedTimeToFirstEvent(const Work& work) const;
    /// The same, if `pendingTokens` prompt tokens are processed first.
    Duration expectedTimeToFirstEvent(const Work& work, double pendingTokens) const;
    /// The longest pause that processing the prompt causes in the streams already running on the endpoint.
    Duration expectedStreamPause(const Work& work, double pendingTokens, double tokensPerEvent) const;
    /// The expected time to the end of the answer.
    Duration expectedTotalTime(const Work& work) const;
    /// Records an answer whose header could not be parsed; returns whether it is the first one.
    bool noteUnreadableHeader() { return !std::exchange(m_hadUnreadableHeader, true); }
    /// Whether the endpoint failed recently and gets no work at present.
    bool isSuspended(TimePoint now) const { return now < m_suspendedUntil || isUnusable(now); }
    /// Whether it is suspended for a reason that no request can cause.
    bool isUnusable(TimePoint now) const { return now < m_unusableUntil; }
    /// When a request last succeeded there.
    TimePoint succeededAt() const { return m_succeededAt; }
    /// Whether the endpoint has not succeeded since it was suspended; it then gets one request at a time.
    bool isOnProbation() const { return m_failureEvidence >= evidenceToSuspend; }
    /// Whether a failure that no request explains has not been followed by a success.
    bool isSuspect() const { return m_failureEvidence >= 1; }
    /// Whether this daemon has requests in flight there and none of them has made progress for much longer
    /// than expected.
    bool isStalled(TimePoint now) const;
    /// How long this daemon's requests in flight there have made no progress; zero if there are none.
    Duration silence(TimePoint now) const
    {
        return m_ownInFlight > 0 ? now - m_lastProgress : Duration::zero();
    }

    /// Prior estimate for engines: the startup time, in prompt tokens.
    static double startupPromptTokens();

private:
    /// Time to process one prompt token; the startup time is expressed in prompt tokens as well.
    double secondsPerPromptToken() const;

    /// A single failure may be caused by the request; two in a row are attributed to the endpoint if similar
    /// requests do not fail elsewhere.
    static constexpr double evidenceToSuspend = 2;

    friend class EndpointRegistry;

    RoutedEndpoint m_entry;
    uint64_t m_hash;
    uint64_t m_versionHash;
    TimePoint m_lastSendAt {};
    bool m_hadUnreadableHeader = false;
    uint32_t m_ownInFlight = 0;
    /// Prompt tokens of requests that were sent and have not produced their first event.
    double m_pendingPromptTokens = 0;
    /// Sum over the daemons whose heartbeats are recent; maintained by EndpointRegistry.
    int64_t m_peerInFlight = 0;
    Estimate m_secondsPerToken;
    /// Ratio of observed to modelled time to the first event.
    Estimate m_firstEventRatio;
    Estimate m_nonStreamSeconds;
    /// Fraction of recent sends that failed.
    Estimate m_failureRate;
    /// The sum over the failures since the last success.
    double m_failureEvidence = 0;
    int m_suspensions = 0;
    /// Misdirected sends since the entry last named another address or incarnation.
    int m_misdirections = 0;
    TimePoint m_suspendedUntil {};
    TimePoint m_unusableUntil {};
    TimePoint m_succeededAt {};
    TimePoint m_failedAt {};
    /// How many requests this daemon may have in flight there, if the slots are divided among the daemons.
    std::optional<uint32_t> m_slotShare;
    /// When a larger share was last computed than the one that applies.
    std::optional<TimePoint> m_shareGrowsSince;
    /// Where the endpoint is, seen from this daemon.
    Locality m_locality = Locality::OtherRegion;
    /// This daemon's share of the slots, if those of the service are divided; kept by EndpointRegistry, which
    /// computes it again when its revision has changed.
    std::optional<SlotAssignment::Share> m_assignedShare;
    uint64_t m_shareRevision = 0;
    /// From when on the reported loads include what the daemons have sent since the endpoint was readmitted.
    TimePoint m_loadKnownFrom {};
    /// When any request of this daemon last made progress there, or when the first one was sent.
    TimePoint m_lastProgress {};
};

} // namespace lentilbay::edge
