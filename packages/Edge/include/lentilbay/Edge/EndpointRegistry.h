// The endpoints that one daemon knows: their entries, load, speed and recent failures.
//
// Load is the number of this daemon's own requests, which is exact, plus the latest loads from the other
// daemons' heartbeats. The engines' own reports are older than both and are not read.
#pragma once

#include "lentilbay/Edge/EndpointSignalTable.h"
#include "lentilbay/Model/RoutedEndpoint.h"
#include "lentilbay/Model/Topology.h"
#include "lentilbay/Policy/Estimate.h"
#include "lentilbay/Policy/PromptCacheEstimate.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

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
    /// When any request of this daemon last made progress there, or when the first one was sent.
    TimePoint m_lastProgress {};
};

/// Free slots required beyond the one to be taken, at endpoints whose load reports arrive with delay.
struct Headroom {
    double sameRegion = 0;
    double otherRegion = 0;
};

/// Requirements for choosing an endpoint.
struct ChoiceQuery {
    ServiceId service;
    Work work;
    /// The latency objective: the first event should arrive by this time.
    TimePoint objectiveAt {};
    /// The complete answer must have arrived by this time.
    TimePoint expiresAt = TimePoint::max();
    /// The longest acceptable pause between events, for this stream and those it shares the endpoint with;
    /// zero: no limit.
    Duration gapObjective {};
    double tokensPerEvent = 1;
    /// Whether the request may keep waiting for an endpoint that meets its objectives instead of taking any.
    bool mayWait = false;
    /// Whether to leave fast endpoints to other requests if a slower one meets the objectives.
    bool avoidsFastEndpoints = false;
    /// hashOf() the only software version that may answer the request; set if it resumes a stream.
    std::optional<uint64_t> version = std::nullopt;
    /// The prefixes of the prompt that endpoints may have cached; nullptr if none are known.
    std::shared_ptr<const std::vector<PromptPrefix>> prompt = nullptr;
    /// Endpoints that the request was already sent to.
    std::vector<EndpointId> tried;
};

/// The number of requests that another daemon has in flight at an endpoint.
struct PeerLoad {
    /// hashOf() of the endpoint's id.
    uint64_t endpoint = 0;
    uint16_t inFlight = 0;

    auto operator<=>(const PeerLoad&) const = default;
};

/// Average processing times at the endpoints of one service.
struct ServiceLatency {
    double nonStreamSeconds = 0;
    double firstEventSeconds = 0;
    double secondsPerPromptToken = 0;
    double secondsPerAnswerToken = 0;
    /// Whether most slots are taken.
    bool isContended = false;

    /// The time to the first event from the send on.
    Duration timeToFirstEvent(const Work& work) const;
    /// The time that the work occupies a slot.
    Duration totalTime(const Work& work) const;
};

class EndpointRegistry {
public:
    EndpointRegistry(Topology topology, uint64_t seed);

    /// Adds an endpoint or updates its entry. Returns whether anything changed.
    bool list(const RoutedEndpoint& endpoint);
    /// Whether an entry lists as ready an incarnation of the endpoint that is known to be leaving, or an
    /// endpoint that is not listed or has been started again since.
    bool wouldReturn(const RoutedEndpoint& endpoint) const;
    /// Removes an endpoint. Returns whether it was listed. Sends in progress may still end.
    bool unlist(const EndpointId& id);
    /// Returns the state, also of an endpoint that was removed while sends to it are in progress; nullptr for
    /// others.
    std::shared_ptr<EndpointState> find(const EndpointId& id) const;
    const std::map<EndpointId, std::shared_ptr<EndpointState>>& all() const { return m_endpoints; }
    /// Returns nullptr if no endpoint with this hash of its id is listed.
    std::shared_ptr<EndpointState> findByHash(uint64_t hash) const;
    /// Changes whenever an entry does.
    uint64_t revision() const { return m_revision; }
    /// Ends suspensions because of failures since then, which did not come from the endpoints.
    void forgetFailuresSince(TimePoint since);

    /// Replaces the loads that a daemon reported before.
    void updatePeerLoads(const std::string& daemon, const std::vector<PeerLoad>& loads, TimePoint now);
    /// Drops loads that were reported too long ago.
    void dropStaleLoads(TimePoint now);

    /// Records what an endpoint states in the head of its answer. Returns whether that is new.
    bool recordSignals(const EndpointState& endpoint, const SignalAnswer& answer, TimePoint now);
    /// Applies what a peer knew at `at` or later, and returns the endpoints for which that is new.
    std::vector<EndpointId> applySignalReports(
        const std::vector<SignalReport>& reports, TimePoint at, TimePoint now);
    std::vector<SignalReport> signalReports(TimePoint now) const { return m_signals.reports(now); }
    /// Tells the table of statements which daemons are alive; to be called regularly while it has entries.
    void updateSignals(const std::string& self, std::vector<SendingDaemon> daemons, TimePoint now);
    /// Whether rejections make endpoints of the service fail, so that their slots are divided among the
    /// daemons.
    bool isBrittle(const ServiceId& service) const { return m_brittleServices.contains(service); }
    /// Whether this daemon may send to endpoints of the service, as far as their slots are divided.
    bool hasSlotShare(const ServiceId& service) const;
    /// Whether the endpoint has recently rejected requests, which make it fail.
    bool isOverloaded(const EndpointState& endpoint, TimePoint now) const
    {
        return !m_signals.empty() && m_signals.isOverloaded(endpoint.hash(), now);
    }
    bool hasSignals() const { return !m_signals.empty(); }
    EndpointSignals signalsOf(const EndpointState& endpoint) const
    {
        return m_signals.signalsOf(endpoint.hash());
    }

