// Checks of dispatches: at most one per request, none for requests reported as not executed, none to leaving
// endpoints.
#include "Checks.h"

#include <algorithm>
#include <fmt/format.h>
#include <map>
#include <tuple>

namespace lentilbay {

namespace {

using DispatchList = std::vector<const DispatchRecord*>;

TimePoint secondArrival(DispatchList& dispatches)
{
    std::ranges::sort(dispatches, {}, &DispatchRecord::arrivedAt);
    return dispatches[1]->arrivedAt;
}

std::vector<RequestId> idsOf(const DispatchList& dispatches)
{
    std::vector<RequestId> ids;
    for (const auto* it : dispatches)
        ids.push_back(it->id);
    return ids;
}

bool haveSameId(const DispatchList& dispatches)
{
    return std::ranges::all_of(
        dispatches, [&](const DispatchRecord* it) { return it->id == dispatches.front()->id; });
}

std::string endpointsOf(const DispatchList& dispatches)
{
    std::string text;
    for (const auto* it : dispatches)
        text += (text.empty() ? "" : ", ") + it->endpoint.text();
    return text;
}

} // namespace

void checkDispatchedAtMostOnce(const RunIndex& index, Violations& violations)
{
    std::map<std::string, DispatchList> byId;
    std::map<uint64_t, DispatchList> byContent;
    for (const auto& it : index.records().dispatches) {
        if (!it.id.empty())
            byId[it.id.text()].push_back(&it);
        if (it.contentDigest != 0)
            byContent[it.contentDigest].push_back(&it);
    }
    for (auto& [id, dispatches] : byId) {
        if (dispatches.size() > 1)
            violations.push_back({ .invariant = Invariant::DispatchedAtMostOnce,
                .requests = { RequestId(id) },
                .at = secondArrival(dispatches),
                .detail
                = fmt::format("dispatched {} times, to {}", dispatches.size(), endpointsOf(dispatches)) });
    }
    // Detects a repeated dispatch under another id: the content was dispatched more often than callers sent
    // it.
    for (auto& [content, dispatches] : byContent) {
        const auto callers = index.callersWithContent(content);
        if (callers == 0 || dispatches.size() <= callers || haveSameId(dispatches))
            continue;
        violations.push_back({ .invariant = Invariant::DispatchedAtMostOnce,
            .requests = idsOf(dispatches),
            .at = secondArrival(dispatches),
            .detail = fmt::format("the content of {} requests was dispatched {} times, to {}", callers,
                dispatches.size(), endpointsOf(dispatches)) });
    }
}

void checkNotRunIsTrue(const RunIndex& index, Violations& violations)
{
    for (const auto& caller : index.records().callers) {
        if (caller.end != CallerEnd::Refused || caller.ran != Executed::No)
            continue;
        for (const auto* it : index.dispatchesOf(caller)) {
            if (it->executed)
                violations.push_back({ .invariant = Invariant::NotRunIsTrue,
                    .requests = { caller.id },
                    .at = it->arrivedAt,
                    .detail = fmt::format("refused with {} and ran: no, but ran at {}", printed(caller.code),
                        it->endpoint.text()) });
        }
    }
}

void checkNonIdempotent(const RunIndex& index, Violations& violations)
{
    std::map<std::tuple<std::string, std::string, std::string>, DispatchList> executions;
    for (const auto& it : index.records().dispatches) {
        const auto* caller = index.callerOf(it);
        const bool nonIdempotent = caller ? caller->nonIdempotent : !it.idempotencyKey.empty();
        if (!nonIdempotent || !it.executed)
            continue;
        const auto service = caller ? caller->service.text() : it.service.text();
        const auto organisation = caller ? caller->organisation.text() : "";
        const auto& key = it.idempotencyKey.empty() && caller ? caller->idempotencyKey : it.idempotencyKey;
        const auto name = key.empty() ? "request " + it.id.text() : "key " + key;
        executions[{ service, organisation, name }].push_back(&it);
    }
    for (auto& [name, dispatches] : executions) {
        if (dispatches.size() > 1)
            violations.push_back({ .invariant = Invariant::NonIdempotentRunsAtMostOnce,
                .requests = idsOf(dispatches),
                .at = secondArrival(dispatches),
                .detail = fmt::format("{} of {} ran {} times, at {}", std::get<2>(name), std::get<0>(name),
                    dispatches.size(), endpointsOf(dispatches)) });
    }
}

void checkLeavingEndpoints(const RunIndex& index, const CheckOptions& options, Violations& violations)
{
    for (const auto& endpoint : index.records().endpoints) {
        if (!endpoint.leavingSince)
            continue;
        for (const auto& it : index.records().dispatches) {
            const auto after = it.arrivedAt - *endpoint.leavingSince;
            if (it.endpoint == endpoint.id && after > options.leavingGrace)
                violations.push_back({ .invariant = Invariant::LeavingEndpointGetsNoNewWork,
                    .requests = { it.id },
                    .at = it.arrivedAt,
                    .detail = fmt::format("{} got new work {:.3f} s after it began to leave",
                        endpoint.id.text(), toSeconds(after)) });
        }
    }
}

} // namespace lentilbay
