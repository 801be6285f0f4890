// Recomputes the owners of all endpoints when members or configuration change.
#include "lentilbay/Control/Ownership.h"

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Support/Hash.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace lentilbay {
namespace {

using Names = std::vector<std::string_view>;

/// Live daemons, grouped by the locations whose endpoints they can own.
struct Candidates {
    std::map<std::string_view, Names> byDataCentre;
    std::map<std::string_view, Names> byRegion;
    Names all;
    /// Data centres in other regions for which only some of the live daemons are known.
    std::set<std::string_view> partlyKnown;
};

bool mayOwn(const MemberState& member)
{
    return member.status == MemberStatus::Alive || member.status == MemberStatus::Suspect;
}

void addCandidate(Candidates& out, const MemberState& member)
{
    out.byDataCentre[member.dataCentre.text()].push_back(member.id.text());
    out.byRegion[member.region.text()].push_back(member.id.text());
    out.all.push_back(member.id.text());
}

Candidates candidatesOf(const Blackboard& blackboard)
{
    Candidates out;
    for (const auto& [id, member] : blackboard.members) {
        if (mayOwn(member))
            addCandidate(out, member);
    }
    for (const auto& digest : blackboard.remoteDataCentres) {
        if (digest.liveDaemons == 0)
            continue;
        if (digest.contacts.size() < digest.liveDaemons) {
            out.partlyKnown.insert(digest.dataCentre.text());
            continue;
        }
        auto& names = out.byDataCentre[digest.dataCentre.text()];
        for (const auto& contact : digest.contacts)
            names.push_back(contact.id.text());
        std::sort(names.begin(), names.end());
        auto& inRegion = out.byRegion[digest.region.text()];
        inRegion.insert(inRegion.end(), names.begin(), names.end());
    }
    if (!out.byDataCentre.empty() || !out.partlyKnown.empty())
        return out;
    // If no other daemon is left, leaving daemons stay owners so that they can finish their waiting requests.
    for (const auto& [id, member] : blackboard.members) {
        if (member.status == MemberStatus::Leaving)
            addCandidate(out, member);
    }
    return out;
}

const Names& namesFor(const Candidates& candidates, const Endpoint& endpoint)
{
    if (auto it = candidates.byDataCentre.find(endpoint.dataCentre.text());
        it != candidates.byDataCentre.end())
        return it->second;
    static const Names none;
    if (candidates.partlyKnown.contains(endpoint.dataCentre.text()))
        return none;
    if (auto it = candidates.byRegion.find(endpoint.region.text()); it != candidates.byRegion.end())
        return it->second;
    return candidates.all;
}

Distance distanceBetween(const Blackboard& blackboard, const Endpoint& endpoint)
{
    if (endpoint.dataCentre == blackboard.dataCentre)
        return Distance::SameDataCentre;
    return endpoint.region == blackboard.region ? Distance::SameRegion : Distance::OtherRegion;
}

uint64_t hashOfNames(const Names& names, uint64_t seed)
{
    for (const auto& name : names)
        seed = hashOf(name, seed + 1);
    return seed;
}

uint64_t hashOfMember(const MemberState& member, uint64_t seed)
{
    return hashOf(member.dataCentre.text(), hashOf(member.id.text(), seed + 1));
}

/// Hashes all inputs of the owner computation except the configuration. Runs in each step and therefore
/// allocates nothing.
uint64_t hashOfMembers(const Blackboard& blackboard)
{
    uint64_t live = 1;
    uint64_t leaving = 1;
    for (const auto& [id, member] : blackboard.members) {
        if (mayOwn(member))
            live = hashOfMember(member, live);
        else if (member.status == MemberStatus::Leaving)
            leaving = hashOfMember(member, leaving);
    }
    bool noneLive = live == 1;
    uint64_t out = live;
    for (const auto& digest : blackboard.remoteDataCentres) {
        if (digest.liveDaemons == 0)
            continue;
        noneLive = false;
        out = hashOf(digest.dataCentre.text(), out + (digest.contacts.size() < digest.liveDaemons ? 1 : 2));
        for (const auto& contact : digest.contacts)
            out = hashOf(contact.address, hashOf(contact.id.text(), out));
    }
    return noneLive ? hashOf("leaving", leaving) : out;
}

} // namespace

bool Ownership::refresh(const Blackboard& blackboard)
{
    const auto membersHash = hashOfMembers(blackboard);
    if (membersHash == m_membersHash && m_configuration == blackboard.configuration)
        return false;
    const auto candidates = candidatesOf(blackboard);
    m_membersHash = membersHash;
    m_configuration = blackboard.configuration;
    updateLocations(blackboard);
    m_viewHashes.clear();
    for (const auto& [dataCentre, names] : candidates.byDataCentre)
        m_viewHashes[DataCentreId(std::string(dataCentre))] = hashOfNames(names, 0);
    m_owners.clear();
    m_distances.clear();
    m_byOwner.clear();
    for (size_t i = 0; i < blackboard.endpoints.size(); ++i) {
        const auto& endpoint = blackboard.endpoints[i].endpoint;
        const auto& names = namesFor(candidates, endpoint);
        const auto owner = rendezvousOwner(endpoint.name.text(), names);
        m_owners.push_back(owner < names.size() ? DaemonId(std::string(names[owner])) : DaemonId());
        m_distances.push_back(distanceBetween(blackboard, endpoint));
        if (!m_owners.back().empty())
            m_byOwner[m_owners.back()].push_back(i);
    }
    return true;
}

void Ownership::updateLocations(const Blackboard& blackboard)
{
    m_dataCentres.clear();
    m_addresses.clear();
    for (const auto& [id, member] : blackboard.members)
        m_dataCentres[id] = member.dataCentre;
    for (const auto& digest : blackboard.remoteDataCentres) {
        for (const auto& contact : digest.contacts) {
            m_dataCentres[contact.id] = digest.dataCentre;
            m_addresses[contact.id] = contact.address;
        }
    }
}

std::string Ownership::addressOf(const DaemonId& owner) const
{
    auto it = m_addresses.find(owner);
    return it == m_addresses.end() ? std::string() : it->second;
}

DataCentreId Ownership::dataCentreOf(const DaemonId& daemon) const
{
    auto it = m_dataCentres.find(daemon);
    return it == m_dataCentres.end() ? DataCentreId() : it->second;
}

const std::vector<size_t>& Ownership::endpointsOf(const DaemonId& owner) const
{
    static const std::vector<size_t> none;
    auto it = m_byOwner.find(owner);
    return it == m_byOwner.end() ? none : it->second;
}

uint64_t Ownership::viewHash(const DataCentreId& dataCentre) const
{
    auto it = m_viewHashes.find(dataCentre);
    return it == m_viewHashes.end() ? 0 : it->second;
}

} // namespace lentilbay
