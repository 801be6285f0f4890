// Which requests are claimed, followed or refused.
#include "lentilbay/Control/ClaimController.h"

#include "ClaimState.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lentilbay {
namespace {

constexpr Duration forgetPeriod = std::chrono::seconds(10);

} // namespace

ClaimController::State::State(Blackboard& board, const AnswerSource& source, ClaimOptions given)
    : blackboard(board)
    , answers(source)
    , options(std::move(given))
    , random(options.seed)
    , budget(options.writesPerSecond)
{
}

void ClaimController::State::claim(const std::string& rowKey, const ClaimRequest& request, TimePoint now)
{
    auto& record = records[rowKey];
    // The dead nonces of the key are kept, so that a row with one of them can be written over.
    rowKeys.erase(record.request.id);
    record.request = request;
    record.nonce = random.below(UINT64_MAX);
    rowKeys[request.id] = rowKey;
    requeue(rowKey, record, 0, now);
}

void ClaimController::State::hold(Record& record, TimePoint now)
{
    enter(record, Phase::Held, now);
    ++counters.held;
    decisions.emplace_back(ClaimHeld { .id = record.request.id });
}

void ClaimController::State::erase(const std::string& rowKey)
{
    const auto it = records.find(rowKey);
    rowKeys.erase(it->second.request.id);
    unclear.erase(rowKey);
    followed.erase(rowKey);
    records.erase(it);
}

void ClaimController::State::refuseElsewhere(const std::string& rowKey, ResultCode code, Ran ran)
{
    const auto& record = records.at(rowKey);
    const auto id = record.request.id;
    if (record.phase != Phase::Elsewhere) {
        ++counters.heldElsewhere;
        decisions.emplace_back(ClaimHeldElsewhere { .id = id });
    }
    decisions.emplace_back(ClaimRefused { .id = id, .code = code, .ran = ran });
    erase(rowKey);
}

void ClaimController::State::forgetOld(TimePoint now)
{
    if (now < nextForget)
        return;
    nextForget = now + forgetPeriod;
    std::vector<std::string> old;
    for (const auto& [rowKey, record] : records) {
        const bool isOver = record.phase == Phase::Ended || record.phase == Phase::Dead;
        if (isOver && now - record.since >= options.recordLifetime)
            old.push_back(rowKey);
    }
    for (const auto& it : old)
        erase(it);
}

ClaimReport ClaimController::State::reportOf(const ClaimReference& claim) const
{
    ClaimReport report { .claim = claim, .state = ClaimState::Forgotten };
    const auto it = records.find(claim.rowKey);
    if (it == records.end())
        return report;
    const auto& record = it->second;
    if (record.nonce != claim.nonce) {
        if (record.deadNonces.contains(claim.nonce))
            report.state = ClaimState::Abandoned;
        return report;
    }
    switch (record.phase) {
    case Phase::Queued:
    case Phase::Writing:
    case Phase::Unclear:
    case Phase::Reading:
    case Phase::Held:
        report.state = ClaimState::Running;
        break;
    case Phase::Dead:
        report.state = ClaimState::Abandoned;
        break;
    case Phase::Elsewhere:
        break;
    case Phase::Ended:
        if (record.code != ResultCode::Ok) {
            report.state = ClaimState::Finished;
            report.code = static_cast<uint16_t>(record.code);
            report.ran = static_cast<uint8_t>(record.ran);
        } else if (auto finished = answers.finishedReport(record.request.id)) {
            report = std::move(*finished);
            report.claim = claim;
        }
        break;
    }
    return report;
}

ClaimController::ClaimController(Blackboard& blackboard, const AnswerSource& answers, ClaimOptions options)
    : m_state(std::make_unique<State>(blackboard, answers, std::move(options)))
{
}

ClaimController::~ClaimController() = default;

