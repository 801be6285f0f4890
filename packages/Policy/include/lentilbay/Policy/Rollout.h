// Decides how much of a service's load a new software version gets, and whether it is adopted or reverted.
//
// Each daemon has a RolloutGate. It sends at most a share of this daemon's own requests to the new (target)
// version, counted from when it saw the order, and only under a permit that is valid for 1.5 s. So the sum
// over the daemons keeps the share, whatever the daemons know of each other. One daemon coordinates the
// order: its RolloutJudge applies the reports of all daemons, compares the versions, and issues the permits.
//
// The target version is judged by the responses that are bad (a failure of the endpoint) or slow, on each
// route and on all, in the last 10 s and since the order. It is reverted if their share exceeds that of the
// former version by more than chance. An engine that crashes contributes many bad responses at one endpoint
// at one time, a bad version some at each: the bad responses of an endpoint count only up to twice what the
// median of the endpoints has, plus two, and while few endpoints have responded, the excess must last.
//
// The bound on the exposure covers the time up to the deadline, also after the version is adopted. Therefore
// the new version gets all requests only shortly before the deadline.
#pragma once

#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/Random.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace lentilbay {

/// The version of the row that holds the order.
struct RolloutOrderId {
    uint64_t era = 0;
    uint64_t number = 0;

    auto operator<=>(const RolloutOrderId&) const = default;
};

struct RolloutOrder {
    RolloutOrderId id;
    ServiceId service;
    /// The software version to which the service is to change.
    std::string version;
    /// The version is to be adopted within this time after the order.
    Duration duration {};

    auto operator<=>(const RolloutOrder&) const = default;
};

/// Whether both are the same order: a row that a restored store returns unchanged in another era is.
bool isSameOrder(const RolloutOrder& first, const RolloutOrder& second);

/// The bounds on what a bad version gets.
struct RolloutLimits {
    /// The fraction of all requests between the order and its deadline.
    double share = 0.1;
    /// Requests that it may get in addition.
    double slackRequests = 50;
    /// No request may be sent to it this long after its 50th bad response.
    Duration revert = std::chrono::seconds(5);

    auto operator<=>(const RolloutLimits&) const = default;
};

enum class RolloutPhase : uint8_t {
    /// A small share of the requests goes to the target version.
    Canary,
    /// New requests go to the target version, earlier ones finish at the former versions.
    Switching,
    /// Adopted: nothing is sent to the former versions any more.
    Complete,
    /// Rejected: nothing is sent to the target version any more.
    Reverted,
};

enum class VersionGroup : uint8_t {
    /// All versions but the target version.
    Former,
    Target,
};

/// Totals of responses.
struct ResponseCounts {
    uint64_t responses = 0;
    /// Responses that are the endpoint's own failure.
    uint64_t bad = 0;
    /// Responses that are much later than expected of the former version.
    uint64_t slow = 0;

    auto operator<=>(const ResponseCounts&) const = default;
};

struct RouteCounts {
    /// Hash of the route.
    uint64_t route = 0;
    ResponseCounts former;
    ResponseCounts target;

    auto operator<=>(const RouteCounts&) const = default;
};

struct EndpointCounts {
    /// Hash of the endpoint.
    uint64_t endpoint = 0;
    ResponseCounts counts;

    auto operator<=>(const EndpointCounts&) const = default;
};

/// What a daemon reports to the coordinator: totals since it saw the order.
struct RolloutReport {
    std::string daemon;
    uint64_t incarnation = 0;
    /// Increases with each report of an incarnation.
    uint64_t sequence = 0;
    RolloutOrderId order;
    /// The phase in which the daemon acts; Canary without a valid permit.
    RolloutPhase phase = RolloutPhase::Canary;
    /// New requests of the service.
    uint64_t requests = 0;
    /// Sends to the target version.
    uint64_t sentToTarget = 0;
    /// Requests that are being processed by former versions.
    uint32_t formerInFlight = 0;
    std::vector<RouteCounts> routes;
    /// The endpoints of the target version that responded.
    std::vector<EndpointCounts> endpoints;

