// Serialization of peer messages and authentication of packets. No other file knows the wire format.
#include "lentilbay/Fleet/PeerCodec.h"

#include "MessageArchive.h"

#include <algorithm>
#include <cassert>
#include <optional>
#include <sodium.h>
#include <utility>

namespace lentilbay {
namespace {

constexpr std::string_view magic = "LB";
constexpr size_t versionOffset = 2;
constexpr size_t keyIdOffset = 3;
constexpr size_t clusterOffset = 4;
constexpr size_t tagOffset = 8;
constexpr size_t tagBytes = 16;
constexpr size_t headerBytes = tagOffset + tagBytes;
/// Upper bound of the type and length fields that precede each message: 1 and 5 bytes.
constexpr size_t messageHeaderBytes = 6;

uint32_t hashCluster(const std::string& cluster)
{
    std::array<unsigned char, crypto_generichash_BYTES_MIN> hash {};
    crypto_generichash(hash.data(), hash.size(), reinterpret_cast<const unsigned char*>(cluster.data()),
        cluster.size(), nullptr, 0);
    uint32_t out = 0;
    std::memcpy(&out, hash.data(), sizeof(out));
    return out;
}

std::string encodeBody(const PeerMessage& message)
{
    std::string bytes;
    MessageOutputArchive archive(bytes);
    std::visit([&archive](const auto& it) { archive(it); }, message);
    return bytes;
}

template <size_t I = 0> PeerMessage readMessage(size_t type, MessageInputArchive& archive)
{
    if constexpr (I < std::variant_size_v<PeerMessage>) {
        if (type != I)
            return readMessage<I + 1>(type, archive);
        std::variant_alternative_t<I, PeerMessage> message;
        archive(message);
        return message;
    } else {
        throw cereal::Exception("unknown message type");
    }
}

void readMessages(MessageInputArchive& archive, Packet& packet)
{
    while (archive.remaining() > 0) {
        const size_t type = archive.readInteger<uint8_t>();
        const bool known = type < std::variant_size_v<PeerMessage>;
        if (packet.version < 2) {
            if (!known) {
                ++packet.unknownMessages;
                return;
            }
            packet.messages.push_back(readMessage(type, archive));
            continue;
        }
        const auto body = archive.readBytes(archive.readSize());
        if (!known) {
            ++packet.unknownMessages;
            continue;
        }
        // Ignores trailing fields that a later version may append to a message.
        MessageInputArchive bodyArchive(body);
        packet.messages.push_back(readMessage(type, bodyArchive));
    }
}

} // namespace

std::string_view printed(DropCause cause)
{
    constexpr std::array<std::string_view, dropCauseCount> names
        = { "malformed", "oversized", "version", "foreign_cluster", "unknown_key", "bad_tag", "replayed" };
    return names[static_cast<size_t>(cause)];
}

PeerCodec::PeerCodec(PeerCodecOptions options)
    : m_options(std::move(options))
{
    assert(!m_options.keys.empty() && "at least one key is required to sign packets");
    [[maybe_unused]] const int initialised = sodium_init();
    assert(initialised >= 0 && "libsodium initialisation failed");
    m_clusterHash = hashCluster(m_options.cluster);
}

uint8_t PeerCodec::versionFor(uint8_t peerNewestVersion) const
{
    return peerNewestVersion == 0 ? oldestPeerVersion : std::min(peerNewestVersion, m_options.version);
}

PeerCodec::Tag PeerCodec::computeTag(
    const PeerKey& key, std::string_view head, std::string_view destination, std::string_view payload) const
{
    const auto bytesOf
        = [](std::string_view text) { return reinterpret_cast<const unsigned char*>(text.data()); };
    crypto_generichash_state state;
    crypto_generichash_init(&state, bytesOf(key.secret), key.secret.size(), tagBytes);
    crypto_generichash_update(&state, bytesOf(head), head.size());
    std::string size;
    MessageOutputArchive(size).writeInteger(static_cast<uint64_t>(destination.size()));
    crypto_generichash_update(&state, bytesOf(size), size.size());
    crypto_generichash_update(&state, bytesOf(destination), destination.size());
    crypto_generichash_update(&state, bytesOf(payload), payload.size());
    Tag tag {};
    crypto_generichash_final(&state, tag.data(), tag.size());
    return tag;
}

std::string PeerCodec::assemblePacket(
    const std::string& destination, uint8_t version, std::string_view payload) const
{
    const auto& key = m_options.keys.front();
    std::string bytes(magic);
    MessageOutputArchive archive(bytes);
    archive(version, key.id, m_clusterHash);
    const auto tag = computeTag(key, bytes, destination, payload);
    archive.writeBytes(tag.data(), tag.size());
    bytes.append(payload);
    return bytes;
}

std::vector<EncodedPacket> PeerCodec::encode(const std::string& destination, uint64_t incarnation,
    uint8_t version, std::span<const PeerMessage> messages)
{
    std::vector<EncodedPacket> out;
    std::string payload;
    size_t prefixBytes = 0;
    const auto begin = [&] {
        payload.clear();
        MessageOutputArchive archive(payload);
        archive(m_options.self, incarnation, ++m_lastSequence, m_options.version);
        prefixBytes = payload.size();
    };
    const auto finish = [&] {
        if (payload.size() == prefixBytes)
            return;
        auto bytes = assemblePacket(destination, version, payload);
        const bool large = bytes.size() > maxDatagramBytes;
        out.push_back({ std::move(bytes), large });
    };
    begin();
    for (const auto& it : messages) {
        const auto body = encodeBody(it);
        const auto size = body.size() + messageHeaderBytes;
        if (headerBytes + prefixBytes + size > maxFrameBytes) {
            ++m_oversizedMessages;
            continue;
        }
        if (headerBytes + payload.size() + size > maxDatagramBytes && payload.size() > prefixBytes) {
            finish();
            begin();
        }
        MessageOutputArchive archive(payload);
        archive.writeInteger(static_cast<uint8_t>(it.index()));
        if (version >= 2)
            archive.writeSize(body.size());
        archive.writeBytes(body.data(), body.size());
    }
    finish();
    return out;
}

std::variant<Packet, DropCause> PeerCodec::decode(std::string_view bytes, TimePoint now)
{
    auto out = decodeChecked(bytes, now);
    if (const auto* cause = std::get_if<DropCause>(&out))
        ++m_dropped[static_cast<size_t>(*cause)];
    return out;
}

std::variant<Packet, DropCause> PeerCodec::decodeChecked(std::string_view bytes, TimePoint now)
{
    if (bytes.size() > maxFrameBytes)
        return DropCause::Oversized;
    if (bytes.size() < headerBytes || !bytes.starts_with(magic))
        return DropCause::Malformed;
    const auto version = static_cast<uint8_t>(bytes[versionOffset]);
    const auto keyId = static_cast<uint8_t>(bytes[keyIdOffset]);
    if (MessageInputArchive(bytes.substr(clusterOffset)).readInteger<uint32_t>() != m_clusterHash)
        return DropCause::ForeignCluster;
    if (version < oldestPeerVersion || version > m_options.version)
        return DropCause::Version;
    const auto key = std::find_if(
        m_options.keys.begin(), m_options.keys.end(), [keyId](const auto& it) { return it.id == keyId; });
    if (key == m_options.keys.end())
        return DropCause::UnknownKey;
    const auto payload = bytes.substr(headerBytes);
    const auto tag = computeTag(*key, bytes.substr(0, tagOffset), m_options.address, payload);
    if (sodium_memcmp(tag.data(), bytes.data() + tagOffset, tag.size()) != 0)
        return DropCause::BadTag;
    try {
        MessageInputArchive archive(payload);
        Packet packet { .version = version };
        uint64_t sequence = 0;
        archive(packet.from, packet.incarnation, sequence, packet.newestVersion);
        if (!m_replayWindow.accept(packet.from, packet.incarnation, sequence, now))
            return DropCause::Replayed;
        readMessages(archive, packet);
        return packet;
    } catch (const cereal::Exception&) {
        return DropCause::Malformed;
    }
}

} // namespace lentilbay
