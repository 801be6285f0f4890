// Judging a rollout, and its rows in the store.
#include "lentilbay/Edge/RolloutCoordinator.h"

#include "EdgeTimes.h"
#include "lentilbay/Support/Log.h"
#include "lentilbay/platform/Documents.h"

#include <algorithm>

namespace lentilbay::edge {
namespace {

/// The daemons' own table with the states of the orders.
constexpr std::string_view stateTable = "rollouts";
constexpr Duration retryDelay = std::chrono::milliseconds(300);
/// Reports arrive four times a second.
constexpr Duration decisionSpacing = std::chrono::milliseconds(100);
/// The state is also written when so many more bad responses are known, a quarter of the number at which a
/// version is reverted in any case, so that a restart of all daemons forgets few of them.
constexpr uint64_t badResponsesPerWrite = 10;
/// Within this time all daemons have seen and reported an order.
constexpr Duration maxBeginDelay = std::chrono::seconds(3);
constexpr Duration minBeginChange = std::chrono::milliseconds(100);
constexpr int httpOk = 200;

/// Phases only rise within an order.
int rankOf(RolloutPhase phase)
{
    return phase == RolloutPhase::Canary ? 0 : phase == RolloutPhase::Switching ? 1 : 2;
}

bool isFinal(RolloutPhase phase) { return rankOf(phase) == 2; }

const char* nameOf(RolloutPhase phase)
{
    switch (phase) {
    case RolloutPhase::Canary:
        return "canary";
    case RolloutPhase::Switching:
        return "switching";
    case RolloutPhase::Complete:
        return "complete";
    case RolloutPhase::Reverted:
        break;
    }
    return "reverted";
}

platform::RolloutStatus statusOf(RolloutPhase phase)
{
    if (!isFinal(phase))
        return platform::RolloutStatus::Running;
    return phase == RolloutPhase::Complete ? platform::RolloutStatus::Complete
                                           : platform::RolloutStatus::Reverted;
}

std::optional<platform::StoreRows> rowsIn(const StoreReply& reply)
{
    const auto decoded
        = outcomeOf<platform::StoreRows>([&] { return platform::decodeRows(reply.body, reply.era); });
    const auto* rows = std::get_if<platform::StoreRows>(&decoded);
    return rows ? std::optional(*rows) : std::nullopt;
}

const platform::StoreRow* findRow(
    const platform::StoreRows& rows, std::string_view table, const std::string& key)
{
    const auto it = std::ranges::find_if(
        rows.rows, [&](const auto& row) { return row.table == table && row.key == key; });
    return it == rows.rows.end() ? nullptr : &*it;
}

std::optional<RolloutRow> decodedRow(const platform::StoreRow& row)
{
    if (row.isDeleted)
        return std::nullopt;
    const auto decoded = outcomeOf<RolloutRow>([&] { return decodeRolloutRow(row.value); });
    const auto* out = std::get_if<RolloutRow>(&decoded);
    return out ? std::optional(*out) : std::nullopt;
}

/// The row does not name the service, because its key does.
bool isOfOrder(RolloutRow row, const RolloutOrder& order)
{
    row.order.service = order.service;
    return continuesOrder(row.order, order);
}

} // namespace

bool continuesOrder(const RolloutOrder& first, const RolloutOrder& second)
{
    return first.service == second.service && first.version == second.version
        && first.duration == second.duration && (first.id == second.id || first.id.era != second.id.era);
}

std::string readRolloutRowRequest(const std::string& storeHost, const ServiceId& service)
{
    return platform::readRowRequest(storeHost, stateTable, platform::rolloutKey(service));
}

std::optional<RolloutRow> rolloutRowIn(const StoreReply& reply, const RolloutOrder& order)
{
    const auto rows = reply.status == httpOk ? rowsIn(reply) : std::nullopt;
    const auto* row = rows ? findRow(*rows, stateTable, platform::rolloutKey(order.service)) : nullptr;
    const auto out = row ? decodedRow(*row) : std::nullopt;
    return out && isOfOrder(*out, order) ? out : std::nullopt;
}

RolloutCoordinator::RolloutCoordinator(RolloutOrder order, Options options, TimePoint begunAt)
    : m_order(std::move(order))
    , m_options(std::move(options))
    , m_begunAt(begunAt)
    , m_judge(m_order, m_options.limits, begunAt)
{
    resetJudge();
}

void RolloutCoordinator::resetJudge(const std::optional<RolloutState>& restored)
{
    m_judge = RolloutJudge(m_order, m_options.limits, m_begunAt, restored);
    if (!m_options.reports)
        return;
    for (const auto& it : m_options.reports->all())
        m_judge.applyEarlier(it.report, it.receivedAt);
}

std::string RolloutCoordinator::key() const { return platform::rolloutKey(m_order.service); }

void RolloutCoordinator::apply(const RolloutReport& report, TimePoint now) { m_judge.apply(report, now); }

std::optional<RolloutPermit> RolloutCoordinator::permit(TimePoint now) const
{
    if (!m_hasBegun)
        return std::nullopt;
    auto out = m_judge.permit(now);
    if (m_isWithdrawn && !m_judge.isCommitted())
        out.phase = RolloutPhase::Reverted;
    return out;
}

std::optional<RolloutPhase> RolloutCoordinator::committed() const
{
    return m_written && isFinal(*m_written) ? m_written : std::nullopt;
}

void RolloutCoordinator::setTargetEndpoints(size_t n) { m_judge.setTargetEndpoints(n); }

void RolloutCoordinator::addFormerVersions(const std::vector<uint64_t>& versions)
{
    for (const auto it : versions) {
        if (std::ranges::find(m_formerVersions, it) == m_formerVersions.end())
            m_formerVersions.push_back(it);
    }
}

void RolloutCoordinator::setBegun(TimePoint begunAt, TimePoint now)
{
    if (m_isRestored || now - m_begunAt > maxBeginDelay || begunAt < m_begunAt + minBeginChange)
        return;
    m_begunAt = begunAt;
    // What was reported so far is part of the next reports.
    resetJudge();
}

void RolloutCoordinator::readAgain()
{
    m_step = Step::ReadState;
    m_written.reset();
}

void RolloutCoordinator::update(TimePoint now)
{
    if (!m_hasBegun || now < m_nextDecisionAt)
        return;
    m_nextDecisionAt = now + decisionSpacing;
    auto out = m_judge.decide(now);
    if (m_isWithdrawn && !m_judge.isCommitted())
        out = { .phase = RolloutPhase::Reverted, .reason = out.reason };
    if (std::exchange(m_decision, out) == out)
        return;
    const auto state = m_judge.state(now);
    logEvent(Event::RolloutDecided,
        { { "service", m_order.service.text() }, { "to", m_order.version }, { "phase", nameOf(out.phase) },
            { "reason", m_isWithdrawn ? "withdrawn" : lentilbay::nameOf(out.reason) },
            { "elapsed_ms", millisecondsOf(now - m_begunAt) },
            { "requests", static_cast<int64_t>(state.requests) },
            { "sent", static_cast<int64_t>(state.sentToTarget) },
            { "responses", static_cast<int64_t>(state.responses) },
            { "bad", static_cast<int64_t>(state.badResponses) },
            { "slow", static_cast<int64_t>(state.slowResponses) },
            { "former_responses", static_cast<int64_t>(state.formerResponses) },
            { "former_bad", static_cast<int64_t>(state.formerBadResponses) },
            { "former_slow", static_cast<int64_t>(state.formerSlowResponses) } });
}

bool RolloutCoordinator::mustWrite(RolloutPhase phase, TimePoint now) const
{
    if (!m_written || rankOf(phase) > rankOf(*m_written) || m_isStatusWrong)
        return true;
    return !isFinal(*m_written) && m_judge.state(now).badResponses >= m_writtenBad + badResponsesPerWrite;
}

std::optional<std::string> RolloutCoordinator::nextCall(TimePoint now)
{
    if (m_call != Call::None || now < m_nextCallAt)
        return std::nullopt;
    switch (m_step) {
    case Step::ReadState:
        m_call = Call::ReadState;
        return readRolloutRowRequest(m_options.storeHost, m_order.service);
    case Step::ReadStatus:
        m_call = Call::ReadStatus;
        return platform::readRowRequest(m_options.storeHost, platform::rolloutStatusTable, key());
    case Step::Idle:
        break;
    }
    if (!m_hasBegun && (!m_isValid || m_isWithdrawn))
        return std::nullopt;
    // What an earlier coordinator decided is not preceded by another phase.
    const auto inForce = m_judge.state(now).phase;
    auto phase = isFinal(inForce) ? inForce : m_decision.phase;
    if (m_written && rankOf(*m_written) > rankOf(phase))
        phase = *m_written;
    if (!mustWrite(phase, now))
        return std::nullopt;
    m_call = Call::Write;
    ++m_transactions;
    return writeRequest(phase, now);
}

std::string RolloutCoordinator::writeRequest(RolloutPhase phase, TimePoint now)
{
    RolloutRow row { .order = m_order,
        .state = m_judge.state(now),
        .begunMilliseconds = storeClock(m_begunAt),
        .formerVersions = m_formerVersions };
    row.state.phase = phase;
    m_writing = phase;
    m_writingBad = row.state.badResponses;
    const auto status
        = platform::encodeRolloutStatus({ .status = statusOf(phase), .version = m_order.version });
    return platform::conditionalWriteRequest(m_options.storeHost,
        { { .table = platform::rolloutStatusTable,
              .key = key(),
              .value = status,
              .expectedVersion = m_statusVersion },
            { .table = std::string(stateTable),
                .key = key(),
                .value = encodeRolloutRow(row),
                .expectedVersion = m_stateVersion } });
}

uint64_t RolloutCoordinator::storeClock(TimePoint now) const
{
    if (!m_clock)
        return 0;
    return static_cast<uint64_t>(std::max<int64_t>(0, millisecondsOf(*m_clock + (now - m_clockAt))));
}

void RolloutCoordinator::recordClock(const platform::StoreRows& rows, TimePoint sentAt)
{
    // The clock was read after the call was sent: the order seems to have begun earlier rather than later.
    if (rows.storeTime) {
        m_clock = rows.storeTime;
        m_clockAt = sentAt;
    }
}

void RolloutCoordinator::handleReply(const StoreReply& reply, TimePoint sentAt, TimePoint now)
{
    if (m_call == Call::Write)
        handleWrite(reply, sentAt, now);
    else
        handleRead(reply, sentAt, now);
    m_call = Call::None;
}

void RolloutCoordinator::handleRead(const StoreReply& reply, TimePoint sentAt, TimePoint now)
{
    const auto rows = reply.status == httpOk ? rowsIn(reply) : std::nullopt;
    if (!rows) {
        m_nextCallAt = now + retryDelay;
        return;
    }
    recordClock(*rows, sentAt);
    if (m_call == Call::ReadState) {
        adoptState(findRow(*rows, stateTable, key()), now);
        m_step = Step::ReadStatus;
    } else {
        adoptStatus(findRow(*rows, platform::rolloutStatusTable, key()));
        m_step = Step::Idle;
    }
}

void RolloutCoordinator::handleWrite(const StoreReply& reply, TimePoint sentAt, TimePoint now)
{
    if (reply.status == httpOk) {
        const auto decoded = outcomeOf<platform::StoreRows>(
            [&] { return platform::decodeAcknowledgement(reply.body, reply.era); });
        if (const auto* rows = std::get_if<platform::StoreRows>(&decoded)) {
            recordClock(*rows, sentAt);
            m_stateVersion = m_statusVersion = rows->version.number;
        } else {
            m_step = Step::ReadState;
        }
        m_written = m_writing;
        m_writtenBad = m_writingBad;
        m_isStatusWrong = false;
        m_hasBegun = true;
        m_judge.commit(m_writing);
        logEvent(Event::RolloutWritten,
            { { "service", m_order.service.text() }, { "to", m_order.version },
                { "phase", nameOf(m_writing) }, { "took_ms", millisecondsOf(now - sentAt) } });
        return;
    }
    // Without an answer, the transaction may have been applied.
    m_step = Step::ReadState;
    if (reply.status != platform::statusVersionMismatch) {
        m_nextCallAt = now + retryDelay;
        return;
    }
    logEvent(Event::RolloutConflict, { { "service", m_order.service.text() }, { "to", m_order.version } });
    const auto rows = rowsIn(reply);
    const auto* state = rows ? findRow(*rows, stateTable, key()) : nullptr;
    const auto* status = rows ? findRow(*rows, platform::rolloutStatusTable, key()) : nullptr;
    if (!state || !status)
        return;
    recordClock(*rows, sentAt);
    adoptState(state, now);
    adoptStatus(status);
    m_step = Step::Idle;
}

void RolloutCoordinator::adoptState(const platform::StoreRow* row, TimePoint now)
{
    m_stateVersion = row ? row->version.number : 0;
    m_written.reset();
    const auto state = row ? decodedRow(*row) : std::nullopt;
    if (!state || !isOfOrder(*state, m_order))
        return;
    m_written = state->state.phase;
    m_writtenBad = state->state.badResponses;
    addFormerVersions(state->formerVersions);
    if (!std::exchange(m_hasBegun, true)) {
        const bool hasClock = m_clock && state->begunMilliseconds > 0
            && state->begunMilliseconds <= static_cast<uint64_t>(millisecondsOf(*m_clock));
        const auto begunAt = hasClock
            ? m_clockAt - (*m_clock - std::chrono::milliseconds(state->begunMilliseconds))
            : now - state->state.elapsedAtWrite;
        m_begunAt = std::min(m_begunAt, begunAt);
        auto restored = state->state;
        restored.order = m_order.id;
        m_isRestored = true;
        resetJudge(restored);
    }
    m_judge.commit(*m_written);
}

void RolloutCoordinator::adoptStatus(const platform::StoreRow* row)
{
    m_statusVersion = row ? row->version.number : 0;
    m_isStatusWrong = false;
    if (!m_written)
        return;
    const auto decoded = outcomeOf<platform::RolloutStatusDocument>(
        [&] { return platform::decodeRolloutStatus(row && !row->isDeleted ? row->value : std::string()); });
    const auto* status = std::get_if<platform::RolloutStatusDocument>(&decoded);
    m_isStatusWrong = !status || status->status != statusOf(*m_written) || status->version != m_order.version;
}

} // namespace lentilbay::edge