    auto operator<=>(const RolloutReport&) const = default;
};

/// The coordinator's answer to a report. Complete and Reverted hold for good, the others until the permit
/// expires.
struct RolloutPermit {
    RolloutOrderId order;
    RolloutPhase phase = RolloutPhase::Canary;
    /// In the phase Canary, the fraction of a daemon's requests that may go to the target version.
    double share = 0;
    /// Selects the endpoints of the target version that are used in the phase Canary.
    uint32_t rotation = 0;

    auto operator<=>(const RolloutPermit&) const = default;
};

/// How long a permit is valid, counted from when the report that it answers was sent.
constexpr Duration rolloutPermitLife = std::chrono::milliseconds(1500);

/// What the coordinator keeps in the store for the case that all daemons are restarted.
struct RolloutState {
    RolloutOrderId order;
    RolloutPhase phase = RolloutPhase::Canary;
    /// The time since the order began, when the state was written.
    Duration elapsedAtWrite {};
    uint64_t requests = 0;
    uint64_t sentToTarget = 0;
    /// Responses of the target version, and how many were bad or slow.
    uint64_t responses = 0;
    uint64_t badResponses = 0;
    uint64_t slowResponses = 0;
    /// The same for the former versions.
    uint64_t formerResponses = 0;
    uint64_t formerBadResponses = 0;
    uint64_t formerSlowResponses = 0;

    auto operator<=>(const RolloutState&) const = default;
};

enum class RolloutReason : uint8_t {
    /// Nothing speaks against the target version, and the deadline is not near.
    Running,
    /// The deadline is near, but the target version would get too many requests until then.
    ExposureTooHigh,
    /// The deadline is near.
    DeadlineNear,
    /// Most of the daemons are silent, so that another coordinator may know more.
    TooFewReports,
    /// No daemon reports requests at former versions any more.
    FormerDrained,
    /// Requests at former versions cannot be waited for any longer.
    DeadlineReached,
    BadResponses,
    BadResponsesOnRoute,
    SlowResponses,
    SlowResponsesOnRoute,
    /// The number of bad responses has reached its bound.
    BadResponseCount,
    /// A daemon reports that an earlier coordinator decided so.
    Reported,
    /// The store holds this phase.
    Committed,
};

/// The name of a reason in the log.
const char* nameOf(RolloutReason reason);

struct RolloutDecision {
    RolloutPhase phase = RolloutPhase::Canary;
    RolloutReason reason = RolloutReason::Running;

    auto operator<=>(const RolloutDecision&) const = default;
};

/// The coordinator's part: judges the target version of one order.
class RolloutJudge {
public:
    /// @param begunAt when the order was accepted, on this daemon's clock; may be in the past
    /// @param restored the state in the store, if the order had begun before
    RolloutJudge(const RolloutOrder& order, const RolloutLimits& limits, TimePoint begunAt,
        const std::optional<RolloutState>& restored = std::nullopt);

    const RolloutOrder& order() const { return m_order; }
    TimePoint deadline() const { return m_begunAt + m_order.duration; }

