// Updates about daemons: merging, refutation and publishing on the blackboard.
#include "lentilbay/Control/MembershipController.h"

#include "MembershipState.h"

#include <algorithm>
#include <utility>

namespace lentilbay {
namespace {

constexpr size_t maxRelays = 64;

MemberStatus statusOf(const MemberUpdate& update)
{
    if (update.health == MemberHealth::Dead)
        return MemberStatus::Dead;
    if (update.health == MemberHealth::Suspect)
        return MemberStatus::Suspect;
    return update.leaving ? MemberStatus::Leaving : MemberStatus::Alive;
}

} // namespace

MembershipController::State::State(Blackboard& board, MembershipOptions initialOptions, TimePoint now)
    : blackboard(board)
    , options(std::move(initialOptions))
    , random(options.seed)
    , joined(options.seeds.empty())
    , lastStep(now)
    , nextProbe(now + Duration(random.below(options.probePeriod.count())))
    , nextRetry(now + options.retryPeriod)
    , nextJoin(now)
    , nextExchange(now + Duration(random.below(options.exchangePeriod.count())))
    , nextDigest(now + Duration(random.below(options.digestPeriod.count())))
{
    const MemberUpdate update { .id = blackboard.self,
        .region = blackboard.region,
        .dataCentre = blackboard.dataCentre,
        .address = options.address,
        .incarnation = options.incarnation };
    table.merge(update, now);
    publish(update);
}

void MembershipController::State::mergeAll(const std::vector<MemberUpdate>& updates, TimePoint now)
{
    for (const auto& it : updates)
        merge(it, now);
}

void MembershipController::State::merge(const MemberUpdate& update, TimePoint now)
{
    if (update.id == blackboard.self) {
        refute(update, now);
        return;
    }
    if (update.region != blackboard.region || update.id.empty())
        return;
    const auto* known = table.find(update.id);
    const bool isNew = known == nullptr;
    const auto before = isNew ? MemberUpdate { .health = MemberHealth::Dead } : known->update;
    auto adjusted = update;
    // After a partition each side considers the other dead. A daemon that is alive here is only suspected on
    // such an update, so that it can refute it before it is declared dead.
    if (before.health == MemberHealth::Alive && adjusted.health == MemberHealth::Dead && !adjusted.leaving)
        adjusted.health = MemberHealth::Suspect;
    if (!table.merge(adjusted, now))
        return;
    const auto& after = table.find(update.id)->update;
    contacts.erase(after.id);
    publish(after);
    recordChange(before, after);
}

void MembershipController::State::refute(const MemberUpdate& update, TimePoint now)
{
    auto own = self();
    if (stopped)
        return;
    if (!supersedes(update, own)) {
        // The sender missed an earlier refutation, so the reply must carry it again.
        if (supersedes(own, update))
            table.requeueUpdate(own.id);
        return;
    }
    if (update.incarnation > own.incarnation) {
        own.incarnation = update.incarnation + 1;
        own.refutation = 0;
        changes.push_back({ Event::DaemonNameTaken, own.id.text() });
    } else {
        own.refutation = update.refutation + 1;
        own.leaving = own.leaving || update.leaving;
        ++counters.refutations;
    }
    updateSelf(own, now);
}

void MembershipController::State::updateSelf(MemberUpdate update, TimePoint now)
{
    table.merge(update, now);
    publish(update);
}

void MembershipController::State::recordChange(const MemberUpdate& before, const MemberUpdate& after)
{
    const auto& subject = after.id.text();
    if (after.health == MemberHealth::Suspect && before.health != MemberHealth::Suspect) {
        ++counters.suspicions;
        changes.push_back({ Event::DaemonSuspected, subject });
    }
    if (after.health == MemberHealth::Dead && before.health != MemberHealth::Dead) {
        ++counters.deaths;
        changes.push_back({ Event::DaemonDied, subject });
    }
    if (after.health == MemberHealth::Alive
        && (before.health != MemberHealth::Alive || before.incarnation != after.incarnation))
        changes.push_back({ Event::DaemonAlive, subject });
    if (after.leaving && !(before.leaving && before.incarnation == after.incarnation))
        changes.push_back({ Event::DaemonLeaving, subject });
}

void MembershipController::State::publish(const MemberUpdate& update)
{
    blackboard.members.insert_or_assign(update.id,
        MemberState { .id = update.id,
            .region = update.region,
            .dataCentre = update.dataCentre,
            .address = update.address,
            .incarnation = update.incarnation,
            .status = statusOf(update) });
}

void MembershipController::State::sendState(
    const DaemonId& to, const std::string& address, bool wholeRegion, bool wantsReply, TimePoint now)
{
    StateExchange state { .wantsReply = wantsReply, .members = { self() } };
    if (wholeRegion) {
        for (const auto& it : table.updates()) {
            if (it.id != blackboard.self)
                state.members.push_back(it);
        }
    }
    // A request for a reply stays small enough for one datagram, as it may go to a wrong address.
    if (wholeRegion || !wantsReply) {
        state.digests = digests.all(options.digestLifetime, now);
        state.digests.push_back(ownDigest());
    }
    ++counters.exchangesSent;
    send(to, address, std::move(state));
}

MembershipController::MembershipController(Blackboard& blackboard, MembershipOptions options, TimePoint now)
    : m_state(std::make_unique<State>(blackboard, std::move(options), now))
{
}

MembershipController::~MembershipController() = default;

void MembershipController::receive(
    const DaemonId& from, const std::string& address, const Probe& probe, TimePoint now)
{
    m_state->mergeAll(probe.updates, now);
    if (m_state->stopped)
        return;
    m_state->send(
        from, address, ProbeReply { .sequence = probe.sequence, .updates = m_state->updatesFor(from) });
    if (m_state->table.find(from) == nullptr && !address.empty())
        m_state->sendState(from, address, false, true, now);
}

void MembershipController::receive(
    const DaemonId& from, const std::string&, const ProbeReply& reply, TimePoint now)
{
    const auto* sender = m_state->table.find(from);
    const bool wasDead = sender != nullptr && sender->update.health == MemberHealth::Dead;
    m_state->mergeAll(reply.updates, now);
    if (m_state->outstandingProbe && m_state->outstandingProbe->sequence == reply.sequence)
        m_state->outstandingProbe.reset();
    if (auto it = m_state->relays.find(reply.sequence); it != m_state->relays.end()) {
        const auto relay = it->second;
        m_state->relays.erase(it);
        m_state->send(relay.origin, relay.address,
            ProbeReply { .sequence = relay.sequence, .updates = m_state->updatesFor(relay.origin) });
    }
    sender = m_state->table.find(from);
    // A partition has healed: one pair of daemons exchanges the full state of the two sides.
    if (wasDead && sender->update.health == MemberHealth::Alive)
        m_state->sendState(from, "", true, true, now);
}

void MembershipController::receive(
    const DaemonId& from, const std::string& address, const ProbeRequest& request, TimePoint now)
{
    m_state->mergeAll(request.updates, now);
    if (m_state->table.find(request.target) == nullptr || m_state->relays.size() >= maxRelays)
        return;
    const auto sequence = ++m_state->lastSequence;
    m_state->relays[sequence] = { .sequence = request.sequence,
        .origin = from,
        .address = address,
        .expires = now + m_state->options.probePeriod };
    ++m_state->counters.indirectProbesSent;
    m_state->send(
        request.target, "", Probe { .sequence = sequence, .updates = m_state->updatesFor(request.target) });
}

void MembershipController::receive(
    const DaemonId& from, const std::string& address, const StateExchange& state, TimePoint now)
{
    m_state->mergeAll(state.members, now);
    m_state->mergeDigests(state.digests, now);
    if (state.members.empty() || state.members.front().id != from)
        return;
    const auto& sender = state.members.front();
    m_state->seedAnswers[sender.address] = now;
    m_state->joined = m_state->joined || !state.wantsReply;
    if (!state.wantsReply || m_state->stopped)
        return;
    const bool sameRegion = sender.region == m_state->blackboard.region;
    m_state->sendState(from, address.empty() ? sender.address : address, sameRegion, false, now);
}

void MembershipController::receive(
    const DaemonId&, const std::string&, const DigestGossip& gossip, TimePoint now)
{
    m_state->mergeDigests(gossip.digests, now);
}

void MembershipController::addSeeds(const std::vector<std::string>& addresses)
{
    auto& seeds = m_state->options.seeds;
    for (const auto& it : addresses) {
        if (std::find(seeds.begin(), seeds.end(), it) == seeds.end())
            seeds.push_back(it);
    }
}

void MembershipController::announceLeaving(TimePoint now)
{
    auto own = m_state->self();
    own.leaving = true;
    m_state->updateSelf(own, now);
    // Sent to the whole region directly: a leaving daemon must lose its shares before it stops.
    for (const auto& it : m_state->peersWithHealth(MemberHealth::Alive))
        m_state->send(it, "", ProbeReply { .updates = { own } });
}

void MembershipController::announceStopped(TimePoint now)
{
    auto own = m_state->self();
    own.health = MemberHealth::Dead;
    own.leaving = true;
    m_state->stopped = true;
    m_state->updateSelf(own, now);
    for (const auto& it : m_state->peersWithHealth(MemberHealth::Alive))
        m_state->send(it, "", ProbeReply { .updates = { own } });
}

void MembershipController::step(TimePoint now)
{
    auto& state = *m_state;
    if (state.stopped)
        return;
    if (now - state.lastStep > 2 * state.options.probePeriod) {
        // This daemon was paused, so missing replies do not indicate a failure of the other daemons.
        state.outstandingProbe.reset();
        state.table.restartSuspicions(now);
    }
    state.lastStep = now;
    state.checkProbe(now);
    state.expireSuspicions(now);
    state.startProbe(now);
    state.contactSeeds(now);
    state.retryUnreachable(now);
    state.exchangeState(now);
    state.gossipDigests(now);
}

TimePoint MembershipController::nextWake() const
{
    const auto& state = *m_state;
    auto wake = std::min({ state.nextProbe, state.nextRetry, state.nextExchange, state.nextDigest });
    if (!state.joined)
        wake = std::min(wake, state.nextJoin);
    if (state.outstandingProbe && !state.outstandingProbe->indirectRequested)
        wake = std::min(wake, state.outstandingProbe->sentAt + state.options.probeTimeout);
    for (const auto& [id, record] : state.table.records()) {
        if (record.update.health == MemberHealth::Suspect)
            wake = std::min(wake, record.healthSince + state.options.suspicionTimeout);
    }
    return wake;
}

uint64_t MembershipController::incarnation() const { return m_state->self().incarnation; }

bool MembershipController::joined() const { return m_state->joined; }

const MembershipCounters& MembershipController::counters() const { return m_state->counters; }

std::vector<DataCentreDigest> MembershipController::digests(TimePoint now) const
{
    return m_state->digests.all(m_state->options.deadRetention, now);
}

std::vector<MembershipChange> MembershipController::takeChanges()
{
    return std::exchange(m_state->changes, {});
}

} // namespace lentilbay
