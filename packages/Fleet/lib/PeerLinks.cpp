// Batches messages into packets, enforces the byte budgets, and counts the traffic of each class of links.
#include "lentilbay/Fleet/PeerLinks.h"

#include "PeerStreams.h"

#include "lentilbay/Support/SteadyClock.h"

#include <asio/ip/udp.hpp>
#include <deque>
#include <fmt/format.h>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>

namespace lentilbay {
namespace {

using asio::ip::tcp;
using asio::ip::udp;

/// UDP and IPv4 headers.
constexpr size_t datagramOverhead = 28;
constexpr size_t receiveBufferBytes = 65536;
/// Datagrams read before control returns to the event loop.
constexpr int maxDatagramsPerTurn = 64;
constexpr size_t maxDeferred = 256;
constexpr size_t maxKnownVersions = 4096;
constexpr uint64_t minBurstBytes = 4096;

std::optional<asio::ip::udp::endpoint> endpointOf(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    auto host = address.substr(0, colon);
    if (host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    asio::error_code ec;
    const auto ip = asio::ip::make_address(host, ec);
    const auto port = std::atoi(address.c_str() + colon + 1);
    if (ec || port <= 0 || port > 65535)
        return std::nullopt;
    return udp::endpoint(ip, static_cast<uint16_t>(port));
}

std::string printedEndpoint(const udp::endpoint& endpoint)
{
    const auto host = endpoint.address().to_string();
    return endpoint.address().is_v6() ? fmt::format("[{}]:{}", host, endpoint.port())
                                      : fmt::format("{}:{}", host, endpoint.port());
}

/// Whether the message can be delayed by a few seconds without consequences.
bool isDeferrable(const PeerMessage& message)
{
    return std::holds_alternative<DigestGossip>(message) || std::holds_alternative<StateExchange>(message);
}

} // namespace

struct PeerLinks::State : std::enable_shared_from_this<State> {
    using Batches = std::map<std::string, std::pair<DaemonId, std::vector<PeerMessage>>>;

    State(asio::io_context& context, const Blackboard& board, PeerLinksOptions given, Handler onPacket)
        : blackboard(board)
        , options(std::move(given))
        , codec(options.codec)
        , handler(std::move(onPacket))
        , socket(context)
        , streams(std::make_shared<PeerStreams>(
              context, [this](std::string_view bytes) { handlePacket(bytes, "", lengthPrefixBytes); }))
    {
        for (size_t i = 0; i < linkClassCount; ++i) {
            const auto rate = options.bytesPerSecond[i];
            budgets[i] = ByteBudget(rate, std::max(rate, minBurstBytes));
        }
    }

    void open(const udp::endpoint& own)
    {
        socket.open(own.protocol());
        socket.bind(own);
        socket.non_blocking(true);
        streams->listen(tcp::endpoint(own.address(), own.port()));
        receive();
    }

    void receive()
    {
        socket.async_wait(udp::socket::wait_read, [self = shared_from_this()](const asio::error_code& ec) {
            if (ec || self->closed)
                return;
            self->readDatagrams();
            if (!self->closed)
                self->receive();
        });
    }

    void readDatagrams()
    {
        udp::endpoint source;
        for (int i = 0; i < maxDatagramsPerTurn && !closed; ++i) {
            asio::error_code ec;
            const auto size = socket.receive_from(asio::buffer(buffer), source, 0, ec);
            // Other errors report ICMP responses to earlier datagrams. They are ignored, since the membership
            // probes detect unreachable peers.
            if (ec == asio::error::would_block)
                return;
            if (!ec)
                handlePacket({ buffer.data(), size }, printedEndpoint(source), datagramOverhead);
        }
    }

    void handlePacket(std::string_view bytes, const std::string& source, size_t overhead)
    {
        const auto decoded = codec.decode(bytes, steadyNow());
        const auto* packet = std::get_if<Packet>(&decoded);
        if (packet == nullptr || packet->from == blackboard.self)
            return;
        auto& link = counters.classes[static_cast<size_t>(linkClassOf(packet->from))];
        ++link.packetsReceived;
        link.bytesReceived += bytes.size() + overhead;
        if (versions.size() >= maxKnownVersions)
            versions.clear();
        versions[packet->from] = packet->newestVersion;
        handler(*packet, source);
    }

    LinkClass linkClassOf(const DaemonId& peer) const
    {
        const auto it = blackboard.members.find(peer);
        if (it == blackboard.members.end() || it->second.region != blackboard.region)
            return LinkClass::InterRegion;
        return it->second.dataCentre == blackboard.dataCentre ? LinkClass::DataCentre : LinkClass::Region;
    }

    std::string addressOf(const OutgoingMessage& message) const
    {
        if (!message.address.empty())
            return message.address;
        const auto it = blackboard.members.find(message.to);
        return it == blackboard.members.end() ? "" : it->second.address;
    }

