// Measures the quantities that expectations name and compares them with their bounds.
#include "Evaluation.h"

#include "lentilbay/Invariants/Summary.h"

#include <algorithm>
#include <fmt/format.h>
#include <stdexcept>

namespace lentilbay::scenario {

namespace {

double goodputOf(const RunRecords& records, const std::string& tier)
{
    for (const auto& [rank, it] : summarise(records).tiers) {
        if (it.tier.text() == tier)
            return static_cast<double>(it.good) / static_cast<double>(it.sent);
    }
    throw std::runtime_error("no request of tier " + tier + " was sent");
}

bool matchesOutcome(const CallerRecord& record, const std::string& outcome)
{
    switch (record.end) {
    case CallerEnd::Answered:
        return outcome == "answered";
    case CallerEnd::Refused:
        return outcome == "refused" || outcome == printed(record.code);
    case CallerEnd::Lost:
        return outcome == "lost";
    case CallerEnd::Left:
        return outcome == "left";
    }
    return false;
}

double countOutcomes(const RunRecords& records, const Expectation& expectation)
{
    return static_cast<double>(std::ranges::count_if(records.callers, [&](const CallerRecord& it) {
        return matchesOutcome(it, expectation.subject)
            && (expectation.service.empty() || it.service.text() == expectation.service);
    }));
}

double countDispatches(const RunRecords& records, const std::string& endpoint)
{
    return static_cast<double>(std::ranges::count_if(
        records.dispatches, [&](const DispatchRecord& it) { return it.endpoint.text() == endpoint; }));
}

Duration medianResponseTime(const RunRecords& records, const std::string& service)
{
    std::vector<Duration> times;
    for (const auto& it : records.callers) {
        if (it.service.text() == service && it.end == CallerEnd::Answered)
            times.push_back(it.endedAt - it.sentAt);
    }
    if (times.empty())
        throw std::runtime_error("no request of " + service + " was answered");
    std::ranges::sort(times);
    return times[times.size() / 2];
}

double measure(const RunRecords& records, const Expectation& expectation)
{
    switch (expectation.kind) {
    case Expectation::Kind::Goodput:
        return goodputOf(records, expectation.subject);
    case Expectation::Kind::Outcome:
        return countOutcomes(records, expectation);
    case Expectation::Kind::WastedPrefill:
        return summarise(records).wastedShare();
    case Expectation::Kind::Dispatches:
        return countDispatches(records, expectation.subject);
    case Expectation::Kind::Sooner:
        return toSeconds(medianResponseTime(records, expectation.subject));
    case Expectation::Kind::Accepted:
        return static_cast<double>(records.accepted.size());
    }
    return 0;
}

bool isMet(const RunRecords& records, const Expectation& expectation, double value)
{
    if (expectation.kind == Expectation::Kind::Sooner)
        return value < toSeconds(medianResponseTime(records, expectation.service));
    return (!expectation.least || value >= *expectation.least)
        && (!expectation.most || value <= *expectation.most);
}

std::string nameOf(const Expectation& expectation)
{
    if (expectation.kind == Expectation::Kind::WastedPrefill)
        return "wasted_prefill";
    return expectation.kind == Expectation::Kind::Accepted ? "accepted" : expectation.subject;
}

std::string printedBounds(const Expectation& expectation)
{
    if (expectation.kind == Expectation::Kind::Sooner)
        return "sooner than " + expectation.service;
    std::string text;
    if (expectation.least)
        text += fmt::format("at least {}", *expectation.least);
    if (expectation.most)
        text += fmt::format("{}at most {}", text.empty() ? "" : " and ", *expectation.most);
    return text;
}

} // namespace

std::vector<std::string> evaluate(const Scenario& scenario, const RunRecords& records)
{
    std::vector<std::string> failures;
    for (const auto& it : scenario.expectations) {
        try {
            const auto value = measure(records, it);
            if (!isMet(records, it, value))
                failures.push_back(fmt::format("{}:{}: {}: {:.4g}, expected {}", scenario.name, it.line,
                    nameOf(it), value, printedBounds(it)));
        } catch (const std::runtime_error& error) {
            failures.push_back(fmt::format("{}:{}: {}", scenario.name, it.line, error.what()));
        }
    }
    const auto origin = records.callers.empty() ? TimePoint {} : records.callers.front().sentAt;
    for (const auto& it : checkInvariants(records, scenario.options))
        failures.push_back(printed(it, origin));
    return failures;
}

} // namespace lentilbay::scenario
