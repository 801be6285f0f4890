// Applies the decisions of the claim controller to the gateway and exports its counters.
#include "Claims.h"

#include "Daemon.h"
#include "lentilbay/Gateway/Metrics.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/Support/SectionReader.h"
#include "lentilbay/Support/SteadyClock.h"
#include "lentilbay/Support/Units.h"

#include <fmt/format.h>
#include <utility>
#include <variant>

namespace lentilbay {
namespace {

/// Larger responses are not forwarded to other daemons: only the daemon that holds one can return it.
constexpr size_t maxForwardedBytes = size_t { 512 } << 10U;

ClaimReport makeClaimReport(const CallerAnswer& answer)
{
    ClaimReport report { .state = ClaimState::Finished, .code = static_cast<uint16_t>(ResultCode::Ok) };
    if (answer.body->size() > maxForwardedBytes) {
        report.code = static_cast<uint16_t>(ResultCode::ClaimAnswerTooLarge);
        report.ran = static_cast<uint8_t>(Executed::Partly);
        return report;
    }
    report.httpStatus = static_cast<uint16_t>(answer.status);
    report.body = *answer.body;
    for (const auto& [name, value] : answer.fields) {
        if (name == "Content-Type")
            report.contentType = value;
    }
    return report;
}

} // namespace

Claims::Claims(Daemon& daemon, ClaimOptions options)
    : m_daemon(daemon)
    , m_controller(daemon.blackboard(), *this, std::move(options))
{
    daemon.plane().attachClaims(m_controller);
    daemon.setClaimHandler([this](const RequestIdentity& request) {
        m_controller.begin({ .id = request.id,
                               .organisation = request.organisation,
                               .key = request.idempotencyKey,
                               .bodyHash = request.bodyHash },
            steadyNow());
        m_daemon.wake();
    });
    daemon.onRequestFinished([this](const RequestOutcome& outcome) {
        m_controller.finished(outcome.id, outcome.code, outcome.ran, steadyNow());
    });
    daemon.addMetrics([this](std::string& out) { appendMetrics(out); });
}

std::optional<ClaimReport> Claims::finishedReport(const RequestId& id) const
{
    const auto& exchanges = m_daemon.gateway().exchanges();
    if (const auto open = exchanges.find(id); open != exchanges.end())
        return open->second->answer ? makeClaimReport(*open->second->answer)
                                    : ClaimReport { .state = ClaimState::Running };
    const auto* finished = m_daemon.gateway().finishedRequest(id);
    if (finished == nullptr || !finished->answer)
        return std::nullopt;
    return makeClaimReport(*finished->answer);
}

void Claims::step(TimePoint now)
{
    m_controller.step(now, wallNow());
    for (const auto& decision : m_controller.takeDecisions())
        std::visit([&](const auto& it) { apply(it, now); }, decision);
}

void Claims::apply(const ClaimHeld& decision, TimePoint now)
{
    m_daemon.entry().claimed(decision.id, ClaimResult::Held, now);
}

void Claims::apply(const ClaimFollows& decision, TimePoint)
{
    m_daemon.gateway().reuseEarlierAnswer(decision.id, decision.earlier);
}

void Claims::apply(const ClaimHeldElsewhere& decision, TimePoint now)
{
    m_daemon.entry().claimed(decision.id, ClaimResult::HeldElsewhere, now);
}

void Claims::apply(const ClaimAnswered& decision, TimePoint)
{
    const auto& report = decision.report;
    m_daemon.gateway().deliverRemoteAnswer(decision.id,
        { .status = report.httpStatus,
            .fields = { { "Content-Type", report.contentType },
                { "Lentilbay-Request-Id", report.claim.request.text() } },
            .body = std::make_shared<std::string>(report.body) });
}

void Claims::apply(const ClaimRefused& decision, TimePoint)
{
    m_daemon.gateway().refuse(
        decision.id, { .failure = { .code = decision.code, .detail = "" }, .ran = decision.ran });
}

void Claims::appendMetrics(std::string& out) const
{
    const auto& counters = m_controller.counters();
    const auto append = [&](std::string_view name, std::string_view help, uint64_t value) {
        appendMetricHeader(out, name, "counter", help);
        appendSample(out, name, "", static_cast<double>(value));
    };
    append("lentilbay_claims_held_total", "Keyed requests whose claim this daemon holds.", counters.held);
    append("lentilbay_claims_elsewhere_total", "Keyed requests whose claim was held by an earlier request.",
        counters.heldElsewhere);
    append("lentilbay_claim_rows_written_total", "Rows in writes of claims.", counters.rowsWritten);
    append("lentilbay_claim_transactions_total", "Writes of claims.", counters.transactions);
    append("lentilbay_claim_conflicts_total", "Writes of claims that met a row.", counters.conflicts);
    append("lentilbay_claim_ambiguous_total", "Calls for claims whose answer was lost.", counters.ambiguous);
    append("lentilbay_claim_rows_removed_total", "Rows asked to be removed.", counters.rowsRemoved);
}

ClaimOptions readClaimOptions(const IniDocument& document, Diagnostics& diagnostics)
{
    ClaimOptions out;
    SectionReader reader(document, "claims", diagnostics);
    out.writesPerSecond = reader.number("writes_per_second", out.writesPerSecond, { 0.1, 10'000 });
    out.retention
        = reader.duration("retention", out.retention, { std::chrono::hours(1), std::chrono::hours(24 * 90) });
    reader.reportUnknownKeys();
    return out;
}

std::string printClaimOptions(const ClaimOptions& options)
{
    return fmt::format("\n[claims]\nwrites_per_second = {}\nretention = {}\n", options.writesPerSecond,
        printDuration(options.retention));
}

} // namespace lentilbay
