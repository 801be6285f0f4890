// Serialisation of heartbeats with cereal, and the table of peers.
#include "lentilbay/Edge/PeerHeartbeat.h"

#include "CompactFields.h"

#include <algorithm>
#include <sstream>

namespace lentilbay::edge {

template <class Archive> void serialize(Archive& archive, PeerLoad& it)
{
    archive(it.endpoint);
    compact::integerAs(archive, it.inFlight);
}

template <class Archive> void serialize(Archive& archive, PeerHeartbeat::QuotaUse& it)
{
    archive(it.organisation);
    compact::number(archive, it.admittedTotal);
}

template <class Archive> void serialize(Archive& archive, PeerHeartbeat::QuotaLevel& it)
{
    archive(it.level, it.inWindow);
}

template <class Archive> void serialize(Archive& archive, TableView& it)
{
    compact::integer(archive, it.coveredVersion);
    compact::integer(archive, it.changedVersion);
    compact::age(archive, it.ageMicroseconds);
}

template <class Archive> void serialize(Archive& archive, StoreViews& it)
{
    compact::integer(archive, it.era);
    archive(it.configuration, it.endpoints);
}

template <class Archive> void serialize(Archive& archive, SignalReport& it)
{
    bool hasLimit = it.signals.maxRequestsPerSecond.has_value();
    bool hasRejectionLimit = it.signals.maxRejectionsPerSecond.has_value();
    bool statesRejections = it.rejectionLimitAgeMicroseconds >= 0;
    compact::flags(archive, hasLimit, it.signals.isLeaving, hasRejectionLimit, statesRejections);
    archive(it.endpoint);
    compact::integer(archive, it.startedAtMilliseconds);
    if (hasLimit) {
        auto limit = it.signals.maxRequestsPerSecond.value_or(0);
        compact::number(archive, limit);
        it.signals.maxRequestsPerSecond = limit;
    }
    compact::age(archive, it.ageMicroseconds);
    compact::age(archive, it.sentAgeMicroseconds);
    if (hasRejectionLimit) {
        auto limit = it.signals.maxRejectionsPerSecond.value_or(0);
        compact::number(archive, limit);
        it.signals.maxRejectionsPerSecond = limit;
    }
    if (statesRejections) {
        compact::age(archive, it.rejectionLimitAgeMicroseconds);
        compact::age(archive, it.rejectionLimitSentAgeMicroseconds);
        compact::age(archive, it.rejectedAgeMicroseconds);
    }
}

template <class Archive> void serialize(Archive& archive, TriggerReport::Crash& it)
{
    archive(it.endpoint);
    compact::age(archive, it.ageMicroseconds);
}

template <class Archive> void serialize(Archive& archive, TriggerReport& it)
{
    bool hasOrganisation = it.organisation != 0;
    bool hasTrials = it.trials != 0;
    compact::flags(
        archive, hasOrganisation, hasTrials, it.hasSeveralOrganisations, it.isBlocked, it.isKnownSound);
    archive(it.trigger);
    if (hasOrganisation)
        archive(it.organisation);
    compact::list(archive, it.crashes, [&](auto& crash) { archive(crash); });
    compact::age(archive, it.lastCrashAgeMicroseconds);
    compact::age(archive, it.answeredAgeMicroseconds);
    if (hasTrials) {
        compact::integerAs(archive, it.trials);
        compact::age(archive, it.trialAgeMicroseconds);
    }
}

template <class Archive> void serialize(Archive& archive, PeerHeartbeat& it)
{
    const auto element = [&](auto& value) { archive(value); };
    bool hasViews = it.views.has_value();
    compact::flags(archive, it.isLeaving, it.countsAllUse, hasViews, it.isPartitioned, it.isOutdated);
    compact::text(archive, it.daemon);
    archive(it.incarnation);
    compact::integer(archive, it.sequence);
    compact::text(archive, it.dataCentre);
    compact::integerAs(archive, it.periodMilliseconds);
    compact::integerAs(archive, it.echoedMicroseconds);
    archive(it.echoedIncarnation);
    compact::integerAs(archive, it.sentMicroseconds);
    compact::integer(archive, it.configurationVersion);
    if (hasViews) {
        auto views = it.views.value_or(StoreViews {});
        archive(views);
        it.views = views;
    }
    compact::list(archive, it.loads, element);
    compact::list(archive, it.quotas, element);
    compact::list(archive, it.levels, element);
    compact::list(archive, it.signals, element);
    compact::list(archive, it.triggers, element);
}

namespace {

/// Identifies heartbeat datagrams and their version; changes with the layout.
constexpr uint32_t magic = 0x4c42'530c;
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
        .isPartitioned = heartbeat.isPartitioned,
        .isOutdated = heartbeat.isOutdated,
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
        if (!peer.isLeaving && !peer.isPartitioned && peer.incarnation != 0
            && now - peer.lastHeardAt < sendsAfterSilence)
            out.push_back({ .name = name, .dataCentre = DataCentreId(peer.dataCentre) });
    }
    return out;
}

size_t PeerTable::partitionedDaemons() const
{
    return std::ranges::count_if(m_peers, [](const auto& it) { return it.second.isPartitioned; });
}

size_t PeerTable::silentDaemons() const
{
    return std::ranges::count_if(
        m_peers, [](const auto& it) { return it.second.isSilent && !it.second.isLeaving; });
}

} // namespace lentilbay::edge
