// Probes of the region's daemons, the end of suspicions, and the search for daemons not yet known.
#include "MembershipState.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// An address of the seeds that has answered is not tried again for this long.
constexpr Duration seedAnswerLifetime = std::chrono::minutes(10);
constexpr size_t seedsPerJoin = 3;
constexpr size_t maxSeedAnswers = 4096;

} // namespace

std::vector<DaemonId> MembershipController::State::others(MemberHealth health) const
{
    std::vector<DaemonId> out;
    for (const auto& [id, record] : table.records()) {
        if (id != blackboard.self && record.update.health == health)
            out.push_back(id);
    }
    return out;
}

std::optional<DaemonId> MembershipController::State::nextTarget()
{
    for (int attempt = 0; attempt < 2; ++attempt) {
        while (!round.empty()) {
            const auto target = round.back();
            round.pop_back();
            const auto* record = table.find(target);
            if (record != nullptr && record->update.health != MemberHealth::Dead)
                return target;
        }
        round = others(MemberHealth::Alive);
        const auto suspects = others(MemberHealth::Suspect);
        round.insert(round.end(), suspects.begin(), suspects.end());
        std::shuffle(round.begin(), round.end(), random.engine());
    }
    return std::nullopt;
}

void MembershipController::State::startProbe(TimePoint now)
{
    if (now < nextProbe)
        return;
    nextProbe = now + options.probePeriod;
    const auto target = nextTarget();
    if (!target)
        return;
    outstanding = Outstanding { .sequence = ++lastSequence, .target = *target, .sentAt = now };
    ++counters.probesSent;
    send(*target, "", Probe { .sequence = outstanding->sequence, .updates = news(*target) });
}

void MembershipController::State::followProbe(TimePoint now)
{
    std::erase_if(relays, [now](const auto& it) { return it.second.expires <= now; });
    if (!outstanding)
        return;
    const auto age = now - outstanding->sentAt;
    if (age >= options.probePeriod) {
        const auto target = outstanding->target;
        outstanding.reset();
        const auto* record = table.find(target);
        if (record == nullptr || record->update.health != MemberHealth::Alive)
            return;
        auto update = record->update;
        update.health = MemberHealth::Suspect;
        merge(update, now);
        // Tells the daemon itself, so that it can contradict at once.
        send(target, "", Probe { .sequence = ++lastSequence, .updates = news(target) });
        return;
    }
    if (age < options.probeTimeout || outstanding->askedOthers)
        return;
    outstanding->askedOthers = true;
    auto helpers = others(MemberHealth::Alive);
    std::erase(helpers, outstanding->target);
    std::shuffle(helpers.begin(), helpers.end(), random.engine());
    helpers.resize(std::min<size_t>(helpers.size(), options.indirectProbes));
    for (const auto& it : helpers) {
        send(it, "",
            ProbeRequest {
                .sequence = outstanding->sequence, .target = outstanding->target, .updates = news(it) });
    }
}

void MembershipController::State::endSuspicions(TimePoint now)
{
    std::vector<MemberUpdate> ended;
    for (const auto& [id, record] : table.records()) {
        if (record.update.health == MemberHealth::Suspect && now - record.since >= options.suspicionTimeout)
            ended.push_back(record.update);
    }
    for (auto& it : ended) {
        it.health = MemberHealth::Dead;
        merge(it, now);
    }
}

std::vector<std::string> MembershipController::State::openSeeds(TimePoint now) const
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
    // A data centre of this region that only a digest tells of has daemons that this one should know.
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

void MembershipController::State::trySeeds(TimePoint now)
{
    if (joined || now < nextJoin)
        return;
    nextJoin = now + options.joinPeriod;
    auto seeds = openSeeds(now);
    const auto alive = others(MemberHealth::Alive);
    if (seeds.empty() && !alive.empty())
        sendState(alive[random.below(alive.size())], "", true, true, now);
    joined = seeds.empty() && alive.empty();
    std::shuffle(seeds.begin(), seeds.end(), random.engine());
    seeds.resize(std::min(seeds.size(), seedsPerJoin));
    for (const auto& it : seeds)
        sendState(DaemonId(), it, false, true, now);
}

void MembershipController::State::retryOne(TimePoint now)
{
    if (now < nextRetry)
        return;
    nextRetry = now + options.retryPeriod;
    if (seedAnswers.size() > maxSeedAnswers)
        seedAnswers.clear();
    for (const auto& it : table.forgetDead(options.deadRetention, options.maxDead, now))
        blackboard.members.erase(it);
    const auto dead = others(MemberHealth::Dead);
    if (!dead.empty()) {
        const auto& target = dead[random.below(dead.size())];
        send(target, "", Probe { .sequence = ++lastSequence, .updates = news(target) });
    }
    const auto seeds = openSeeds(now);
    if (joined && !seeds.empty())
        sendState(DaemonId(), seeds[random.below(seeds.size())], false, true, now);
}

void MembershipController::State::exchangeWithOne(TimePoint now)
{
    if (now < nextExchange)
        return;
    nextExchange = now + options.exchangePeriod;
    const auto alive = others(MemberHealth::Alive);
    if (!alive.empty())
        sendState(alive[random.below(alive.size())], "", true, true, now);
}

} // namespace lentilbay
