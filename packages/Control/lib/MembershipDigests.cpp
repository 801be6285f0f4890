// Digests between regions: a few representatives of each data centre send them.
#include "MembershipState.h"

#include "lentilbay/Support/Hash.h"

#include <algorithm>

namespace lentilbay {
namespace {

/// How many daemons of a data centre send digests to other regions; two, so that one may fail.
constexpr size_t representativeCount = 2;

} // namespace

std::vector<const MemberUpdate*> MembershipController::State::representatives(size_t count) const
{
    const auto& key = blackboard.dataCentre.text();
    std::vector<std::pair<uint64_t, const MemberUpdate*>> weighted;
    for (const auto& [id, record] : table.records()) {
        const auto& it = record.update;
        if (it.dataCentre == blackboard.dataCentre && it.health == MemberHealth::Alive && !it.leaving)
            weighted.emplace_back(rendezvousWeight(key, id.text()), &it);
    }
    std::sort(weighted.rbegin(), weighted.rend());
    std::vector<const MemberUpdate*> out;
    for (size_t i = 0; i < std::min(count, weighted.size()); ++i)
        out.push_back(weighted[i].second);
    return out;
}

DataCentreDigest MembershipController::State::ownDigest() const
{
    DataCentreDigest digest { .dataCentre = blackboard.dataCentre, .region = blackboard.region };
    for (const auto& [id, record] : table.records()) {
        const auto& it = record.update;
        if (it.dataCentre != blackboard.dataCentre || it.health == MemberHealth::Dead)
            continue;
        ++digest.liveDaemons;
        digest.hash = hashOf(id.text(), digest.hash ^ it.incarnation);
    }
    for (const auto* it : representatives(options.contactsPerDataCentre))
        digest.contacts.push_back({ it->id, it->address, it->incarnation });
    return digest;
}

void MembershipController::State::mergeDigests(const std::vector<DataCentreDigest>& received, TimePoint now)
{
    bool changed = false;
    for (const auto& it : received) {
        if (it.dataCentre != blackboard.dataCentre && !it.dataCentre.empty()
            && std::chrono::milliseconds(it.ageMilliseconds) < options.digestLifetime)
            changed = digests.merge(it, now) || changed;
    }
    if (changed)
        publishContacts(now);
}

void MembershipController::State::gossipDigests(TimePoint now)
{
    if (now < nextDigest)
        return;
    nextDigest = now + options.digestPeriod;
    updateSilentDataCentres(now);
    publishContacts(now);
    auto chosen = digests.select(options.maxDigestsPerMessage, options.digestLifetime, random, now);
    const auto regionPeers = peersWithHealth(MemberHealth::Alive);
    if (!regionPeers.empty() && !chosen.empty())
        send(regionPeers[random.below(regionPeers.size())], "", DigestGossip { chosen });

    const auto own = representatives(representativeCount);
    const bool isRepresentative
        = std::any_of(own.begin(), own.end(), [this](const auto* it) { return it->id == blackboard.self; });
    std::vector<const DataCentreDigest*> remoteDigests;
    for (const auto& [id, entry] : digests.entries()) {
        if (entry.digest.region != blackboard.region && !entry.digest.contacts.empty())
            remoteDigests.push_back(&entry.digest);
    }
    if (!isRepresentative || remoteDigests.empty())
        return;
    const auto& target = remoteDigests[random.below(remoteDigests.size())]->contacts;
    const auto& contact = target[random.below(target.size())];
    chosen.resize(std::min<size_t>(chosen.size(), options.maxDigestsPerMessage - 1));
    chosen.insert(chosen.begin(), ownDigest());
    send(contact.id, contact.address, DigestGossip { std::move(chosen) });
}

void MembershipController::State::publishContacts(TimePoint now)
{
    std::set<DaemonId> present;
    for (const auto& [id, entry] : digests.entries()) {
        if (entry.digest.region == blackboard.region)
            continue;
        const bool fresh = now - entry.madeAt < options.digestLifetime;
        for (const auto& it : entry.digest.contacts) {
            if (it.id == blackboard.self || table.find(it.id) != nullptr)
                continue;
            present.insert(it.id);
            blackboard.members.insert_or_assign(it.id,
                MemberState { .id = it.id,
                    .region = entry.digest.region,
                    .dataCentre = id,
                    .address = it.address,
                    .incarnation = it.incarnation,
                    .status = fresh ? MemberStatus::Alive : MemberStatus::Dead });
        }
    }
    for (const auto& it : contacts) {
        if (!present.contains(it))
            blackboard.members.erase(it);
    }
    contacts = std::move(present);
}

void MembershipController::State::updateSilentDataCentres(TimePoint now)
{
    std::vector<DataCentreId> expired;
    for (const auto& [id, entry] : digests.entries()) {
        const auto age = now - entry.madeAt;
        if (age >= options.deadRetention)
            expired.push_back(id);
        const bool isSilent = age >= options.digestLifetime && entry.digest.region != blackboard.region;
        if (isSilent && silentDataCentres.insert(id).second)
            changes.push_back({ Event::DataCentreSilent, id.text() });
        if (!isSilent && silentDataCentres.erase(id) > 0)
            changes.push_back({ Event::DataCentreHeard, id.text() });
    }
    for (const auto& it : expired) {
        digests.remove(it);
        silentDataCentres.erase(it);
    }
}

} // namespace lentilbay
