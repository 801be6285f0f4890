// Encodes and decodes packets between daemons: messages are serialized with cereal and authenticated with a
// keyed hash of libsodium.
//
// A packet has the same format in a UDP datagram and in a TCP frame: a fixed header (magic, version, key id,
// cluster hash, tag), then the sender, its incarnation, a sequence number, the newest version that the sender
// supports, and the messages. The tag covers everything except itself, and also the destination address, so
// that a packet cannot be replayed to another daemon.
#pragma once

#include "lentilbay/Control/PeerMessage.h"
#include "lentilbay/Fleet/ReplayWindow.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace lentilbay {

/// In version 1 a message of an unknown type ends the packet. Since version 2 each message has a length
/// prefix, so that unknown types are skipped.
constexpr uint8_t oldestPeerVersion = 1;
constexpr uint8_t currentPeerVersion = 2;

/// The largest datagram, in bytes; it avoids IP fragmentation on common networks.
constexpr size_t maxDatagramBytes = 1400;
/// The largest packet over TCP, in bytes.
constexpr size_t maxFrameBytes = size_t { 1 } << 20U;

/// A secret key shared by the daemons of a cluster.
struct PeerKey {
    uint8_t id = 0;
    /// 32 bytes.
    std::string secret;
};

struct PeerCodecOptions {
    std::string cluster;
    DaemonId self;
    /// The address at which other daemons reach this one; packets for another destination are rejected.
    std::string address;
    /// The first key signs outgoing packets; all are accepted on incoming ones, so that keys can be rotated
    /// without downtime.
    std::vector<PeerKey> keys;
    /// The newest protocol version to use.
    uint8_t version = currentPeerVersion;
};

enum class DropCause : uint8_t {
    /// Too short, without the magic, or the content cannot be decoded.
    Malformed,
    Oversized,
    /// A protocol version that this daemon does not support.
    Version,
    ForeignCluster,
    UnknownKey,
    /// The tag does not match: the packet is forged, corrupted or for another destination.
    BadTag,
    Replayed,
};
constexpr size_t dropCauseCount = 7;

/// The value of the metric label for the cause.
std::string_view printed(DropCause cause);

struct Packet {
    DaemonId from;
    uint64_t incarnation = 0;
    uint8_t version = 0;
    /// The newest protocol version that the sender supports.
    uint8_t newestVersion = 0;
    std::vector<PeerMessage> messages;
    /// Number of messages skipped because this daemon does not know their type.
    uint32_t unknownMessages = 0;
};

struct EncodedPacket {
    std::string bytes;
    /// Whether the packet exceeds maxDatagramBytes and must be sent over TCP.
    bool large = false;
};

class PeerCodec {
public:
    explicit PeerCodec(PeerCodecOptions options);

    /// Packs the messages into as few packets as possible. A message larger than maxFrameBytes is dropped and
    /// counted by `oversizedMessages()`.
    std::vector<EncodedPacket> encode(const std::string& destination, uint64_t incarnation, uint8_t version,
        std::span<const PeerMessage> messages);

    /// Authenticates and decodes a packet. Memory allocation is bounded by the size of the input.
    std::variant<Packet, DropCause> decode(std::string_view bytes, TimePoint now);

    /// The protocol version to use with a peer, given the newest one that it supports (0: unknown).
    uint8_t versionFor(uint8_t peerNewestVersion) const;
    uint64_t oversizedMessages() const { return m_oversizedMessages; }
    uint64_t dropped(DropCause cause) const { return m_dropped[static_cast<size_t>(cause)]; }

private:
    using Tag = std::array<unsigned char, 16>;

    std::variant<Packet, DropCause> decodeChecked(std::string_view bytes, TimePoint now);
    std::string assemblePacket(
        const std::string& destination, uint8_t version, std::string_view payload) const;
    Tag computeTag(const PeerKey& key, std::string_view head, std::string_view destination,
        std::string_view payload) const;

    PeerCodecOptions m_options;
    uint32_t m_clusterHash = 0;
    uint64_t m_lastSequence = 0;
    uint64_t m_oversizedMessages = 0;
    std::array<uint64_t, dropCauseCount> m_dropped {};
    ReplayWindow m_replayWindow;
};

} // namespace lentilbay