    /// Applies the totals of a daemon. Idempotent; reports may be lost, repeated or out of order. Returns
    /// false if the report is of another order.
    bool apply(const RolloutReport& report, TimePoint now);
    /// Applies what another daemon has received earlier, for instance from a daemon that has ended. It counts
    /// for the whole order, but not as recent.
    void applyEarlier(const RolloutReport& report, TimePoint receivedAt);
    /// The phase that should hold, and why. A decision for Reverted is in force for permits at once; the
    /// decision for Complete is so only after commit().
    RolloutDecision decide(TimePoint now);
    /// How many endpoints of the target version are known, so that the only one can be judged alone.
    void setTargetEndpoints(size_t count) { m_targetEndpoints = count; }
    /// The store has acknowledged this phase, or states that another daemon has written it. Ignores phases
    /// other than Complete and Reverted.
    void commit(RolloutPhase phase);
    /// Whether the store has acknowledged Complete or Reverted.
    bool isCommitted() const { return m_isCommitted; }
    RolloutPermit permit(TimePoint now) const;
    /// The state to be written. Its phase is the one in force for permits, so that a caller which writes
    /// Complete sets that itself.
    RolloutState state(TimePoint now) const;

private:
    struct Counts {
        uint64_t requests = 0;
        uint64_t sentToTarget = 0;
        ResponseCounts former;
        ResponseCounts target;
        std::unordered_map<uint64_t, RouteCounts> routes;
        std::unordered_map<uint64_t, ResponseCounts> endpoints;

        void add(const Counts& other);
    };

    /// What was reported in a short time.
    struct Bucket {
        TimePoint startedAt {};
        Counts counts;
    };

    struct Daemon {
        /// Of its newest report.
        uint64_t sequence = 0;
        RolloutPhase phase = RolloutPhase::Canary;
        uint32_t formerInFlight = 0;
        TimePoint reportedAt {};
        Counts counts;
    };

    /// A kind of response that speaks against a version.
    using Kind = uint64_t ResponseCounts::*;

    /// What a report adds to what is known; std::nullopt if it is not newer than the last one of its sender.
    struct Addition {
        Counts counts;
        bool isFirst = false;
    };
    std::optional<Addition> record(const RolloutReport& report, TimePoint receivedAt);
    /// Updates the counts of a daemon and returns by how much they have increased.
    static Counts increase(Counts& counts, const RolloutReport& report);
    /// What was reported in the last 10 s.
    Counts recent() const;
    /// The requests per second of all daemons, by what was reported last.
    double requestRate(TimePoint now) const;
    /// The share of the target version in the phase Canary apart from what the slack adds.
    double baseShare() const;
    /// The same with the slack, for services with few requests.
    double canaryShareAt(TimePoint now) const;
    /// How long before the deadline the phase Switching begins at the earliest.
    Duration switchingLead() const;
    /// What has been counted since the order, with the restored state if all daemons were restarted since.
    Counts totalsAt(TimePoint now) const;
    std::optional<RolloutReason> reasonToRevert(TimePoint now) const;
    /// By which factor the number of such responses is reduced, so that one endpoint that fails alone does
    /// not decide; 0 if too few endpoints are affected.
    double spreadFactor(const Counts& counts, Kind kind) const;
    /// Where the target version exceeds the former one: on all routes, or on one.
    enum class Excess : uint8_t { None, OnRoute, OnAll };
    /// @param thresholdOnAll how many standard deviations count as an excess on all routes
    /// @param minResponses how many of them are needed
    Excess excessOf(const Counts& counts, Kind kind, double thresholdOnAll, double minResponses) const;
    /// The greatest number of such responses of the target version that were reported within the time of a
    /// crash, in the last 10 s.
    uint64_t worstRun(Kind kind) const;
    /// Whether the target version exceeds the former one without the endpoints that are worst.
    bool isSpread(const Counts& counts, Kind kind) const;
    /// Whether the excess is due to more than the `worst` run.
    bool isLasting(const Counts& counts, Kind kind, uint64_t worst) const;
    /// Whether the target version would get more than it may if it got all requests up to the deadline.
    bool exceedsExposure(TimePoint now) const;
    bool isFormerDrained(TimePoint now) const;
    /// Whether at least half of the daemons that have ever reported have done so recently.
    bool hearsMost(TimePoint now) const;