void ClaimController::begin(const ClaimRequest& request, TimePoint now)
{
    auto& state = *m_state;
    assert(!request.key.empty() && "a request without a key has nothing to claim");
    const auto rowKey = request.organisation.text() + "/" + request.key;
    const auto it = state.records.find(rowKey);
    if (it == state.records.end() || it->second.phase == State::Phase::Dead) {
        if (it == state.records.end() && state.records.size() >= state.options.maxRecords) {
            state.decisions.emplace_back(ClaimHeldElsewhere { .id = request.id });
            state.decisions.emplace_back(
                ClaimRefused { .id = request.id, .code = ResultCode::ClaimUnavailable, .ran = Ran::No });
            return;
        }
        return state.claim(rowKey, request, now);
    }
    const auto& earlier = it->second.request;
    if (earlier.id == request.id) {
        // The entry asks again for a claim that it already holds.
        if (it->second.phase == State::Phase::Held)
            state.decisions.emplace_back(ClaimHeld { .id = request.id });
        return;
    }
    ++state.counters.heldElsewhere;
    state.decisions.emplace_back(ClaimHeldElsewhere { .id = request.id });
    if (earlier.bodyHash != request.bodyHash)
        state.decisions.emplace_back(
            ClaimRefused { .id = request.id, .code = ResultCode::IdempotencyKeyReused, .ran = Ran::No });
    else
        state.decisions.emplace_back(ClaimFollows { .id = request.id, .earlier = earlier.id });
}

void ClaimController::finished(const RequestId& id, ResultCode code, Ran ran, TimePoint now)
{
    auto& state = *m_state;
    const auto it = state.rowKeys.find(id);
    if (it == state.rowKeys.end())
        return;
    auto& record = state.records.at(it->second);
    // The entry ends a request that is held elsewhere; its outcome is not that of the claim.
    if (record.phase == State::Phase::Elsewhere)
        return;
    if (code != ResultCode::Ok && ran == Ran::No) {
        // A write that is still under way may land later; nobody will act on it.
        record.deadNonces.insert(record.nonce);
        state.unclear.erase(it->second);
        state.enter(record, State::Phase::Dead, now);
        return;
    }
    record.code = code;
    record.ran = ran;
    state.enter(record, State::Phase::Ended, now);
}

void ClaimController::receive(const StoreReply& reply, TimePoint now)
{
    const auto it = m_state->calls.find(reply.id);
    if (it == m_state->calls.end() || reply.user != StoreUser::Claims)
        return;
    const auto call = std::move(it->second);
    m_state->calls.erase(it);
    m_state->answered(call, reply, now);
}

void ClaimController::receive(
    const DaemonId& from, const std::string& address, const ClaimQuery& query, TimePoint)
{
    ClaimAnswer small;
    for (const auto& it : query.claims) {
        auto report = m_state->reportOf(it);
        if (report.body.empty()) {
            small.reports.push_back(std::move(report));
            continue;
        }
        m_state->blackboard.outbox.push_back(
            { .to = from, .message = ClaimAnswer { .reports = { std::move(report) } }, .address = address });
    }
    if (!small.reports.empty())
        m_state->blackboard.outbox.push_back({ .to = from, .message = std::move(small), .address = address });
}

void ClaimController::receive(const DaemonId&, const std::string&, const ClaimAnswer& answer, TimePoint now)
{
    for (const auto& it : answer.reports)
        m_state->reported(it, now);
}

void ClaimController::step(TimePoint now, WallTimePoint wallNow)
{
    m_state->wallNow = wallNow;
    m_state->expireCalls(now);
    m_state->readUnclear(now);
    m_state->writeNext(now);
    m_state->askHolders(now);
    m_state->scanForExpired(now);
    m_state->forgetOld(now);
}

TimePoint ClaimController::nextWake() const
{
    const auto& state = *m_state;
    auto wake = state.nextForget;
    if (!state.scanning && state.isCleaner())
        wake = std::min(wake, std::max(state.nextScan, state.storeRestsUntil));
    const bool mayWrite = state.writesInFlight < state.options.maxWritesInFlight;
    if (!state.queue.empty() && mayWrite)
        wake = std::min(wake, std::max(state.storeRestsUntil, state.budget.nextAt()));
    if (!state.unclear.empty())
        wake = std::min(wake, state.storeRestsUntil);
    for (const auto& it : state.followed)
        wake = std::min(wake, state.records.at(it).nextQuery);
    for (const auto& [id, call] : state.calls)
        wake = std::min(wake, call.answeredBy);
    return wake;
}

std::vector<ClaimDecision> ClaimController::takeDecisions() { return std::exchange(m_state->decisions, {}); }

const ClaimCounters& ClaimController::counters() const { return m_state->counters; }

} // namespace lentilbay
