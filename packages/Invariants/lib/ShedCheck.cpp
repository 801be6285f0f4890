// Finds shed requests, and lower-tier work that the same pool was serving at that time.
#include "Checks.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay {

namespace {

bool isClientErrorOrLimit(ResultCode code)
{
    const auto number = static_cast<int>(code);
    return number >= 1000 && number < 3000;
}

/// The minimum time from arrival to the complete answer at an otherwise idle endpoint.
Duration idleTimeAt(const EndpointRecord& endpoint, const CallerRecord& caller)
{
    if (endpoint.prefillTokensPerSecond <= 0)
        return endpoint.callTime;
    const auto cached = std::min(caller.sharedPrefixTokens, caller.promptTokens);
    const auto prefill = fromSeconds((caller.promptTokens - cached) / endpoint.prefillTokensPerSecond);
    return prefill + endpoint.decodeStep * (std::max<uint32_t>(1, caller.answerTokens) - 1);
}

bool deadlineIsShorterThanIdleTime(
    const RunIndex& index, const CheckOptions& options, const CallerRecord& caller)
{
    const auto endpoints = index.endpointsOf(caller.service);
    if (!caller.deadline || endpoints.empty())
        return false;
    return std::ranges::all_of(endpoints, [&](const EndpointRecord* it) {
        return idleTimeAt(*it, caller) + options.idleOverhead > *caller.deadline;
    });
}

bool daemonWasStopping(const RunIndex& index, const CallerRecord& caller)
{
    return std::ranges::any_of(index.records().stops,
        [&](const StopRecord& it) { return it.daemon == caller.daemon && it.requestedAt <= caller.endedAt; });
}

bool keyWasSentBefore(const RunIndex& index, const CallerRecord& caller)
{
    return std::ranges::any_of(index.records().callers, [&](const CallerRecord& it) {
        return &it != &caller && !caller.idempotencyKey.empty() && it.service == caller.service
            && it.organisation == caller.organisation && it.idempotencyKey == caller.idempotencyKey
            && it.sentAt <= caller.endedAt;
    });
}

bool allEndpointsUnavailable(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller)
{
    return std::ranges::all_of(index.endpointsOf(caller.service), [&](const EndpointRecord* it) {
        return (it->leavingSince && *it->leavingSince <= caller.endedAt)
            || index.hadFault(FaultRecord::Kind::EndpointFault, it->id.text(), caller.sentAt, caller.endedAt,
                options.faultGracePeriod);
    });
}

bool dispatchEndpointFailed(const RunIndex& index, const CallerRecord& caller)
{
    return std::ranges::any_of(index.dispatchesOf(caller), [&](const DispatchRecord* it) {
        return it->endpointFailed
            || index.hadFault(
                FaultRecord::Kind::EndpointFault, it->endpoint.text(), it->arrivedAt, caller.endedAt, {});
    });
}

/// Whether a fault began after the dispatch. A daemon could have avoided an endpoint that was already faulty.
bool endpointFailedAfterDispatch(const RunIndex& index, const CallerRecord& caller)
{
    return std::ranges::any_of(index.dispatchesOf(caller), [&](const DispatchRecord* dispatch) {
        return std::ranges::any_of(index.records().faults, [&](const FaultRecord& it) {
            return it.kind == FaultRecord::Kind::EndpointFault && it.subject == dispatch->endpoint.text()
                && it.from >= dispatch->arrivedAt && it.from <= caller.endedAt;
        });
    });
}

bool isExplainedByFault(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller)
{
    using Kind = FaultRecord::Kind;
    const auto sawFault = [&](Kind kind, const std::string& subject) {
        return index.hadFault(kind, subject, caller.sentAt, caller.endedAt, options.faultGracePeriod);
    };
    switch (caller.code) {
    case ResultCode::DeadlinePassedWaiting:
        // A suspended process would have missed the deadline on an idle pool too.
        return index.hadFault(
            Kind::DaemonPaused, caller.daemon.text(), caller.sentAt, caller.endedAt, Duration {});
    case ResultCode::Draining:
        return daemonWasStopping(index, caller);
    case ResultCode::Fenced:
        return sawFault(Kind::Partition, "") || sawFault(Kind::PlatformFault, "")
            || sawFault(Kind::DaemonPaused, caller.daemon.text());
    case ResultCode::OwnerUnreachable:
        return sawFault(Kind::Partition, "") || sawFault(Kind::DaemonKilled, "")
            || sawFault(Kind::DaemonPaused, "");
    case ResultCode::ClaimUnavailable:
    case ResultCode::PlatformUnavailable:
    case ResultCode::PlatformAmbiguous:
        return sawFault(Kind::PlatformFault, "");
    case ResultCode::ClaimHolderGone:
    case ResultCode::ClaimInProgress:
        return keyWasSentBefore(index, caller);
    case ResultCode::NoEndpoint:
    case ResultCode::EndpointUnreachable:
        return allEndpointsUnavailable(index, options, caller);
    case ResultCode::DeadlinePassedRunning:
        return endpointFailedAfterDispatch(index, caller);
    case ResultCode::EndpointBroke:
    case ResultCode::EndpointAnswerInvalid:
    case ResultCode::EndpointTimeout:
    case ResultCode::EndpointRefused:
        return dispatchEndpointFailed(index, caller);
    default:
        return false;
    }
}

/// Returns lower-tier work that ran in the caller's pool throughout the interval, or nullptr.
const DispatchRecord* findLowerTierDispatch(
    const RunIndex& index, const CallerRecord& caller, TimePoint from, TimePoint until)
{
    const auto pool = index.endpointsOf(caller.service);
    for (const auto& it : index.records().dispatches) {
        if (!it.executed || it.arrivedAt > from || (it.endedAt && *it.endedAt <= until))
            continue;
        const bool inPool = std::ranges::any_of(
            pool, [&](const EndpointRecord* endpoint) { return endpoint->id == it.endpoint; });
        const auto* other = index.callerOf(it);
        if (inPool && other && other->rank > caller.rank)
            return &it;
    }
    return nullptr;
}

} // namespace

bool failsOnIdlePool(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller)
{
    return deadlineIsShorterThanIdleTime(index, options, caller)
        || isExplainedByFault(index, options, caller);
}

void checkShed(const RunIndex& index, const CheckOptions& options, Violations& violations)
{
    for (const auto& caller : index.records().callers) {
        if (caller.end != CallerEnd::Refused || isClientErrorOrLimit(caller.code))
            continue;
        const auto* served
            = findLowerTierDispatch(index, caller, caller.endedAt - options.answerDelay, caller.endedAt);
        if (!served || failsOnIdlePool(index, options, caller))
            continue;
        const auto* other = index.callerOf(*served);
        violations.push_back({ .invariant = Invariant::HigherTierNotShedWhileLowerServed,
            .requests = { caller.id, served->id },
            .at = caller.endedAt,
            .detail = fmt::format("tier {} was refused with {} while tier {} was served at {}",
                caller.tier.text(), printed(caller.code), other->tier.text(), served->endpoint.text()) });
    }
}

} // namespace lentilbay
