// Decides which requests are claimed, follow an earlier one or are refused.
#include "lentilbay/Control/ClaimController.h"

#include "ClaimState.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace lentilbay {
namespace {

constexpr Duration evictionPeriod = std::chrono::seconds(10);

} // namespace

ClaimController::State::State(Blackboard& board, const AnswerSource& source, ClaimOptions claimOptions)
    : blackboard(board)
    , answers(source)
    , options(std::move(claimOptions))
    , random(options.seed)
    , budget(options.writesPerSecond)
{
}

void ClaimController::State::claim(const std::string& rowKey, const ClaimRequest& request, TimePoint now)
{
    auto& record = records[rowKey];
    // The abandoned nonces of the key are kept, so that a row with one of them can be overwritten.
    rowKeys.erase(record.request.id);
    record.request = request;
    record.nonce = random.below(UINT64_MAX);
    rowKeys[request.id] = rowKey;
    requeue(rowKey, record, 0, now);
}

void ClaimController::State::acquire(Record& record, TimePoint now)
{
    setPhase(record, Phase::Held, now);
    ++counters.held;
    decisions.emplace_back(ClaimHeld { .id = record.request.id });
}

void ClaimController::State::erase(const std::string& rowKey)
{
    const auto it = records.find(rowKey);
    rowKeys.erase(it->second.request.id);
    ambiguousKeys.erase(rowKey);
    followedKeys.erase(rowKey);
    records.erase(it);
}

void ClaimController::State::refuse(const std::string& rowKey, ResultCode code, Executed ran)
{
    const auto& record = records.at(rowKey);
    const auto id = record.request.id;
    if (record.phase != Phase::HeldElsewhere) {
        ++counters.heldElsewhere;
        decisions.emplace_back(ClaimHeldElsewhere { .id = id });
    }
    decisions.emplace_back(ClaimRefused { .id = id, .code = code, .ran = ran });
    erase(rowKey);
}

void ClaimController::State::evictOldRecords(TimePoint now)
{
    if (now < nextEviction)
        return;
    nextEviction = now + evictionPeriod;
    std::vector<std::string> old;
    for (const auto& [rowKey, record] : records) {
        const bool isComplete = record.phase == Phase::Finished || record.phase == Phase::Abandoned;
        if (isComplete && now - record.since >= options.recordLifetime)
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
        if (record.abandonedNonces.contains(claim.nonce))
            report.state = ClaimState::Abandoned;
        return report;
    }
    switch (record.phase) {
    case Phase::Queued:
    case Phase::Writing:
    case Phase::Ambiguous:
    case Phase::Reading:
    case Phase::Held:
        report.state = ClaimState::Running;
        break;
    case Phase::Abandoned:
        report.state = ClaimState::Abandoned;
        break;
    case Phase::HeldElsewhere:
        break;
    case Phase::Finished:
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
    if (it == state.records.end() || it->second.phase == State::Phase::Abandoned) {
        if (it == state.records.end() && state.records.size() >= state.options.maxRecords) {
            state.decisions.emplace_back(ClaimHeldElsewhere { .id = request.id });
            state.decisions.emplace_back(
                ClaimRefused { .id = request.id, .code = ResultCode::ClaimUnavailable, .ran = Executed::No });
            return;
        }
        return state.claim(rowKey, request, now);
    }
    const auto& earlier = it->second.request;
    if (earlier.id == request.id) {
        // The entry repeats the request for a claim that it already holds.
        if (it->second.phase == State::Phase::Held)
            state.decisions.emplace_back(ClaimHeld { .id = request.id });
        return;
    }
    ++state.counters.heldElsewhere;
    state.decisions.emplace_back(ClaimHeldElsewhere { .id = request.id });
    if (earlier.bodyHash != request.bodyHash)
        state.decisions.emplace_back(
            ClaimRefused { .id = request.id, .code = ResultCode::IdempotencyKeyReused, .ran = Executed::No });
    else
        state.decisions.emplace_back(ClaimFollows { .id = request.id, .earlier = earlier.id });
}

void ClaimController::finished(const RequestId& id, ResultCode code, Executed ran, TimePoint now)
{
    auto& state = *m_state;
    const auto it = state.rowKeys.find(id);
    if (it == state.rowKeys.end())
        return;
    auto& record = state.records.at(it->second);
    // The entry has ended a request whose claim is held elsewhere; its outcome is not that of the claim.
    if (record.phase == State::Phase::HeldElsewhere)
        return;
    if (code != ResultCode::Ok && ran == Executed::No) {
        // A pending write may still take effect later, but this nonce is never dispatched.
        record.abandonedNonces.insert(record.nonce);
        state.ambiguousKeys.erase(it->second);
        state.setPhase(record, State::Phase::Abandoned, now);
        return;
    }
    record.code = code;
    record.ran = ran;
    state.setPhase(record, State::Phase::Finished, now);
}

void ClaimController::receive(const StoreReply& reply, TimePoint now)
{
    const auto it = m_state->calls.find(reply.id);
    if (it == m_state->calls.end() || reply.user != StoreUser::Claims)
        return;
    const auto call = std::move(it->second);
    m_state->calls.erase(it);
    m_state->handleReply(call, reply, now);
}

void ClaimController::receive(
    const DaemonId& from, const std::string& address, const ClaimQuery& query, TimePoint)
{
    ClaimAnswer withoutBody;
    for (const auto& it : query.claims) {
        auto report = m_state->reportOf(it);
        if (report.body.empty()) {
            withoutBody.reports.push_back(std::move(report));
            continue;
        }
        m_state->blackboard.outbox.push_back(
            { .to = from, .message = ClaimAnswer { .reports = { std::move(report) } }, .address = address });
    }
    if (!withoutBody.reports.empty())
        m_state->blackboard.outbox.push_back(
            { .to = from, .message = std::move(withoutBody), .address = address });
}

void ClaimController::receive(const DaemonId&, const std::string&, const ClaimAnswer& answer, TimePoint now)
{
    for (const auto& it : answer.reports)
        m_state->handleReport(it, now);
}

void ClaimController::step(TimePoint now, WallTimePoint wallNow)
{
    m_state->wallNow = wallNow;
    m_state->expireCalls(now);
    m_state->readAmbiguous(now);
    m_state->writeNext(now);
    m_state->queryHolders(now);
    m_state->scanForExpired(now);
    m_state->evictOldRecords(now);
}

TimePoint ClaimController::nextWake() const
{
    const auto& state = *m_state;
    auto wake = state.nextEviction;
    if (!state.scanning && state.isCleaner())
        wake = std::min(wake, std::max(state.nextScan, state.storeBackoffUntil));
    const bool mayWrite = state.writesInFlight < state.options.maxWritesInFlight;
    if (!state.queue.empty() && mayWrite)
        wake = std::min(wake, std::max(state.storeBackoffUntil, state.budget.nextAt()));
    if (!state.ambiguousKeys.empty())
        wake = std::min(wake, state.storeBackoffUntil);
    for (const auto& it : state.followedKeys)
        wake = std::min(wake, state.records.at(it).nextQuery);
    for (const auto& [id, call] : state.calls)
        wake = std::min(wake, call.deadline);
    return wake;
}

std::vector<ClaimDecision> ClaimController::takeDecisions() { return std::exchange(m_state->decisions, {}); }

const ClaimCounters& ClaimController::counters() const { return m_state->counters; }

} // namespace lentilbay
