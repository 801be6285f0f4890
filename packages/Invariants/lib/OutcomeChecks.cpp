// Checks of what callers and operators observe: complete answers, graceful stops and configurations in force.
#include "Checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>

namespace lentilbay {

namespace {

bool daemonWasKilled(const RunIndex& index, const CallerRecord& caller)
{
    return index.hadFault(FaultRecord::Kind::DaemonKilled, caller.daemon.text(), caller.sentAt,
        caller.endedAt, Duration::max() / 2);
}

/// A daemon that was already stopping when the request was sent may have closed its listening socket.
bool couldNotConnect(const RunIndex& index, const CallerRecord& caller)
{
    const bool stopping = std::ranges::any_of(index.records().stops,
        [&](const StopRecord& it) { return it.daemon == caller.daemon && it.requestedAt <= caller.sentAt; });
    return stopping && index.dispatchesOf(caller).empty();
}

bool wasInFlight(const RunIndex& index, const CallerRecord& caller, TimePoint at)
{
    return std::ranges::any_of(index.dispatchesOf(caller),
        [&](const DispatchRecord* it) { return it->arrivedAt <= at && (!it->endedAt || *it->endedAt > at); });
}

/// Whether the running request may have ended for a reason other than the stop.
bool endsWithoutStop(const RunIndex& index, const CheckOptions& options, const CallerRecord& caller)
{
    if (caller.code == ResultCode::DeadlinePassedRunning || caller.code == ResultCode::Preempted)
        return true;
    return caller.code != ResultCode::Draining && failsOnIdlePool(index, options, caller);
}

bool wasCutOff(
    const RunIndex& index, const CheckOptions& options, const CallerRecord& caller, const StopRecord& stop)
{
    if (caller.daemon != stop.daemon || caller.sentAt > stop.requestedAt || caller.endedAt < stop.requestedAt)
        return false;
    if (caller.end == CallerEnd::Lost)
        return !daemonWasKilled(index, caller);
    return caller.end == CallerEnd::Refused && wasInFlight(index, caller, stop.requestedAt)
        && !endsWithoutStop(index, options, caller);
}

void checkReverts(const std::vector<ObservedConfiguration>& observed, Violations& violations)
{
    std::map<DaemonId, uint64_t> newest;
    for (const auto& it : observed) {
        if (!it.takesWork)
            continue;
        auto& version = newest[it.daemon];
        if (it.version < version)
            violations.push_back({ .invariant = Invariant::AcceptedConfigurationInForce,
                .at = it.at,
                .detail = fmt::format(
                    "{} applied version {} after version {}", it.daemon.text(), it.version, version) });
        version = std::max(version, it.version);
    }
}

} // namespace

void checkWholeAnswers(const RunIndex& index, Violations& violations)
{
    for (const auto& it : index.records().callers) {
        std::string detail;
        if (it.end == CallerEnd::Answered && !it.own)
            detail = "got an answer that does not belong to the request";
        else if (it.end == CallerEnd::Answered && !it.whole)
            detail = "got an incomplete answer that was marked as complete";
        else if (it.end == CallerEnd::Lost && !daemonWasKilled(index, it) && !couldNotConnect(index, it))
            detail = "got neither an answer nor a refusal, though its daemon was not killed";
        if (!detail.empty())
            violations.push_back({ .invariant = Invariant::WholeAnswerToItsCaller,
                .requests = { it.id },
                .at = it.endedAt,
                .detail = detail });
    }
}

void checkPlannedStops(const RunIndex& index, const CheckOptions& options, Violations& violations)
{
    for (const auto& stop : index.records().stops) {
        if (stop.exitedAt && stop.exitCode != 0)
            violations.push_back({ .invariant = Invariant::PlannedStopCutsNothingOff,
                .at = *stop.exitedAt,
                .detail = fmt::format("{} stopped with exit code {}", stop.daemon.text(), stop.exitCode) });
        for (const auto& it : index.records().callers) {
            if (wasCutOff(index, options, it, stop))
                violations.push_back({ .invariant = Invariant::PlannedStopCutsNothingOff,
                    .requests = { it.id },
                    .at = it.endedAt,
                    .detail = fmt::format("was cut off by the planned stop of {}", stop.daemon.text()) });
        }
    }
}

void checkConfigurations(const RunIndex& index, const CheckOptions& options, Violations& violations)
{
    auto observed = index.records().observed;
    std::ranges::stable_sort(observed, {}, &ObservedConfiguration::at);
    checkReverts(observed, violations);
    for (const auto& accepted : index.records().accepted) {
        for (const auto& it : observed) {
            if (!it.takesWork)
                continue;
            const bool isStale
                = it.version < accepted.version && it.at >= accepted.acceptedAt + options.configurationGrace;
            const bool isDifferent = it.version == accepted.version && it.contentDigest != 0
                && accepted.contentDigest != 0 && it.contentDigest != accepted.contentDigest;
            if (isStale || isDifferent)
                violations.push_back({ .invariant = Invariant::AcceptedConfigurationInForce,
                    .at = it.at,
                    .detail
                    = fmt::format("{} applied {} version {} after version {} was accepted", it.daemon.text(),
                        isDifferent ? "another" : "the older", it.version, accepted.version) });
        }
    }
}

} // namespace lentilbay
