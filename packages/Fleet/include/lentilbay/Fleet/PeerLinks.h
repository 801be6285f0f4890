// Message transport between daemons: small packets over UDP, large ones over TCP.
//
// Everything runs on the single thread of the io_context. Delivery is best effort, without blocking or
// retransmission: the controllers resend the messages that they still need.
#pragma once

#include "lentilbay/Control/Blackboard.h"
#include "lentilbay/Fleet/ByteBudget.h"
#include "lentilbay/Fleet/PeerCodec.h"
#include "lentilbay/Support/Result.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace asio {
class io_context;
}

namespace lentilbay {

/// A transport for messages to other daemons. Tests implement it with an in-memory queue.
template <class T>
concept PeerLink = requires(T link, std::vector<OutgoingMessage> messages, uint64_t incarnation)
{
    {
        link.send(std::move(messages), incarnation)
        } -> std::same_as<void>;
};

/// Traffic of one class of links since the process started. The bytes include UDP and IPv4 headers of
/// datagrams and the length prefix of TCP frames.
struct LinkCounters {
    uint64_t packetsSent = 0;
    uint64_t bytesSent = 0;
    uint64_t packetsReceived = 0;
    uint64_t bytesReceived = 0;
    /// How many times a deferrable message was held back by the byte budget.
    uint64_t deferred = 0;

    auto operator<=>(const LinkCounters&) const = default;
};

struct PeerLinkCounters {
    std::array<LinkCounters, linkClassCount> classes {};
    std::array<uint64_t, dropCauseCount> dropped {};
    /// Messages and packets that could not be sent: no address, connection failure, full queue, or too large.
    uint64_t notSent = 0;

    auto operator<=>(const PeerLinkCounters&) const = default;
};

struct PeerLinksOptions {
    PeerCodecOptions codec;
    /// Indexed by LinkClass; 0 means unlimited.
    std::array<uint64_t, linkClassCount> bytesPerSecond {};
};

class PeerLinks {
public:
    /// Called for each accepted packet; `address` is the source address over UDP and empty over TCP.
    using Handler = std::function<void(const Packet&, const std::string& address)>;

    /// The context and the blackboard must outlive this object.
    PeerLinks(
        asio::io_context& context, const Blackboard& blackboard, PeerLinksOptions options, Handler handler);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /// Binds the sockets and starts receiving. Fails with PeerAddressUnusable; the detail names the address.
    Result<void> open();
    /// Sends the messages of one event-loop turn, batched by destination. Deferrable messages that exceed the
    /// byte budget are kept for a later call.
    void send(std::vector<OutgoingMessage> messages, uint64_t incarnation);
    void close();

    PeerLinkCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

static_assert(PeerLink<PeerLinks>);

} // namespace lentilbay
