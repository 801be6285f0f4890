// A small run in which all invariants hold. Tests modify it to violate one.
#pragma once

#include "lentilbay/Invariants/Checker.h"

#include <string>

namespace lentilbay {

constexpr TimePoint runStart { std::chrono::hours(1) };

inline TimePoint after(int milliseconds) { return runStart + std::chrono::milliseconds(milliseconds); }

inline EndpointRecord engineRecord(const std::string& name)
{
    return { .id = EndpointId(name),
        .services = { ServiceId("editor") },
        .prefillTokensPerSecond = 10'000,
        .decodeStep = std::chrono::milliseconds(10) };
}

/// An answered request with 1,000 prompt tokens and 10 answer tokens, which takes 190 ms on an idle pool.
inline CallerRecord answeredCaller(const std::string& id, int rank, int sentAt, int endedAt)
{
    return { .id = RequestId(id),
        .contentDigest = std::hash<std::string> {}(id) | 1,
        .daemon = DaemonId("d1"),
        .organisation = OrganisationId("press"),
        .tier = TierId(rank == 0 ? "gold" : "bulk"),
        .rank = rank,
        .service = ServiceId("editor"),
        .promptTokens = 1'000,
        .answerTokens = 10,
        .sentAt = after(sentAt),
        .endedAt = after(endedAt),
        .end = CallerEnd::Answered,
        .whole = true,
        .own = true };
}

inline CallerRecord refusedCaller(const std::string& id, int rank, int sentAt, int endedAt, ResultCode code)
{
    auto record = answeredCaller(id, rank, sentAt, endedAt);
    record.end = CallerEnd::Refused;
    record.code = code;
    record.ran = Executed::No;
    record.whole = record.own = false;
    return record;
}

inline DispatchRecord dispatchOf(
    const CallerRecord& caller, const std::string& endpoint, int arrivedAt, int endedAt)
{
    return { .id = caller.id,
        .contentDigest = caller.contentDigest,
        .endpoint = EndpointId(endpoint),
        .service = caller.service,
        .idempotencyKey = caller.idempotencyKey,
        .arrivedAt = after(arrivedAt),
        .endedAt = after(endedAt) };
}

inline CallerRecord reservation(const std::string& id, const std::string& key, int sentAt, int endedAt)
{
    auto record = answeredCaller(id, 0, sentAt, endedAt);
    record.service = ServiceId("lot-reservations");
    record.nonIdempotent = true;
    record.idempotencyKey = key;
    return record;
}

/// Two engines, an application endpoint, answered requests of two tiers, a reservation with an idempotency
/// key and two versions.
inline RunRecords cleanRun()
{
    RunRecords run;
    run.endpoints = { engineRecord("e1"), engineRecord("e2"),
        { .id = EndpointId("app"),
            .services = { ServiceId("lot-reservations") },
            .callTime = std::chrono::milliseconds(5) } };
    const auto gold = answeredCaller("gold-1", 0, 0, 300);
    const auto bulk = answeredCaller("bulk-1", 1, 10, 400);
    const auto lot = reservation("lot-1", "k1", 20, 40);
    run.callers = { gold, bulk, lot };
    run.dispatches
        = { dispatchOf(gold, "e1", 5, 295), dispatchOf(bulk, "e2", 15, 395), dispatchOf(lot, "app", 25, 35) };
    run.accepted = { { .version = 2, .contentDigest = 22, .acceptedAt = after(100) } };
    run.observed = { { .daemon = DaemonId("d1"), .version = 1, .contentDigest = 11, .at = after(50) },
        { .daemon = DaemonId("d1"), .version = 2, .contentDigest = 22, .at = after(200) } };
    return run;
}

inline size_t countViolations(const RunRecords& run, Invariant invariant, const CheckOptions& options = {})
{
    size_t found = 0;
    for (const auto& it : checkInvariants(run, options))
        found += it.invariant == invariant ? 1 : 0;
    return found;
}

} // namespace lentilbay
