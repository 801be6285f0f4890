// What callers and stand-ins observed of a run, as plain values. The invariants are checked against these
// records alone.
//
// All times of a run are from one clock. Nothing here comes from a daemon's logs, metrics or admin calls.
#pragma once

#include "lentilbay/Model/Request.h"
#include "lentilbay/Support/Identifier.h"
#include "lentilbay/Support/ResultCode.h"
#include "lentilbay/Support/Time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lentilbay {

/// How a request ended for its caller.
enum class CallerEnd : uint8_t {
    /// An answer without an error.
    Answered,
    /// A refusal with a result code.
    Refused,
    /// Neither: the connection could not be opened, broke, or closed without an end marker.
    Lost,
    /// The caller closed its connection on purpose.
    Left,
};

/// One request as observed by its caller.
struct CallerRecord {
    /// From the answer's Lentilbay-Request-Id; empty if none arrived.
    RequestId id;
    /// Identifies the request's content, so that dispatches can be matched without relying on ids; 0 if
    /// unknown. Only retries with the same idempotency key share a digest.
    uint64_t contentDigest = 0;
    DaemonId daemon;
    OrganisationId organisation;
    TierId tier;
    /// The tier's priority; 0 is the highest.
    int rank = 0;
    ServiceId service;
    bool nonIdempotent = false;
    /// Empty if none was sent.
    std::string idempotencyKey;
    uint32_t promptTokens = 0;
    /// The leading prompt tokens that other requests share, so that an endpoint may have them cached.
    uint32_t sharedPrefixTokens = 0;
    /// The number of tokens in the complete answer.
    uint32_t answerTokens = 0;
    /// From arrival to the complete answer, as requested by the caller or guaranteed by its tier.
    std::optional<Duration> deadline;

    TimePoint sentAt {};
    TimePoint endedAt {};
    CallerEnd end = CallerEnd::Lost;
    /// Set only if refused.
    ResultCode code = ResultCode::Ok;
    /// Set only if refused.
    Executed ran = Executed::Unknown;
    /// Set only if answered: every token arrived exactly once and in order, followed by the end marker.
    bool whole = false;
    /// Set only if answered: the answer belongs to this request's content.
    bool own = false;

    bool operator==(const CallerRecord&) const = default;
};

/// One request that reached an endpoint, as observed by the endpoint.
struct DispatchRecord {
    RequestId id;
    uint64_t contentDigest = 0;
    EndpointId endpoint;
    /// The requested service; empty if the endpoint doesn't know it.
    ServiceId service;
    std::string idempotencyKey;
    TimePoint arrivedAt {};
    /// nullopt while it is running.
    std::optional<TimePoint> endedAt;
    /// False if the endpoint refused the request without executing any of it.
    bool executed = true;
    /// Whether the endpoint refused the request or broke off an answer to it.
    bool endpointFailed = false;
    uint32_t prefillComputed = 0;
    uint32_t prefillCached = 0;

    bool operator==(const DispatchRecord&) const = default;
};

/// An endpoint of the run and its speed when otherwise idle.
struct EndpointRecord {
    EndpointId id;
    std::vector<ServiceId> services;
    /// 0 for an application endpoint.
    double prefillTokensPerSecond = 0;
    Duration decodeStep {};
    /// The time that an application endpoint needs for one call.
    Duration callTime {};
    std::optional<TimePoint> leavingSince;

    bool operator==(const EndpointRecord&) const = default;
};

/// A planned stop of a daemon.
struct StopRecord {
    DaemonId daemon;
    TimePoint requestedAt {};
    std::optional<TimePoint> exitedAt;
    int exitCode = 0;

    bool operator==(const StopRecord&) const = default;
};

/// A fault that was injected into the run.
struct FaultRecord {
    enum class Kind : uint8_t {
        /// The daemon's process was killed.
        DaemonKilled,
        /// The daemon's process was suspended.
        DaemonPaused,
        /// The daemon was partitioned from peers.
        Partition,
        /// The table or object service refused calls, was slow or lost responses.
        PlatformFault,
        /// The endpoint stalled, broke connections, refused or was killed.
        EndpointFault,
    };

    Kind kind = Kind::DaemonKilled;
    /// The affected daemon, endpoint or service; empty if all of its kind were affected.
    std::string subject;
    TimePoint from {};
    /// nullopt if the fault lasted until the end of the run.
    std::optional<TimePoint> until;

    bool operator==(const FaultRecord&) const = default;
};

/// A configuration change that was reported to the operator as accepted.
struct AcceptedConfiguration {
    uint64_t version = 0;
    /// Identifies the document; 0 if unknown.
    uint64_t contentDigest = 0;
    TimePoint acceptedAt {};

    bool operator==(const AcceptedConfiguration&) const = default;
};

/// The configuration in force at a daemon, inferred from its behaviour, for example from the models it
/// offers.
struct ObservedConfiguration {
    DaemonId daemon;
    uint64_t version = 0;
    uint64_t contentDigest = 0;
    TimePoint at {};
    /// Whether the daemon accepts new work. A daemon that refuses all new work may lag behind.
    bool takesWork = true;

    bool operator==(const ObservedConfiguration&) const = default;
};

struct RunRecords {
    std::vector<CallerRecord> callers;
    std::vector<DispatchRecord> dispatches;
    std::vector<EndpointRecord> endpoints;
    std::vector<StopRecord> stops;
    std::vector<FaultRecord> faults;
    std::vector<AcceptedConfiguration> accepted;
    std::vector<ObservedConfiguration> observed;
};

} // namespace lentilbay
