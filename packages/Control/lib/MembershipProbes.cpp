// Probes of the daemons in this region, suspicion timeouts, and discovery of unknown daemons.
#include "MembershipState.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// A seed address that has answered is not contacted again within this time.
constexpr Duration seedAnswerLifetime = std::chrono::minutes(10);
constexpr size_t seedsPerJoin = 3;
constexpr size_t maxSeedAnswers = 4096;

} // namespace

std::vector<DaemonId> MembershipController::State::peersWithHealth(MemberHealth health) const
{
    std::vector<DaemonId> out;
    for (const auto& [id, record] : table.records()) {
        if (id != blackboard.self && record.update.health == health)
            out.push_back(id);
    }
    return out;
}

std::optional<DaemonId> MembershipController::State::nextProbeTarget()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!probeRound.empty()) {
            const auto target = probeRound.back();
            probeRound.pop_back();
            const auto* record = table.find(target);
            if (record != nullptr && record->update.health != MemberHealth::Dead)
                return target;
        }
        probeRound = peersWithHealth(MemberHealth::Alive);
        const auto suspects = peersWithHealth(MemberHealth::Suspect);
        probeRound.insert(probeRound.end(), suspects.begin(), suspects.end());
        std::shuffle(probeRound.begin(), probeRound.end(), random.engine());
    }
    return std::nullopt;
}

void MembershipController::State::startProbe(TimePoint now)
{
    if (now < nextProbe)
        return;
    nextProbe = now + options.probePeriod;
    const auto target = nextProbeTarget();
    if (!target)
        return;
    outstandingProbe = OutstandingProbe { .sequence = ++lastSequence,
        .target = *target,
        .incarnation = table.find(*target)->update.incarnation,
        .sentAt = now };
    ++counters.probesSent;
    send(*target, "", Probe { .sequence = outstandingProbe->sequence, .updates = updatesFor(*target) });
}

void MembershipController::State::checkProbe(TimePoint now)
{
    std::erase_if(relays, [now](const auto& it) { return it.second.expires <= now; });
    if (!outstandingProbe)
        return;
    const auto* record = table.find(outstandingProbe->target);
    if (record == nullptr || record->update.incarnation != outstandingProbe->incarnation) {
        outstandingProbe.reset();
        return;
    }
    const auto age = now - outstandingProbe->sentAt;
    if (age >= options.probePeriod) {
        const auto target = outstandingProbe->target;
        outstandingProbe.reset();
        if (record->update.health != MemberHealth::Alive)
            return;
        auto update = record->update;
        update.health = MemberHealth::Suspect;
        merge(update, now);
        // Informs the suspected daemon itself, so that it can refute the suspicion at once.
        send(target, "", Probe { .sequence = ++lastSequence, .updates = updatesFor(target) });
        return;
    }
    if (age < options.probeTimeout || outstandingProbe->indirectRequested)
        return;
    outstandingProbe->indirectRequested = true;
    auto helpers = peersWithHealth(MemberHealth::Alive);
    std::erase(helpers, outstandingProbe->target);
    std::shuffle(helpers.begin(), helpers.end(), random.engine());
    helpers.resize(std::min<size_t>(helpers.size(), options.indirectProbes));
    for (const auto& it : helpers) {
        send(it, "",
            ProbeRequest { .sequence = outstandingProbe->sequence,
                .target = outstandingProbe->target,
                .updates = updatesFor(it) });
    }
}

void MembershipController::State::expireSuspicions(TimePoint now)
{
    std::vector<MemberUpdate> expired;
    for (const auto& [id, record] : table.records()) {
        if (record.update.health == MemberHealth::Suspect
            && now - record.healthSince >= options.suspicionTimeout)
            expired.push_back(record.update);
    }
    for (auto& it : expired) {
        it.health = MemberHealth::Dead;
        merge(it, now);
    }
}

std::vector<std::string> MembershipController::State::unansweredSeeds(TimePoint now) const
{
    std::set<std::string> known { options.address };
    for (const auto& [id, member] : blackboard.members) {
        if (member.status != MemberStatus::Dead)
            known.insert(member.address);
    }
    std::vector<std::string> out;
    for (const auto& it : options.seeds) {
        const auto answer = seedAnswers.find(it);
        const bool answered = answer != seedAnswers.end() && now - answer->second < seedAnswerLifetime;
        if (!known.contains(it) && !answered)
            out.push_back(it);
    }
    // A data centre of this region that is known only from a digest has daemons that this one should know
    // too.
    for (const auto& [id, entry] : digests.entries()) {
        if (entry.digest.region != blackboard.region)
            continue;
        for (const auto& it : entry.digest.contacts) {
            if (table.find(it.id) == nullptr && !known.contains(it.address))
                out.push_back(it.address);
        }
    }
    return out;
}

void MembershipController::State::contactSeeds(TimePoint now)
{
    if (joined || now < nextJoin)
        return;
    nextJoin = now + options.joinPeriod;
    auto seeds = unansweredSeeds(now);
    const auto alive = peersWithHealth(MemberHealth::Alive);
    if (seeds.empty() && !alive.empty())
        sendState(alive[random.below(alive.size())], "", true, true, now);
    joined = seeds.empty() && alive.empty();
    std::shuffle(seeds.begin(), seeds.end(), random.engine());
    seeds.resize(std::min(seeds.size(), seedsPerJoin));
    for (const auto& it : seeds)
        sendState(DaemonId(), it, false, true, now);
}

void MembershipController::State::retryUnreachable(TimePoint now)
{
    if (now < nextRetry)
        return;
    nextRetry = now + options.retryPeriod;
    if (seedAnswers.size() > maxSeedAnswers)
        seedAnswers.clear();
    for (const auto& it : table.removeDead(options.deadRetention, options.maxDead, now))
        blackboard.members.erase(it);
    const auto dead = peersWithHealth(MemberHealth::Dead);
    if (!dead.empty()) {
        const auto& target = dead[random.below(dead.size())];
        send(target, "", Probe { .sequence = ++lastSequence, .updates = updatesFor(target) });
    }
    const auto seeds = unansweredSeeds(now);
    if (joined && !seeds.empty())
        sendState(DaemonId(), seeds[random.below(seeds.size())], false, true, now);
}

void MembershipController::State::exchangeState(TimePoint now)
{
    if (now < nextExchange)
        return;
    nextExchange = now + options.exchangePeriod;
    const auto alive = peersWithHealth(MemberHealth::Alive);
    if (!alive.empty())
        sendState(alive[random.below(alive.size())], "", true, true, now);
}

} // namespace lentilbay
