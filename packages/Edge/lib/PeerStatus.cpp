// Peer messages with cereal, and the table of daemons.
#include "lentilbay/Edge/PeerStatus.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>
#include <sstream>

namespace lentilbay::edge {

template <class Archive> void serialize(Archive& archive, PeerLoad& it) { archive(it.endpoint, it.inFlight); }

template <class Archive> void serialize(Archive& archive, PeerStatus::QuotaUse& it)
{
    archive(it.organisation, it.admittedTotal);
}

template <class Archive> void serialize(Archive& archive, PeerStatus::QuotaLevel& it)
{
    archive(it.level, it.inWindow);
}

template <class Archive> void serialize(Archive& archive, TableView& it)
{
    archive(it.coveredVersion, it.changedVersion, it.ageMicroseconds);
}

template <class Archive> void serialize(Archive& archive, StoreViews& it)
{
    archive(it.configuration, it.endpoints);
}

template <class Archive> void serialize(Archive& archive, PeerStatus& it)
{
    archive(it.daemon, it.incarnation, it.sequence, it.dataCentre, it.periodMilliseconds, it.isLeaving,
        it.echoedMicroseconds, it.echoedIncarnation, it.sentMicroseconds, it.views, it.loads, it.quotas,
        it.levels, it.countsAllUse);
}

namespace {

/// Tells our datagrams from strays; changes with their layout.
constexpr uint32_t magic = 0x4c42'5304;
/// A peer is silent when so many of its statuses are missing in a row.
constexpr double periodsToSilence = 3.5;
/// The longest period that is believed.
constexpr Duration longestPeriod = std::chrono::seconds(2);
/// A daemon that is silent for so long cannot use its share any more: it either lost the store too, and then
/// serves no keyed request, or it is gone.
constexpr Duration forgetAfter = std::chrono::seconds(30);
constexpr Duration forgetLeavingAfter = std::chrono::seconds(10);

} // namespace

std::string encodePeerStatus(const PeerStatus& status)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(magic, status);
    }
    return std::move(out).str();
}

Result<PeerStatus> decodePeerStatus(std::string_view datagram)
{
    try {
        std::istringstream in { std::string(datagram) };
        cereal::PortableBinaryInputArchive archive(in);
        uint32_t start = 0;
        PeerStatus out;
        archive(start);
        if (start != magic)
            return fail(ResultCode::MalformedRequest, "the datagram is no peer status");
        archive(out);
        return out;
    } catch (const std::exception& error) {
        return fail(ResultCode::MalformedRequest, error.what());
    }
}

void PeerTable::listed(const std::string& daemon, const std::string& host, uint16_t port, TimePoint now)
{
    if (daemon == m_self)
        return;
    auto [it, isNew] = m_peers.try_emplace(daemon);
    if (isNew)
        it->second.heardAt = now;
    if (isNew || it->second.isSilent) {
        it->second.host = host;
        it->second.port = port;
    }
}

bool PeerTable::heard(const PeerStatus& status, const std::string& host, uint16_t port, TimePoint now)
{
    if (status.daemon == m_self)
        return false;
    auto& peer = m_peers[status.daemon];
    if (status.incarnation == peer.incarnation && status.sequence <= peer.sequence)
        return false;
    peer = { .host = host,
        .port = port,
        .incarnation = status.incarnation,
        .sequence = status.sequence,
        .heardAt = now,
        .dataCentre = status.dataCentre,
        .period = std::min<Duration>(longestPeriod, std::chrono::milliseconds(status.periodMilliseconds)),
        .sentMicroseconds = status.sentMicroseconds,
        .isSilent = false,
        .isLeaving = status.isLeaving,
        .countsAllUse = status.countsAllUse };
    return true;
}

std::vector<std::string> PeerTable::step(TimePoint now)
{
    std::vector<std::string> out;
    std::erase_if(m_peers, [&](const auto& it) {
        return now - it.second.heardAt > (it.second.isLeaving ? forgetLeavingAfter : forgetAfter);
    });
    for (auto& [name, peer] : m_peers) {
        if (!peer.isSilent && now - peer.heardAt > fromSeconds(toSeconds(peer.period) * periodsToSilence)) {
            peer.isSilent = true;
            out.push_back(name);
        }
    }
    return out;
}

size_t PeerTable::silent() const
{
    return std::ranges::count_if(
        m_peers, [](const auto& it) { return it.second.isSilent && !it.second.isLeaving; });
}

} // namespace lentilbay::edge