    void addToBatch(Batches& batches, OutgoingMessage message)
    {
        const auto address = addressOf(message);
        if (address.empty() || address == options.codec.address) {
            ++counters.notSent;
            return;
        }
        auto& batch = batches[address];
        batch.first = message.to;
        batch.second.push_back(std::move(message.message));
    }

    void send(std::vector<OutgoingMessage> messages, uint64_t incarnation)
    {
        Batches batches;
        for (auto& it : messages) {
            if (!isDeferrable(it.message)) {
                addToBatch(batches, std::move(it));
                continue;
            }
            if (deferred.size() >= maxDeferred) {
                deferred.pop_front();
                ++counters.notSent;
            }
            deferred.push_back(std::move(it));
        }
        const auto now = steadyNow();
        transmit(batches, incarnation, now);
        sendDeferred(incarnation, now);
    }

    void sendDeferred(uint64_t incarnation, TimePoint now)
    {
        std::deque<OutgoingMessage> stillDeferred;
        for (auto& it : std::exchange(deferred, {})) {
            const auto linkClass = static_cast<size_t>(linkClassOf(it.to));
            if (!budgets[linkClass].hasCredit(now)) {
                ++counters.classes[linkClass].deferred;
                stillDeferred.push_back(std::move(it));
                continue;
            }
            Batches batches;
            addToBatch(batches, std::move(it));
            transmit(batches, incarnation, now);
        }
        deferred = std::move(stillDeferred);
    }

    void transmit(const Batches& batches, uint64_t incarnation, TimePoint now)
    {
        for (const auto& [address, batch] : batches) {
            const auto endpoint = endpointOf(address);
            if (!endpoint) {
                counters.notSent += batch.second.size();
                continue;
            }
            const auto knownVersion = versions.find(batch.first);
            const auto version = codec.versionFor(knownVersion == versions.end() ? 0 : knownVersion->second);
            for (auto& it : codec.encode(address, incarnation, version, batch.second))
                transmit(*endpoint, linkClassOf(batch.first), std::move(it), now);
        }
    }

    void transmit(const udp::endpoint& endpoint, LinkClass linkClass, EncodedPacket packet, TimePoint now)
    {
        const auto size = packet.bytes.size() + (packet.large ? lengthPrefixBytes : datagramOverhead);
        bool sent = false;
        if (packet.large) {
            sent = streams->send({ endpoint.address(), endpoint.port() }, std::move(packet.bytes));
        } else {
            asio::error_code ec;
            socket.send_to(asio::buffer(packet.bytes), endpoint, 0, ec);
            sent = !ec;
        }
        if (!sent) {
            ++counters.notSent;
            return;
        }
        auto& link = counters.classes[static_cast<size_t>(linkClass)];
        ++link.packetsSent;
        link.bytesSent += size;
        budgets[static_cast<size_t>(linkClass)].consume(size, now);
    }

    static constexpr size_t lengthPrefixBytes = 4;

    const Blackboard& blackboard;
    PeerLinksOptions options;
    PeerCodec codec;
    Handler handler;
    udp::socket socket;
    std::shared_ptr<PeerStreams> streams;
    std::array<char, receiveBufferBytes> buffer {};
    std::array<ByteBudget, linkClassCount> budgets;
    /// Messages waiting for the byte budget; at most maxDeferred.
    std::deque<OutgoingMessage> deferred;
    /// The newest protocol version that each peer supports.
    std::unordered_map<DaemonId, uint8_t> versions;
    PeerLinkCounters counters;
    bool closed = false;
};

PeerLinks::PeerLinks(
    asio::io_context& context, const Blackboard& blackboard, PeerLinksOptions options, Handler handler)
    : m_state(std::make_shared<State>(context, blackboard, std::move(options), std::move(handler)))
{
}

PeerLinks::~PeerLinks() { close(); }

Result<void> PeerLinks::open()
{
    const auto& address = m_state->options.codec.address;
    const auto own = endpointOf(address);
    if (!own)
        return fail(
            ResultCode::PeerAddressUnusable, fmt::format("'{}' is not an IP address and port", address));
    try {
        m_state->open(*own);
    } catch (const asio::system_error& error) {
        return fail(ResultCode::PeerAddressUnusable,
            fmt::format("cannot bind the peer sockets to {}: {}", address, error.what()));
    }
    return {};
}

void PeerLinks::send(std::vector<OutgoingMessage> messages, uint64_t incarnation)
{
    if (!m_state->closed)
        m_state->send(std::move(messages), incarnation);
}

void PeerLinks::close()
{
    m_state->closed = true;
    asio::error_code ignored;
    m_state->socket.close(ignored);
    m_state->streams->close();
}

PeerLinkCounters PeerLinks::counters() const
{
    auto out = m_state->counters;
    for (size_t i = 0; i < dropCauseCount; ++i)
        out.dropped[i] = m_state->codec.dropped(static_cast<DropCause>(i));
    out.notSent += m_state->streams->failedPackets() + m_state->codec.oversizedMessages();
    return out;
}

} // namespace lentilbay
