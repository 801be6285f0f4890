// Counts outcomes by tier and prints the summary.
#include "lentilbay/Invariants/Summary.h"

#include "RunIndex.h"

#include <fmt/format.h>
#include <set>

namespace lentilbay {

namespace {

bool isGood(const CallerRecord& record)
{
    const bool inTime = !record.deadline || record.endedAt - record.sentAt <= *record.deadline;
    return record.end == CallerEnd::Answered && record.whole && record.own && inTime;
}

void countOutcome(const CallerRecord& record, TierSummary& tier)
{
    tier.tier = record.tier;
    ++tier.sent;
    if (isGood(record))
        ++tier.good;
    else if (record.end == CallerEnd::Answered)
        ++tier.late;
    else if (record.end == CallerEnd::Refused)
        ++tier.refusals[record.code];
    else
        ++(record.end == CallerEnd::Lost ? tier.lost : tier.left);
}

std::string printedRefusals(const TierSummary& tier)
{
    std::string text;
    for (const auto& [code, n] : tier.refusals)
        text += fmt::format("{}{} {}", text.empty() ? "" : ", ", n, printed(code));
    return text.empty() ? "-" : text;
}

} // namespace

RunSummary summarise(const RunRecords& records)
{
    RunSummary summary;
    const RunIndex index(records);
    std::set<const CallerRecord*> served;
    for (const auto& it : records.callers)
        countOutcome(it, summary.tiers[it.rank]);
    for (const auto& it : records.dispatches) {
        summary.prefill += it.prefillComputed;
        const auto* caller = index.callerOf(it);
        if (!caller || !isGood(*caller) || !served.insert(caller).second)
            summary.wastedPrefill += it.prefillComputed;
    }
    return summary;
}

std::string printed(const RunSummary& summary)
{
    auto text = fmt::format("{:<12} {:>6} {:>6} {:>8} {:>6} {:>6} {:>6}  {}\n", "tier", "sent", "good",
        "goodput", "late", "lost", "left", "refusals by code");
    for (const auto& [rank, tier] : summary.tiers) {
        const auto goodput = 100.0 * static_cast<double>(tier.good) / static_cast<double>(tier.sent);
        text += fmt::format("{:<12} {:>6} {:>6} {:>7.1f}% {:>6} {:>6} {:>6}  {}\n", tier.tier.text(),
            tier.sent, tier.good, goodput, tier.late, tier.lost, tier.left, printedRefusals(tier));
    }
    text += fmt::format("wasted prefill: {} of {} prompt tokens ({:.2f}%)\n", summary.wastedPrefill,
        summary.prefill, 100 * summary.wastedShare());
    return text;
}

} // namespace lentilbay
