// What callers and stand-ins saw of a run, as plain values: the only evidence that the invariants are judged
// by.
//
// All instants of one run are of one clock. Nothing here comes from a daemon's logs, metrics or admin calls.
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
    /// Neither: the connection could not be opened, broke, or ended without an end mark.
    Lost,
    /// The caller closed its connection on purpose.
    Left,
};

/// One request as its caller saw it.
struct CallerRecord {
    /// From the answer's Lentilbay-Request-Id; empty where none arrived.
    RequestId id;
    /// Names the request's content, so that a dispatch is recognised without trust in ids; 0 where not known.
    /// Requests sent again with the same key share it, others don't.
    uint64_t contentDigest = 0;
    DaemonId daemon;
    OrganisationId organisation;
    TierId tier;
    /// 0 is served first.
    int rank = 0;
    ServiceId service;
    bool nonIdempotent = false;
    /// Empty where none was sent.
    std::string idempotencyKey;
    uint32_t promptTokens = 0;
    /// Of these, the leading ones that other requests share, so that an endpoint may have them cached.
    uint32_t sharedPrefixTokens = 0;
    /// The tokens of the whole answer.
    uint32_t answerTokens = 0;
    /// From arrival to the whole answer, as the caller asked or its tier promises.
    std::optional<Duration> deadline;

    TimePoint sentAt {};
    TimePoint endedAt {};
    CallerEnd end = CallerEnd::Lost;
    /// Only where refused.
    ResultCode code = ResultCode::Ok;
    /// Only where refused.
    Ran ran = Ran::Unknown;
    /// Only where answered: every token arrived, in order and once, and the end was marked.
    bool whole = false;
    /// Only where answered: the answer is that of this request's content.
    bool own = false;

    bool operator==(const CallerRecord&) const = default;
};

/// One request that reached an endpoint, as the endpoint saw it.
struct DispatchRecord {
    RequestId id;
    uint64_t contentDigest = 0;
    EndpointId endpoint;
    /// The service that the dispatch asked for; empty where the endpoint can't tell.
    ServiceId service;
    std::string idempotencyKey;
    TimePoint arrivedAt {};
    /// Nothing while it runs.
    std::optional<TimePoint> endedAt;
    /// False where the endpoint refused it and did nothing of it.
    bool executed = true;
    /// The endpoint itself broke an answer to it, or refused it.
    bool endpointFailed = false;
    uint32_t prefillComputed = 0;
    uint32_t prefillCached = 0;

    bool operator==(const DispatchRecord&) const = default;
};

/// An endpoint of the run, and its fixed speed when nothing else runs on it.
struct EndpointRecord {
    EndpointId id;
    std::vector<ServiceId> services;
    /// 0 for a plain service.
    double prefillTokensPerSecond = 0;
    Duration decodeStep {};
    /// What a plain service needs for one call.
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

/// A fault that the run brought about on purpose.
struct FaultRecord {
    enum class Kind : uint8_t {
        /// The daemon's process was killed.
        DaemonKilled,
        /// The daemon's process stood still.
        DaemonPaused,
        /// The daemon was cut off from peers.
        Partition,
        /// The table or object service refused, was slow or lost answers.
        PlatformFault,
        /// The endpoint stalled, broke connections, refused or was killed.
        EndpointFault,
    };

    Kind kind = Kind::DaemonKilled;
    /// The daemon, endpoint or service that it struck; empty where it struck all of its kind.
    std::string subject;
    TimePoint from {};
    /// Nothing where it lasted to the end of the run.
    std::optional<TimePoint> until;

    bool operator==(const FaultRecord&) const = default;
};

/// A change of the configuration that was reported to its operator as accepted.
struct AcceptedConfiguration {
    uint64_t version = 0;
    /// Names the document; 0 where not known.
    uint64_t contentDigest = 0;
    TimePoint acceptedAt {};

    bool operator==(const AcceptedConfiguration&) const = default;
};

/// The configuration by which a daemon was seen to act, for example from the models that it offers.
struct ObservedConfiguration {
    DaemonId daemon;
    uint64_t version = 0;
    uint64_t contentDigest = 0;
    TimePoint at {};
    /// Whether the daemon takes new work; one that refuses all of it may be behind.
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