    void setHeadroom(Headroom headroom) { m_headroom = headroom; }
    /// Returns the endpoint to send the work to now, or nullptr if none has room.
    std::shared_ptr<EndpointState> choose(ChoiceQuery query, TimePoint now);
    PromptCacheEstimate& promptCache() { return m_promptCache; }
    /// Records a send for which EndpointState::recordSend() has been called, to an endpoint whose cache has
    /// room for `memory` tokens.
    void recordPromptSend(const EndpointState& endpoint, const Work& work, double memory);
    /// The tokens of the prompt that the endpoint is expected to have in its cache.
    double cachedTokens(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now) const;
    /// Records that an endpoint wants no requests from this daemon until then. Afterwards it gets one at a
    /// time until one succeeds.
    void pause(EndpointState& endpoint, const EndpointIncarnation& incarnation, TimePoint until);
    /// Whether the endpoint is listed, not leaving and not paused. To be asked again right before a send, as
    /// choose() may have returned the endpoint some time before.
    bool acceptsRequests(const EndpointState& endpoint, TimePoint now) const;
    /// Whether the service has an endpoint that is not leaving, not in `tried` and of the software version,
    /// if one is given.
    bool hasCandidate(const ServiceId& service, const std::vector<EndpointId>& tried = {},
        std::optional<uint64_t> version = std::nullopt) const;
    /// The slots of the service's endpoints that accept work, and the requests in flight there.
    struct Occupancy {
        double slots = 0;
        double load = 0;
    };
    Occupancy occupancy(const ServiceId& service, TimePoint now) const;
    ServiceLatency latencyOf(const ServiceId& service, TimePoint now) const;

private:
    /// Whether an endpoint with a free slot would complete the answer before the request expires.
    static bool finishesInTime(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now);
    /// Whether the first event would arrive in time without delaying the streams running on the endpoint
    /// beyond their gap objective, if `pendingTokens` prompt tokens are processed first.
    static bool meetsLatencyObjectives(
        const EndpointState& endpoint, const ChoiceQuery& query, double pendingTokens, TimePoint now);
    double costOf(const EndpointState& endpoint, const ChoiceQuery& query, TimePoint now);
    Locality localityOf(const EndpointState& endpoint) const
    {
        return m_topology.localityOf(endpoint.entry().dataCentre);
    }
    bool hasRoom(const EndpointState& endpoint, bool excusesFailures) const;
    /// Whether failures and stalls exclude no endpoint, because they would exclude all of them although
    /// requests succeed: some requests fail at any endpoint, and the others need one.
    struct Excuses {
        bool failures = false;
        bool stalls = false;
    };
    Excuses excusesFor(const ServiceId& service, std::optional<uint64_t> version, TimePoint now) const;
    /// Whether what the endpoint states about itself allows a send now.
    bool isAllowedBySignals(const EndpointState& endpoint, TimePoint now) const;
    /// Whether the endpoint is leaving, according to its entry or to its own answers.
    bool isLeaving(const EndpointState& endpoint) const
    {
        return endpoint.entry().isDraining || (!m_signals.empty() && m_signals.isLeaving(endpoint.hash()));
    }
    /// Divides the slots of the endpoints that rejections make fail.
    void divideSlots(TimePoint now);
    using Endpoints = std::vector<std::shared_ptr<EndpointState>>;
    const Endpoints& endpointsOf(const ServiceId& service) const;
    void rebuildIndexes();

    struct PeerLoads {
        TimePoint at {};
        /// Refers to the states, not the ids: an endpoint that is removed and added again starts without
        /// these.
        std::vector<std::pair<std::shared_ptr<EndpointState>, uint32_t>> loads;
    };
    static void subtractLoads(PeerLoads& peer);

    Topology m_topology;
    Headroom m_headroom;
    Random m_random;
    std::map<EndpointId, std::shared_ptr<EndpointState>> m_endpoints;
    /// Indexes by service and by hashOf() of the id, rebuilt whenever an entry changes.
    std::map<ServiceId, Endpoints> m_byService;
    std::unordered_map<uint64_t, std::shared_ptr<EndpointState>> m_byHash;
    uint64_t m_revision = 0;
    std::map<std::string, PeerLoads> m_peers;
    EndpointSignalTable m_signals;
    PromptCacheEstimate m_promptCache;
    std::set<ServiceId> m_brittleServices;
};

} // namespace lentilbay::edge
