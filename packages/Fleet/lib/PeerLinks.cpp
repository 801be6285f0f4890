// Batches messages into packets, keeps byte budgets, and counts what crosses each class of links.
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
constexpr size_t receiveBytes = 65536;
/// Datagrams read in one turn before other work is let in.
constexpr int datagramsPerTurn = 64;
constexpr size_t maxDeferred = 256;
constexpr size_t maxKnownVersions = 4096;
constexpr uint64_t leastBurstBytes = 4096;

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

/// Messages that may come some seconds later without harm.
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
              context, [this](std::string_view bytes) { received(bytes, "", lengthPrefix); }))
    {
        for (size_t i = 0; i < linkClasses; ++i) {
            const auto rate = options.bytesPerSecond[i];
            budgets[i] = ByteBudget(rate, std::max(rate, leastBurstBytes));
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
        for (int i = 0; i < datagramsPerTurn && !closed; ++i) {
            asio::error_code ec;
            const auto size = socket.receive_from(asio::buffer(buffer), source, 0, ec);
            // An error here is an ICMP answer to an earlier datagram; it says nothing that probes do not.
            if (ec == asio::error::would_block)
                return;
            if (!ec)
                received({ buffer.data(), size }, printedEndpoint(source), datagramOverhead);
        }
    }

    void received(std::string_view bytes, const std::string& source, size_t overhead)
    {
        const auto decoded = codec.decode(bytes, steadyNow());
        const auto* packet = std::get_if<Packet>(&decoded);
        if (packet == nullptr || packet->from == blackboard.self)
            return;
        auto& link = counters.classes[static_cast<size_t>(classOf(packet->from))];
        ++link.packetsReceived;
        link.bytesReceived += bytes.size() + overhead;
        if (versions.size() >= maxKnownVersions)
            versions.clear();
        versions[packet->from] = packet->newestVersion;
        handler(*packet, source);
    }

    LinkClass classOf(const DaemonId& peer) const
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

    void add(Batches& batches, OutgoingMessage message)
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
                add(batches, std::move(it));
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
        std::deque<OutgoingMessage> waiting;
        for (auto& it : std::exchange(deferred, {})) {
            const auto linkClass = static_cast<size_t>(classOf(it.to));
            if (!budgets[linkClass].open(now)) {
                ++counters.classes[linkClass].deferred;
                waiting.push_back(std::move(it));
                continue;
            }
            Batches batches;
            add(batches, std::move(it));
            transmit(batches, incarnation, now);
        }
        deferred = std::move(waiting);
    }

    void transmit(const Batches& batches, uint64_t incarnation, TimePoint now)
    {
        for (const auto& [address, batch] : batches) {
            const auto endpoint = endpointOf(address);
            if (!endpoint) {
                counters.notSent += batch.second.size();
                continue;
            }
            const auto heard = versions.find(batch.first);
            const auto version = codec.versionFor(heard == versions.end() ? 0 : heard->second);
            for (auto& it : codec.encode(address, incarnation, version, batch.second))
                transmit(*endpoint, classOf(batch.first), std::move(it), now);
        }
    }

    void transmit(const udp::endpoint& endpoint, LinkClass linkClass, EncodedPacket packet, TimePoint now)
    {
        const auto size = packet.bytes.size() + (packet.large ? lengthPrefix : datagramOverhead);
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
        budgets[static_cast<size_t>(linkClass)].spend(size, now);
    }

    static constexpr size_t lengthPrefix = 4;

    const Blackboard& blackboard;
    PeerLinksOptions options;
    PeerCodec codec;
    Handler handler;
    udp::socket socket;
    std::shared_ptr<PeerStreams> streams;
    std::array<char, receiveBytes> buffer {};
    std::array<ByteBudget, linkClasses> budgets;
    /// Waits for the byte budget; bounded by maxDeferred.
    std::deque<OutgoingMessage> deferred;
    /// The newest version that each peer speaks.
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
        return fail(ResultCode::PeerAddressUnusable, fmt::format("'{}' is no address", address));
    try {
        m_state->open(*own);
    } catch (const asio::system_error& error) {
        return fail(ResultCode::PeerAddressUnusable, fmt::format("cannot use {}: {}", address, error.what()));
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
    for (size_t i = 0; i < dropCauses; ++i)
        out.dropped[i] = m_state->codec.dropped(static_cast<DropCause>(i));
    out.notSent += m_state->streams->failed() + m_state->codec.tooLarge();
    return out;
}

} // namespace lentilbay