    RolloutOrder m_order;
    RolloutLimits m_limits;
    TimePoint m_begunAt;
    RolloutPhase m_phase = RolloutPhase::Canary;
    RolloutReason m_reason = RolloutReason::Running;
    bool m_isCommitted = false;
    size_t m_targetEndpoints = 2;
    std::optional<TimePoint> m_firstReportAt;
    /// When the phase Switching began.
    TimePoint m_switchedAt {};
    /// By daemon and incarnation, so that the totals of those that were restarted are kept.
    std::map<std::pair<std::string, uint64_t>, Daemon> m_daemons;
    /// The state that the store had when this coordinator took over.
    RolloutState m_restored;
    Counts m_totals;
    std::deque<Bucket> m_buckets;
    /// The worst runs since the order.
    ResponseCounts m_worstRun;
};

/// A daemon's part: decides for each request of the service which version it may go to.
class RolloutGate {
public:
    RolloutGate(std::string daemon, uint64_t incarnation);

    /// Begins an order, with counts at zero, unless it is the present one.
    /// @param formerInFlight requests that former versions are processing for this daemon
    void setOrder(const RolloutOrder& order, uint32_t formerInFlight = 0);
    /// Ends the order; all versions may be used.
    void clearOrder();
    const std::optional<RolloutOrder>& order() const { return m_order; }

    /// @param sentAt when the report that the permit answers was sent
    void applyPermit(const RolloutPermit& permit, TimePoint sentAt, TimePoint now);
    /// Applies what the store states of the order: Complete or Reverted.
    void applyStatus(const RolloutOrderId& order, RolloutPhase phase);
    /// The phase in which this daemon acts; Canary if it has no valid permit.
    RolloutPhase phase(TimePoint now) const;
    bool hasPermit(TimePoint now) const;

    /// Decides where a new request of the service goes, and counts it.
    VersionGroup choose(TimePoint now);
    /// Decides again for a request that has waited since choose() and has not been sent.
    VersionGroup chooseAgain(VersionGroup chosen, TimePoint now);
    /// A request for which the target version was chosen is sent to a former one.
    void returnChoice() { m_chosenTarget -= m_chosenTarget > 0 ? 1 : 0; }
    /// Whether anything may be sent to endpoints of the group, for instance a request that resumes a stream
    /// which began there.
    bool mayUse(VersionGroup group, TimePoint now) const;
    /// The endpoints of the target version that may be used now, in the order of their hashes' weights.
    /// @param endpoints hashes of all endpoints of the target version
    /// @param excluded those of them that fail: in the phase Canary the next ones are used in their place
    std::vector<uint64_t> usableTargets(
        std::span<const uint64_t> endpoints, std::span<const uint64_t> excluded, TimePoint now) const;

    void recordSend(VersionGroup group, TimePoint now);
    /// A response to a send; not called for responses that say nothing on the version, such as rejections for
    /// lack of capacity or failures that are attributed to the request.
    void recordResponse(
        uint64_t route, uint64_t endpoint, VersionGroup group, bool isBad, bool isSlow, TimePoint now);
    /// A request that was sent to a former version ended there; once for each recordSend().
    void recordFormerEnded();
    /// The next report; each call returns a new one.
    RolloutReport report(TimePoint now);

private:
    std::string m_daemon;
    uint64_t m_incarnation;
    Random m_random;
    std::optional<RolloutOrder> m_order;
    RolloutPermit m_permit;
    std::optional<TimePoint> m_permitSentAt;
    /// Complete or Reverted, once known.
    std::optional<RolloutPhase> m_final;
    /// In [0, 1), different on each daemon, so that a fleet in which no daemon has many requests sends its
    /// share as well.
    double m_offset = 0;
    uint64_t m_sequence = 0;
    uint64_t m_requests = 0;
    uint64_t m_chosenTarget = 0;
    uint64_t m_sentToTarget = 0;
    uint32_t m_formerInFlight = 0;
    std::map<uint64_t, RouteCounts> m_routes;
    std::map<uint64_t, ResponseCounts> m_endpoints;
};

} // namespace lentilbay
