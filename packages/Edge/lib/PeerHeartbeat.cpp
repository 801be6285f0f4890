// Serialisation of heartbeats with cereal, and the table of peers.
#include "lentilbay/Edge/PeerHeartbeat.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace lentilbay::edge {

template <class Archive> void serialize(Archive& archive, PeerLoad& it) { archive(it.endpoint, it.inFlight); }

template <class Archive> void serialize(Archive& archive, PeerHeartbeat::QuotaUse& it)
{
    archive(it.organisation, it.admittedTotal);
}

template <class Archive> void serialize(Archive& archive, PeerHeartbeat::QuotaLevel& it)
{
    archive(it.level, it.inWindow);
}

template <class Archive> void serialize(Archive& archive, TableView& it)
{
    archive(it.coveredVersion, it.changedVersion, it.ageMicroseconds);
}

template <class Archive> void serialize(Archive& archive, StoreViews& it)
{
    archive(it.era, it.configuration, it.endpoints);
}

template <class Archive> void serialize(Archive& archive, SignalReport& it)
{
    archive(it.endpoint, it.startedAtMilliseconds, it.signals.maxRequestsPerSecond, it.signals.isLeaving,
        it.ageMicroseconds, it.sentAgeMicroseconds);
}

template <class Archive> void serialize(Archive& archive, TriggerReport::Crash& it)
{
    archive(it.endpoint, it.ageMicroseconds);
}

template <class Archive> void serialize(Archive& archive, TriggerReport& it)
{
    archive(it.trigger, it.organisation, it.hasSeveralOrganisations, it.isBlocked, it.isKnownSound,
        it.crashes, it.lastCrashAgeMicroseconds, it.answeredAgeMicroseconds, it.trials,
        it.trialAgeMicroseconds);
}

template <class Archive> void serialize(Archive& archive, PeerHeartbeat& it)
{
    archive(it.daemon, it.incarnation, it.sequence, it.dataCentre, it.periodMilliseconds, it.isLeaving,
        it.echoedMicroseconds, it.echoedIncarnation, it.sentMicroseconds, it.views, it.loads, it.quotas,
        it.levels, it.signals, it.triggers, it.countsAllUse);
}

namespace {

/// Identifies heartbeat datagrams and their version; changes with the layout.
constexpr uint32_t magic = 0x4c42'5309;
/// A peer is silent after this many missing heartbeats in a row.
constexpr double silentAfterPeriods = 3.5;
/// Upper bound of the period that a peer may announce.
constexpr Duration maxPeriod = std::chrono::seconds(2);
/// A daemon that has been silent for this long can no longer use its quota share: either it lost the store as
/// well and serves no request with a key, or it is gone.
constexpr Duration forgetAfter = std::chrono::seconds(30);
constexpr Duration forgetLeavingAfter = std::chrono::seconds(10);
/// A daemon that was silent for less may still send to endpoints.
constexpr Duration sendsAfterSilence = std::chrono::seconds(5);

} // namespace

std::string encodePeerHeartbeat(const PeerHeartbeat& heartbeat)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(magic, heartbeat);
    }
    return std::move(out).str();
}

Result<PeerHeartbeat> decodePeerHeartbeat(std::string_view datagram)
{
    try {
        std::istringstream in { std::string(datagram) };
        cereal::PortableBinaryInputArchive archive(in);
        uint32_t start = 0;
        PeerHeartbeat out;
        archive(start);
        if (start != magic)
            return fail(ResultCode::MalformedRequest, "datagram is not a heartbeat of this version");
        archive(out);
        return out;
    } catch (const std::exception& error) {
        return fail(ResultCode::MalformedRequest, error.what());
    }
}

void PeerTable::addListed(const std::string& daemon, const std::string& host, uint16_t port, TimePoint now)
{
    if (daemon == m_self)
        return;
    auto [it, isNew] = m_peers.try_emplace(daemon);
    if (isNew)
        it->second.lastHeardAt = now;
    if (isNew || it->second.isSilent) {
        it->second.host = host;
        it->second.port = port;
    }
}

bool PeerTable::recordHeartbeat(
    const PeerHeartbeat& heartbeat, const std::string& host, uint16_t port, TimePoint now)
{
    if (heartbeat.daemon == m_self)
        return false;
    auto& peer = m_peers[heartbeat.daemon];
    if (heartbeat.incarnation == peer.incarnation && heartbeat.sequence <= peer.sequence)
        return false;
    peer = { .host = host,
        .port = port,
        .incarnation = heartbeat.incarnation,
        .sequence = heartbeat.sequence,
        .lastHeardAt = now,
        .dataCentre = heartbeat.dataCentre,
        .period = std::min<Duration>(maxPeriod, std::chrono::milliseconds(heartbeat.periodMilliseconds)),
        .sentMicroseconds = heartbeat.sentMicroseconds,
        .isSilent = false,
        .isLeaving = heartbeat.isLeaving,
        .countsAllUse = heartbeat.countsAllUse };
    return true;
}

std::vector<std::string> PeerTable::detectSilent(TimePoint now)
{
    std::vector<std::string> out;
    std::erase_if(m_peers, [&](const auto& it) {
        return now - it.second.lastHeardAt > (it.second.isLeaving ? forgetLeavingAfter : forgetAfter);
    });
    for (auto& [name, peer] : m_peers) {
        if (!peer.isSilent
            && now - peer.lastHeardAt > fromSeconds(toSeconds(peer.period) * silentAfterPeriods)) {
            peer.isSilent = true;
            out.push_back(name);
        }
    }
    return out;
}

std::vector<SendingDaemon> PeerTable::sendingDaemons(TimePoint now) const
{
    std::vector<SendingDaemon> out;
    for (const auto& [name, peer] : m_peers) {
        if (!peer.isLeaving && peer.incarnation != 0 && now - peer.lastHeardAt < sendsAfterSilence)
            out.push_back({ .name = name, .dataCentre = DataCentreId(peer.dataCentre) });
    }
    return out;
}

size_t PeerTable::silentDaemons() const
{
    return std::ranges::count_if(
        m_peers, [](const auto& it) { return it.second.isSilent && !it.second.isLeaving; });
}

} // namespace lentilbay::edge
