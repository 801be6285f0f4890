// Serialisation of heartbeats with cereal, and the table of peers.
#include "lentilbay/Edge/PeerHeartbeat.h"

#include "CompactFields.h"
#include "EdgeTimes.h"

#include <algorithm>
#include <cereal/types/array.hpp>
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

template <class Archive> void serialize(Archive& archive, PeerHeartbeat::Summary& it)
{
    const auto element = [&](auto& value) { archive(value); };
    compact::integer(archive, it.count);
    compact::list(archive, it.loads, element);
    compact::list(archive, it.quotas, element);
}

template <class Archive> void serialize(Archive& archive, PeerHeartbeat::Member& it)
{
    compact::flags(archive, it.isLeaving, it.isPartitioned, it.isOutdated, it.countsAllUse);
    compact::text(archive, it.daemon);
    compact::text(archive, it.host);
    compact::integerAs(archive, it.port);
    archive(it.incarnation);
    compact::integer(archive, it.sequence);
    compact::integerAs(archive, it.sentMicroseconds);
    compact::integer(archive, it.configurationVersion);
    compact::integerAs(archive, it.capacity);
    compact::integerAs(archive, it.revision);
    it.revision = std::min(it.revision, newestWireRevision);
}

template <class Archive> void serialize(Archive& archive, PeerHeartbeat::DataCentreMembers& it)
{
    compact::text(archive, it.dataCentre);
    compact::integerAs(archive, it.periodMilliseconds);
    compact::list(archive, it.daemons, [&](auto& value) { archive(value); });
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

template <class Archive> void witness(Archive& archive, EndpointWitness& it)
{
    bool hasFailed = it.daemons > 0;
    bool isHeard = it.heardAge >= 0;
    bool hasBadAnswers = it.badAnswerAge >= 0;
    compact::flags(archive, hasFailed, isHeard, hasBadAnswers);
    if (hasFailed) {
        compact::integerAs(archive, it.daemons);
        compact::integerAs(archive, it.dataCentres);
        compact::age(archive, it.failureAge);
        compact::age(archive, it.streakAge);
    }
    if (isHeard)
        compact::age(archive, it.heardAge);
    if (hasBadAnswers)
        compact::age(archive, it.badAnswerAge);
}

template <class Archive> void failureReport(Archive& archive, EndpointFailureReport& it)
{
    archive(it.endpoint);
    compact::integer(archive, it.startedAtMilliseconds);
    witness(archive, it.nearby);
    witness(archive, it.elsewhere);
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

namespace {

/// The start of each heartbeat, followed in the lowest byte by the number of the body's layout.
constexpr uint32_t magic = 0x4c42'5300;
constexpr uint32_t layoutMask = 0xff;
constexpr uint32_t firstLayout = 0x0a;
constexpr uint32_t lastLayout = 0x0c;

/// The layout of the body that a build of this revision reads.
uint32_t layoutFor(WireRevision revision)
{
    return std::min(firstLayout + static_cast<uint32_t>(revision), lastLayout);
}

template <class Archive> void serializeBody(Archive& archive, PeerHeartbeat& it, uint32_t layout)
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
    if (layout >= layoutFor(WireRevision::ConfigurationVersion))
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

/// Drops what a build that lacks limits on rejections would misread.
void dropRejectionLimits(PeerHeartbeat& heartbeat)
{
    for (auto& it : heartbeat.signals) {
        it.signals.maxRejectionsPerSecond.reset();
        it.rejectionLimitAgeMicroseconds = -1;
    }
}

/// Tags of the sections after the body; never used again for anything else.
enum class Section : uint64_t {
    /// WireRevision of the sender.
    Revision = 1,
    Capacity = 2,
    Summary = 3,
    IncludedSequence = 4,
    Members = 5,
    /// QuotaLevel::inParts of each level in the body.
    WindowParts = 6,
    EndpointReports = 7,
};

template <class Archive> void writeSection(Archive& archive, Section tag, std::string content)
{
    auto number = static_cast<uint64_t>(tag);
    compact::integer(archive, number);
    compact::text(archive, content);
}

template <class Write> std::string encoded(Write write)
{
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        write(archive);
    }
    // An archive starts with a byte for the order of bytes, which the heartbeat's own archive states already.
    return std::move(out).str().substr(1);
}

std::string encodedNumber(uint64_t value)
{
    return encoded([&](auto& archive) { compact::integer(archive, value); });
}

template <class Read> void decodeContent(const std::string& content, Read read)
{
    // The byte for the order of bytes: little-endian.
    std::istringstream in { std::string(1, '\1') + content };
    cereal::PortableBinaryInputArchive archive(in);
    read(archive);
}

template <class T> T decodedNumber(const std::string& content)
{
    uint64_t out = 0;
    decodeContent(content, [&](auto& archive) { compact::integer(archive, out); });
    return static_cast<T>(out);
}

template <class Archive> void readSection(Archive& archive, PeerHeartbeat& out)
{
    uint64_t tag = 0;
    std::string content;
    compact::integer(archive, tag);
    compact::text(archive, content);
    switch (static_cast<Section>(tag)) {
    case Section::Revision:
        // A later revision that this build does not know includes all that it knows.
        if (!content.empty())
            out.revision
                = std::min(newestWireRevision, WireRevision { static_cast<uint8_t>(content.front()) });
        break;
    case Section::Capacity:
        out.capacity = decodedNumber<uint32_t>(content);
        break;
    case Section::Summary:
        decodeContent(content, [&](auto& contents) { contents(out.summary); });
        out.hasSummary = true;
        break;
    case Section::IncludedSequence:
        out.includedSequence = decodedNumber<uint64_t>(content);
        break;
    case Section::Members:
        decodeContent(content, [&](auto& contents) {
            compact::list(contents, out.members, [&](auto& value) { contents(value); });
        });
        break;
    case Section::WindowParts:
        decodeContent(content, [&](auto& contents) {
            for (auto& it : out.levels)
                contents(it.inParts);
        });
        break;
    case Section::EndpointReports:
        decodeContent(content, [&](auto& contents) {
            compact::list(contents, out.failures, [&](auto& value) { failureReport(contents, value); });
        });
        break;
    }
}

/// A peer is silent after this many missing heartbeats in a row.
constexpr double silentAfterPeriods = 3.5;
/// A peer does not hear this daemon after so many of its heartbeats in a row that echo nothing new: besides
/// those that may be lost, one crosses the heartbeat that it would echo.
constexpr double unheardAfterPeriods = silentAfterPeriods + 1;
/// Upper bound of the period that a peer may announce.
constexpr Duration maxPeriod = std::chrono::seconds(2);
/// A daemon that has been silent for this long can no longer use its quota share: either it lost the store as
/// well and serves no request with a key, or it is gone.
constexpr Duration forgetAfter = std::chrono::seconds(30);
constexpr Duration forgetLeavingAfter = std::chrono::seconds(10);
/// A daemon that was silent for less may still send to endpoints.
constexpr Duration sendsAfterSilence = std::chrono::seconds(5);

} // namespace

std::string encodeSharedSections(
    const PeerHeartbeat::Summary& summary, const std::vector<PeerHeartbeat::DataCentreMembers>& members)
{
    return encoded([&](auto& archive) {
        writeSection(archive, Section::Summary, encoded([&](auto& contents) {
            auto copy = summary;
            contents(copy);
        }));
        if (!members.empty())
            writeSection(archive, Section::Members, encoded([&](auto& contents) {
                auto copy = members;
                compact::list(contents, copy, [&](auto& value) { contents(value); });
            }));
    });
}

std::string encodePeerHeartbeat(
    const PeerHeartbeat& heartbeat, WireRevision receiver, std::string_view sharedSections)
{
    const auto layout = layoutFor(receiver);
    auto body = heartbeat;
    if (receiver < WireRevision::RejectionLimits)
        dropRejectionLimits(body);
    std::ostringstream out;
    {
        cereal::PortableBinaryOutputArchive archive(out);
        archive(magic | layout);
        serializeBody(archive, body, layout);
        if (receiver >= WireRevision::Sections)
            writeSection(archive, Section::Revision, std::string(1, static_cast<char>(heartbeat.revision)));
        const bool hasParts = std::ranges::any_of(body.levels, [](const auto& it) {
            return std::ranges::any_of(it.inParts, [](float part) { return part != 0; });
        });
        if (receiver >= WireRevision::WindowParts && hasParts)
            writeSection(archive, Section::WindowParts, encoded([&](auto& contents) {
                for (auto& it : body.levels)
                    contents(it.inParts);
            }));
        if (receiver >= WireRevision::EndpointReports && !body.failures.empty())
            writeSection(archive, Section::EndpointReports, encoded([&](auto& contents) {
                compact::list(contents, body.failures, [&](auto& value) { failureReport(contents, value); });
            }));
        if (usesSummaries(receiver)) {
            if (heartbeat.capacity != 0)
                writeSection(archive, Section::Capacity, encodedNumber(heartbeat.capacity));
            if (heartbeat.includedSequence != 0)
                writeSection(archive, Section::IncludedSequence, encodedNumber(heartbeat.includedSequence));
        }
    }
    auto datagram = std::move(out).str();
    if (usesSummaries(receiver) && !sharedSections.empty())
        datagram += sharedSections;
    else if (usesSummaries(receiver) && heartbeat.hasSummary)
        datagram += encodeSharedSections(heartbeat.summary, heartbeat.members);
    return datagram;
}

Result<PeerHeartbeat> decodePeerHeartbeat(std::string_view datagram)
{
    try {
        std::istringstream in { std::string(datagram) };
        cereal::PortableBinaryInputArchive archive(in);
        uint32_t start = 0;
        PeerHeartbeat out;
        archive(start);
        const auto layout = start & layoutMask;
        if ((start & ~layoutMask) != magic || layout < firstLayout || layout > lastLayout)
            return fail(ResultCode::MalformedRequest, "datagram is not a heartbeat of a known layout");
        out.revision = static_cast<WireRevision>(layout - firstLayout);
        serializeBody(archive, out, layout);
        while (in.peek() != std::istringstream::traits_type::eof())
            readSection(archive, out);
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
    const bool isKnown = heartbeat.incarnation == peer.incarnation && !peer.isSilent;
    const auto echoedAt = isKnown ? peer.echoedAt.value_or(now) : now;
    peer = { .host = host,
        .port = port,
        .incarnation = heartbeat.incarnation,
        .sequence = heartbeat.sequence,
        .lastHeardAt = now,
        .dataCentre = heartbeat.dataCentre,
        .period = std::min<Duration>(maxPeriod, std::chrono::milliseconds(heartbeat.periodMilliseconds)),
        .sentMicroseconds = heartbeat.sentMicroseconds,
        .echoedAt = echoedAt,
        .isSilent = false,
        .isLeaving = heartbeat.isLeaving,
        .isPartitioned = heartbeat.isPartitioned,
        .isOutdated = heartbeat.isOutdated,
        .countsAllUse = heartbeat.countsAllUse,
        .revision = heartbeat.revision,
        .configurationVersion = heartbeat.configurationVersion,
        .capacity = heartbeat.capacity };
    return true;
}

void PeerTable::recordEcho(const std::string& daemon, TimePoint sentAt)
{
    if (const auto it = m_peers.find(daemon); it != m_peers.end() && it->second.echoedAt)
        it->second.echoedAt = std::max(*it->second.echoedAt, sentAt);
}

bool PeerTable::recordMember(
    const PeerHeartbeat::Member& member, const std::string& dataCentre, Duration period, TimePoint now)
{
    if (member.daemon == m_self || member.incarnation == 0)
        return false;
    auto& peer = m_peers[member.daemon];
    // Incarnations have no order: a daemon that is heard is believed before what is said of a former process.
    const bool isFormer = !peer.isSilent && peer.incarnation != 0 && peer.incarnation != member.incarnation;
    if (isFormer || (member.incarnation == peer.incarnation && member.sequence <= peer.sequence))
        return false;
    peer = { .host = member.host,
        .port = member.port,
        .incarnation = member.incarnation,
        .sequence = member.sequence,
        .lastHeardAt = now,
        .dataCentre = dataCentre,
        .period = std::min<Duration>(maxPeriod, period),
        .sentMicroseconds = member.sentMicroseconds,
        .isSilent = false,
        .isLeaving = member.isLeaving,
        .isPartitioned = member.isPartitioned,
        .isOutdated = member.isOutdated,
        .countsAllUse = member.countsAllUse,
        .revision = member.revision,
        .configurationVersion = member.configurationVersion,
        .capacity = member.capacity };
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

QuotaParticipants PeerTable::quotaParticipants(TimePoint now) const
{
    // All daemons of a small fleet send heartbeats to each other; see PeerSummaries.
    const bool isSmall = knownDaemons() <= smallFleetSize;
    QuotaParticipants out { .known = knownDaemons(),
        .reportInterval = isSmall ? heartbeatPeriod : otherRegionHeartbeatPeriod };
    for (const auto& [name, peer] : m_peers) {
        if (peer.isLeaving)
            continue;
        const double period = toSeconds(peer.period);
        // This daemon may have stood still since it last looked for silent peers.
        const bool isSilent
            = peer.isSilent || now - peer.lastHeardAt > fromSeconds(period * silentAfterPeriods);
        const auto echoedAt = isSmall ? peer.echoedAt.value_or(peer.lastHeardAt) : peer.lastHeardAt;
        const bool isUnheard = now - echoedAt > fromSeconds(period * unheardAfterPeriods);
        if (!isSilent && !isUnheard)
            continue;
        ++out.silent;
        if (peer.incarnation != 0)
            out.silentSince.push_back(std::min(peer.lastHeardAt, echoedAt));
    }
    return out;
}

std::map<WireRevision, size_t> PeerTable::daemonsByRevision() const
{
    std::map<WireRevision, size_t> out;
    for (const auto& [name, peer] : m_peers) {
        if (peer.incarnation != 0)
            ++out[peer.revision];
    }
    return out;
}

} // namespace lentilbay::edge
