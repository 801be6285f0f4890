// Packets between daemons: messages with cereal, authenticated by a keyed hash of libsodium.
//
// A packet is the same in a UDP datagram and in a TCP frame: a fixed header (magic, version, key id, cluster,
// tag), then the sender, its incarnation, a sequence and the messages. The tag covers all but itself and also
// the address that the packet is meant for, so that no packet can be replayed to another daemon.
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

/// In version 1 a message of an unknown type ends the packet; since version 2 it is skipped by its length.
constexpr uint8_t oldestPeerVersion = 1;
constexpr uint8_t currentPeerVersion = 2;

/// What fits a datagram without fragmentation on common networks, in bytes.
constexpr size_t maxDatagramBytes = 1400;
/// The largest packet over TCP, in bytes.
constexpr size_t maxFrameBytes = size_t { 1 } << 20U;

/// A secret that the daemons of one cluster share.
struct PeerKey {
    uint8_t id = 0;
    /// 32 bytes.
    std::string secret;
};

struct PeerCodecOptions {
    std::string cluster;
    DaemonId self;
    /// Where others reach this daemon; packets meant for another address are refused.
    std::string address;
    /// The first key signs; all are accepted, so that keys can be exchanged one after the other.
    std::vector<PeerKey> keys;
    /// The newest version to speak.
    uint8_t version = currentPeerVersion;
};

enum class DropCause : uint8_t {
    /// Too short, without the magic, or its content does not decode.
    Malformed,
    Oversized,
    /// A version that this daemon does not speak.
    Version,
    ForeignCluster,
    UnknownKey,
    /// The hash does not fit: forged, damaged or meant for another address.
    BadTag,
    Replayed,
};
constexpr size_t dropCauses = 7;

/// The name of a cause as it stands in metrics.
std::string_view printed(DropCause cause);

struct Packet {
    DaemonId from;
    uint64_t incarnation = 0;
    uint8_t version = 0;
    /// The newest version that the sender speaks.
    uint8_t newestVersion = 0;
    std::vector<PeerMessage> messages;
    /// Messages that were skipped because their type is not known here.
    uint32_t unknownMessages = 0;
};

struct EncodedPacket {
    std::string bytes;
    /// Whether it must go over TCP.
    bool large = false;
};

class PeerCodec {
public:
    explicit PeerCodec(PeerCodecOptions options);

    /// Packs the messages into as few packets as can be. A message larger than maxFrameBytes is left out and
    /// counted by `tooLarge()`.
    std::vector<EncodedPacket> encode(const std::string& destination, uint64_t incarnation, uint8_t version,
        std::span<const PeerMessage> messages);

    /// Checks and decodes a packet. What it allocates is bounded by the length of the bytes.
    std::variant<Packet, DropCause> decode(std::string_view bytes, TimePoint now);

    /// The version to speak with a peer whose newest version this is (0: not known).
    uint8_t versionFor(uint8_t peersNewest) const;
    uint64_t tooLarge() const { return m_tooLarge; }
    uint64_t dropped(DropCause cause) const { return m_dropped[static_cast<size_t>(cause)]; }

private:
    using Tag = std::array<unsigned char, 16>;

    std::variant<Packet, DropCause> decodeChecked(std::string_view bytes, TimePoint now);
    std::string seal(const std::string& destination, uint8_t version, std::string_view payload) const;
    Tag tagOf(const PeerKey& key, std::string_view head, std::string_view destination,
        std::string_view payload) const;

    PeerCodecOptions m_options;
    uint32_t m_clusterHash = 0;
    uint64_t m_lastSequence = 0;
    uint64_t m_tooLarge = 0;
    std::array<uint64_t, dropCauses> m_dropped {};
    ReplayWindow m_window;
};

} // namespace lentilbay
