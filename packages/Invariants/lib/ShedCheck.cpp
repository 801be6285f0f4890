// Which requests were shed, and whether lower-tier work of the same pool was still served then.
#include "Checks.h"

#include <algorithm>
#include <fmt/format.h>

namespace lentilbay {

namespace {

bool isCallersFaultOrLimit(ResultCode code)
{
    const auto number = static_cast<int>(code);
    return number >= 1000 && number < 3000;
}

/// The least time from arrival to the whole answer with nothing else at the endpoint.
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

bool allEndpointsAreAway(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller)
{
    return std::ranges::all_of(index.endpointsOf(caller.service), [&](const EndpointRecord* it) {
        return (it->leavingSince && *it->leavingSince <= caller.endedAt)
            || index.hadFault(FaultRecord::Kind::EndpointFault, it->id.text(), caller.sentAt, caller.endedAt,
                options.faultAftermath);
    });
}

bool itsEndpointFailed(const RunIndex& index, const CallerRecord& caller)
{
    return std::ranges::any_of(index.dispatchesOf(caller), [&](const DispatchRecord* it) {
        return it->endpointFailed
            || index.hadFault(
                FaultRecord::Kind::EndpointFault, it->endpoint.text(), it->arrivedAt, caller.endedAt, {});
    });
}

/// A fault that began after the dispatch; one that was there before it could have been avoided.
bool itsEndpointFailedLater(const RunIndex& index, const CallerRecord& caller)
{
    return std::ranges::any_of(index.dispatchesOf(caller), [&](const DispatchRecord* dispatch) {
        return std::ranges::any_of(index.records().faults, [&](const FaultRecord& it) {
            return it.kind == FaultRecord::Kind::EndpointFault && it.subject == dispatch->endpoint.text()
                && it.from >= dispatch->arrivedAt && it.from <= caller.endedAt;
        });
    });
}

bool isShownFault(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller)
{
    using Kind = FaultRecord::Kind;
    const auto had = [&](Kind kind, const std::string& subject) {
        return index.hadFault(kind, subject, caller.sentAt, caller.endedAt, options.faultAftermath);
    };
    switch (caller.code) {
    case ResultCode::DeadlinePassedWaiting:
        // A process that stood still would have let it pass on an idle pool as well.
        return index.hadFault(
            Kind::DaemonPaused, caller.daemon.text(), caller.sentAt, caller.endedAt, Duration {});
    case ResultCode::Draining:
        return daemonWasStopping(index, caller);
    case ResultCode::Fenced:
        return had(Kind::Partition, "") || had(Kind::PlatformFault, "")
            || had(Kind::DaemonPaused, caller.daemon.text());
    case ResultCode::OwnerUnreachable:
        return had(Kind::Partition, "") || had(Kind::DaemonKilled, "") || had(Kind::DaemonPaused, "");
    case ResultCode::ClaimUnavailable:
    case ResultCode::PlatformUnavailable:
    case ResultCode::PlatformAmbiguous:
        return had(Kind::PlatformFault, "");
    case ResultCode::ClaimHolderGone:
    case ResultCode::ClaimInProgress:
        return keyWasSentBefore(index, caller);
    case ResultCode::NoEndpoint:
    case ResultCode::EndpointUnreachable:
        return allEndpointsAreAway(index, options, caller);
    case ResultCode::DeadlinePassedRunning:
        return itsEndpointFailedLater(index, caller);
    case ResultCode::EndpointBroke:
    case ResultCode::EndpointAnswerInvalid:
    case ResultCode::EndpointTimeout:
    case ResultCode::EndpointRefused:
        return itsEndpointFailed(index, caller);
    default:
        return false;
    }
}

/// Lower-tier work that ran in the caller's pool all the time between the two instants.
const DispatchRecord* lowerTierWork(
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
    return deadlineIsShorterThanIdleTime(index, options, caller) || isShownFault(index, options, caller);
}

void checkShed(const RunIndex& index, const CheckOptions& options, Breaches& breaches)
{
    for (const auto& caller : index.records().callers) {
        if (caller.end != CallerEnd::Refused || isCallersFaultOrLimit(caller.code))
            continue;
        const auto* served
            = lowerTierWork(index, caller, caller.endedAt - options.answerDelay, caller.endedAt);
        if (!served || failsOnIdlePool(index, options, caller))
            continue;
        const auto* other = index.callerOf(*served);
        breaches.push_back({ .invariant = Invariant::HigherTierNotShedWhileLowerServed,
            .requests = { caller.id, served->id },
            .at = caller.endedAt,
            .detail = fmt::format("tier {} was refused with {} while tier {} was served at {}",
                caller.tier.text(), printed(caller.code), other->tier.text(), served->endpoint.text()) });
    }
}

} // namespace lentilbay
