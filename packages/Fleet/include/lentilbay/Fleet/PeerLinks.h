// The links between daemons: small packets over UDP, large ones over TCP.
//
// All runs on the one thread of the io_context. Nothing here waits or retries: a packet that is lost is lost,
// and the controllers above send again what they still need.
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

/// What carries messages to other daemons; tests fill it with a queue in memory.
template <class T>
concept PeerLink = requires(T link, std::vector<OutgoingMessage> messages, uint64_t incarnation)
{
    {
        link.send(std::move(messages), incarnation)
        } -> std::same_as<void>;
};

/// Traffic of one class of links since the start, in bytes with UDP and IP headers.
struct LinkCounters {
    uint64_t packetsSent = 0;
    uint64_t bytesSent = 0;
    uint64_t packetsReceived = 0;
    uint64_t bytesReceived = 0;
    /// Deferrable messages that had to wait for the byte budget.
    uint64_t deferred = 0;

    auto operator<=>(const LinkCounters&) const = default;
};

struct PeerLinkCounters {
    std::array<LinkCounters, linkClasses> classes {};
    std::array<uint64_t, dropCauses> dropped {};
    /// Messages and packets that could not be sent: no address, connection failed, queue full, too large.
    uint64_t notSent = 0;

    auto operator<=>(const PeerLinkCounters&) const = default;
};

struct PeerLinksOptions {
    PeerCodecOptions codec;
    /// By LinkClass; 0 means unlimited.
    std::array<uint64_t, linkClasses> bytesPerSecond {};
};

class PeerLinks {
public:
    /// A packet came; `address` is its source over UDP and empty over TCP.
    using Handler = std::function<void(const Packet&, const std::string& address)>;

    /// The context and the blackboard must outlive the links.
    PeerLinks(
        asio::io_context& context, const Blackboard& blackboard, PeerLinksOptions options, Handler handler);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /// Binds the sockets and begins to receive; SettingsInvalid-like failures say which address.
    Result<void> open();
    /// Sends the messages of one turn, batched by destination. Deferrable ones may wait for a later call.
    void send(std::vector<OutgoingMessage> messages, uint64_t incarnation);
    void close();

    PeerLinkCounters counters() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

static_assert(PeerLink<PeerLinks>);

} // namespace lentilbay
