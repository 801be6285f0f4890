// Dispatches messages and store replies to the parts of the controller, and polls the head.
#include "lentilbay/Control/ConfigurationController.h"

#include "ConfigurationState.h"

#include <utility>

namespace lentilbay {
namespace {

constexpr Duration stepPeriod = std::chrono::milliseconds(50);

} // namespace

ConfigurationController::State::State(Blackboard& board, ConfigurationOptions options, TimePoint now)
    : blackboard(board)
    , context { board, options, StoreCaller(board, StoreUser::Configuration, options.storeTimeout),
        Random(options.seed) }
    , replica(context)
    , fence(context)
    , rosterClient(context)
    , acknowledgementWriter(context)
    , silentMemberExcluder(context, acknowledgementWriter)
    , proposer(context, replica)
    , watcher(context)
    , versions(context)
    , pollBackoff(options.pollPeriod, options.maxBackoff)
    , nextReport(now)
    , nextExclusionCheck(now)
    , lastAnswerAt(now)
{
    rosterClient.onRoster = [this](Roster roster, TimePoint) {
        fence.noteRoster(std::move(roster));
        acknowledgementWriter.setRoster(fence.roster());
    };
}

void ConfigurationController::State::refresh(TimePoint now)
{
    fence.refresh(replica.inForce().version > 0, replica.behindSince(), now);
}

/// The lowest version that this daemon may still start work under. It never decreases, and it is held back
/// while a daemon sponsored by this one may start work under an older version.
uint64_t ConfigurationController::State::ownFloor() const
{
    auto out = fence.isFenced() ? replica.head().version : replica.inForce().version;
    for (const auto& [id, sponsored] : sponsoredDaemons)
        out = std::min(out, sponsored.floor);
    return std::max(out, floor);
}

void ConfigurationController::State::afterEvent(TimePoint now)
{
    refresh(now);
    std::erase_if(sponsoredDaemons,
        [&](const auto& it) { return now - it.second.lastReportAt > context.options.exclusionDelay; });
    floor = ownFloor();
    recordOwnFloor();
    if (floor > reportedFloor)
        nextReport = now;
}

void ConfigurationController::State::recordOwnFloor()
{
    if (!rosterClient.isRegistered() || !isDataCentreCoordinator())
        return;
    const auto* roster = fence.roster();
    acknowledgementWriter.record(blackboard.dataCentre, blackboard.self,
        { .incarnation = context.options.incarnation,
            .floor = floor,
            .rosterSequence = roster == nullptr ? 0 : roster->sequence });
}

void ConfigurationController::State::pollHead(TimePoint now)
{
    // A daemon that is not the coordinator reads the head only if no other daemon confirms that its version
    // is the newest.
    const auto headConfirmedAt = fence.headConfirmedAt();
    const bool isFresh = headConfirmedAt && now - *headConfirmedAt < context.options.freshnessPeriod / 2;
    const bool needsAdmission = !fence.isAdmitted();
    if (isPolling || !pollBackoff.isDue(now) || (isFresh && !isDataCentreCoordinator() && !needsAdmission))
        return;
    isPolling = true;
    context.store.call(TableRead { .keys = { headKey(), rosterSequenceKey() } },
        [this, sentAt = now](const StoreReply& reply, TimePoint at) {
            isPolling = false;
            handleHeadReply(reply, sentAt, at);
        });
}

void ConfigurationController::State::handleHeadReply(const StoreReply& reply, TimePoint sentAt, TimePoint now)
{
    if (reply.status != StoreStatus::Done || reply.rows.size() != 2)
        return pollBackoff.recordFailure(now, context.random);
    pollBackoff.recordSuccess(now + context.options.pollPeriod);
    rosterClient.noteSequence(parseSequence(reply.rows[1]));
    const auto head = reply.rows[0] ? parseHead(reply.rows[0]) : ConfigurationHead {};
    if (head && replica.noteHead(*head, now))
        fence.noteHeadConfirmed(sentAt);
}

ConfigurationController::ConfigurationController(
    Blackboard& blackboard, ConfigurationOptions options, TimePoint now)
    : m_state(std::make_unique<State>(blackboard, std::move(options), now))
{
}

ConfigurationController::~ConfigurationController() = default;

void ConfigurationController::receive(
    const DaemonId& from, const std::string& address, const ConfigurationReport& report, TimePoint now)
{
    m_state->refresh(now);
    m_state->handleReport(from, address, report, now);
    m_state->afterEvent(now);
}

void ConfigurationController::receive(
    const DaemonId& from, const std::string& address, const HeadNotice& notice, TimePoint now)
{
    m_state->refresh(now);
    m_state->handleNotice(from, address, notice, now);
    m_state->afterEvent(now);
}

void ConfigurationController::receive(
    const DaemonId& from, const std::string& address, const DocumentRequest& request, TimePoint now)
{
    m_state->refresh(now);
    const auto& replica = m_state->replica;
    if (replica.inForce().version > request.newerThan) {
        m_state->blackboard.outbox.push_back({ .to = from,
            .message = DocumentReply { .head = replica.inForce(), .document = replica.document() },
            .address = address });
    }
}

void ConfigurationController::receive(
    const DaemonId&, const std::string&, const DocumentReply& reply, TimePoint now)
{
    m_state->refresh(now);
    m_state->replica.applyDocument(reply.head, reply.document, now);
    m_state->afterEvent(now);
}

void ConfigurationController::receive(const StoreReply& reply, TimePoint now)
{
    m_state->refresh(now);
    m_state->context.store.receive(reply, now);
    m_state->afterEvent(now);
}

void ConfigurationController::step(TimePoint now)
{
    auto& state = *m_state;
    state.steppedAt = now;
    state.refresh(now);
    state.rosterClient.step(now);
    state.pollHead(now);
    state.replica.step(now);
    state.proposer.step(now);
    state.watcher.step(state.replica.head(), now);
    if (state.rosterClient.isRegistered() && now >= state.nextExclusionCheck && state.isRegionCoordinator()) {
        state.nextExclusionCheck = now + 2 * state.context.options.pollPeriod;
        if (const auto* roster = state.fence.roster())
            state.silentMemberExcluder.step(*roster, state.replica.head().version, now);
    }
    state.afterEvent(now);
    state.acknowledgementWriter.step(now);
    if (const auto* own
        = state.acknowledgementWriter.recorded(state.blackboard.dataCentre, state.blackboard.self);
        own != nullptr && own->incarnation == state.context.options.incarnation)
        state.fence.noteRecorded(own->rosterSequence, now);
    state.sendReports(now);
    state.pushNewVersion(now);
}

TimePoint ConfigurationController::nextWake() const { return m_state->steppedAt + stepPeriod; }

void ConfigurationController::propose(const ConfigurationChange& change, TimePoint now)
{
    m_state->proposer.propose(change, now);
}

std::optional<ChangeState> ConfigurationController::changeState(const std::string& id) const
{
    return m_state->proposer.state(id);
}

void ConfigurationController::watchAcceptance(TimePoint until, TimePoint now)
{
    m_state->watcher.watch(until);
    m_state->watcher.step(m_state->replica.head(), now);
}

const AcceptanceProgress& ConfigurationController::progress() const { return m_state->watcher.progress(); }
void ConfigurationController::readHistory(uint64_t limit, HistoryCallback callback)
{
    m_state->versions.readHistory(m_state->replica.head().version, limit, std::move(callback));
}

void ConfigurationController::readVersion(uint64_t version, DocumentCallback callback)
{
    m_state->versions.readDocument(version, std::move(callback));
}

const std::string& ConfigurationController::document() const { return m_state->replica.document(); }
const ConfigurationHead& ConfigurationController::head() const { return m_state->replica.head(); }
const ConfigurationHead& ConfigurationController::inForce() const { return m_state->replica.inForce(); }

void ConfigurationController::announceStopped(TimePoint now)
{
    m_state->fence.retire();
    m_state->refresh(now);
    m_state->rosterClient.leave();
    m_state->rosterClient.step(now);
}

bool ConfigurationController::isOffRoster() const { return m_state->rosterClient.hasLeft(); }

} // namespace lentilbay
