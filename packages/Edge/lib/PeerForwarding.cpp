// Header fields between daemons, and the choice of the peer to forward to.
#include "lentilbay/Edge/PeerForwarding.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace lentilbay::edge {
namespace {

constexpr std::string_view daemonName = "Lentilbay-Forwarded-By";
constexpr std::string_view serviceName = "Lentilbay-Service";
constexpr std::string_view versionName = "Lentilbay-Software-Version";
constexpr std::string_view notExecutedName = "Lentilbay-Not-Executed";
constexpr std::string_view notSentName = "Lentilbay-Not-Sent";
constexpr std::string_view endpointName = "Lentilbay-Endpoint";
constexpr std::string_view unverifiedName = "Lentilbay-Unverified";
constexpr std::array<std::string_view, 7> names { daemonName, serviceName, versionName, notExecutedName,
    notSentName, endpointName, unverifiedName };
constexpr int hexadecimal = 16;
/// The requests in flight that make up for the distance to a peer.
constexpr double otherDataCentreCost = 2;
constexpr double otherRegionCost = 4;
/// More than all of them together.
constexpr double outdatedCost = 1e6;

std::optional<uint64_t> versionOf(const http::Headers& headers)
{
    const auto* value = headers.find(versionName);
    if (!value)
        return std::nullopt;
    uint64_t out = 0;
    const auto* end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, out, hexadecimal);
    return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(out) : std::nullopt;
}

std::string textOf(const http::Headers& headers, std::string_view name)
{
    const auto* value = headers.find(name);
    return value ? *value : std::string();
}

void addVersion(http::Headers& headers, std::optional<uint64_t> version)
{
    if (version)
        headers.add(versionName, fmt::format("{:x}", *version));
}

EndpointId relayId(const std::string& daemon) { return EndpointId("daemon/" + daemon); }

} // namespace

void addForwardingFields(http::Headers& headers, const ForwardedRequest& request)
{
    headers.add(daemonName, request.daemon);
    headers.add(serviceName, request.service.text());
    addVersion(headers, request.version);
    if (request.isUnverified)
        headers.add(unverifiedName, "1");
}

void addForwardingFields(http::Headers& headers, const ForwardedAnswer& answer)
{
    if (answer.wasNotExecuted)
        headers.add(notExecutedName, "1");
    if (answer.wasNotSent)
        headers.add(notSentName, "1");
    if (!answer.endpoint.empty())
        headers.add(endpointName, answer.endpoint);
    addVersion(headers, answer.version);
}

std::optional<ForwardedRequest> forwardedRequestOf(const http::Headers& headers)
{
    if (!headers.contains(daemonName))
        return std::nullopt;
    return ForwardedRequest { .daemon = textOf(headers, daemonName),
        .service = ServiceId(textOf(headers, serviceName)),
        .version = versionOf(headers),
        .isUnverified = headers.contains(unverifiedName) };
}

ForwardedAnswer forwardedAnswerOf(const http::Headers& headers)
{
    return { .wasNotExecuted = headers.contains(notExecutedName),
        .wasNotSent = headers.contains(notExecutedName) && headers.contains(notSentName),
        .endpoint = textOf(headers, endpointName),
        .version = versionOf(headers) };
}

std::string refusalBody(ResultCode code) { return printed(code) + "\n"; }

std::optional<ResultCode> keyRefusalOf(std::string_view body)
{
    for (const auto code : { ResultCode::MissingKey, ResultCode::UnknownKey, ResultCode::TokenRateLimit,
             ResultCode::KeysUnverifiable }) {
        if (body == refusalBody(code))
            return code;
    }
    return std::nullopt;
}

void removeForwardingFields(http::Headers& headers)
{
    for (const auto it : names)
        headers.remove(it);
}

void PeerRelays::update(const PeerTable& peers)
{
    for (auto& [id, it] : m_relays)
        it.isListed = false;
    size_t near = 0;
    // This daemon forwards as well.
    size_t nearPartitioned = 1;
    for (const auto& [name, peer] : peers.peers()) {
        if (peer.isSilent || peer.incarnation == 0)
            continue;
        const auto id = relayId(name);
        auto& relay = m_relays[id];
        relay.isListed = true;
        relay.isUsable = !peer.isLeaving && !peer.isPartitioned && servesForwardedRequests(peer.revision);
        relay.isOutdated = peer.isOutdated;
        relay.verifiesKeys = !peer.isOutdated && verifiesForwardedKeys(peer.revision);
        if (peer.dataCentre == m_topology.ownDataCentre.text()) {
            near += relay.isUsable ? 1 : 0;
            nearPartitioned += peer.isPartitioned ? 1 : 0;
        }
        if (relay.state && relay.state->entry().host == peer.host && relay.state->entry().port == peer.port
            && relay.state->entry().dataCentre.text() == peer.dataCentre)
            continue;
        RoutedEndpoint entry { .id = id,
            .host = peer.host,
            .port = peer.port,
            .dataCentre = DataCentreId(peer.dataCentre),
            .slots = std::numeric_limits<decltype(RoutedEndpoint::slots)>::max() };
        if (relay.state)
            relay.state->updateEntry(std::move(entry));
        else
            relay.state = std::make_shared<EndpointState>(std::move(entry));
    }
    std::erase_if(m_relays, [](const auto& it) { return !it.second.isListed; });
    m_usable = std::ranges::count_if(m_relays, [](const auto& it) { return it.second.isUsable; });
    m_hasRecent = std::ranges::any_of(
        m_relays, [](const auto& it) { return it.second.isUsable && !it.second.isOutdated; });
    m_nearFraction = static_cast<double>(near) / static_cast<double>(near + nearPartitioned);
}

std::shared_ptr<EndpointState> PeerRelays::choose(
    const std::vector<EndpointId>& tried, Random& random, bool verifiesKeys) const
{
    std::shared_ptr<EndpointState> out;
    double least = 0;
    for (const auto& [id, it] : m_relays) {
        if (!it.isUsable || (verifiesKeys && !it.verifiesKeys) || std::ranges::find(tried, id) != tried.end())
            continue;
        const auto locality = m_topology.localityOf(it.state->entry().dataCentre);
        const double distance = locality == Locality::OwnDataCentre ? 0
            : locality == Locality::OwnRegion                       ? otherDataCentreCost
                                                                    : otherRegionCost;
        const double cost = it.state->ownInFlight() + distance * m_nearFraction + random.fraction()
            + (it.isOutdated ? outdatedCost : 0);
        if (!out || cost < least) {
            out = it.state;
            least = cost;
        }
    }
    return out;
}

bool PeerRelays::isAlive(const EndpointId& peer) const { return m_relays.contains(peer); }

} // namespace lentilbay::edge
