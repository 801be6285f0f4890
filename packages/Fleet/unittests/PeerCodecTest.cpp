// PeerCodec: signed packets survive a round trip; all others are dropped and counted by cause.
#include "lentilbay/Fleet/PeerCodec.h"

#include "lentilbay/Support/Random.h"

#include <gtest/gtest.h>
#include <sodium.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

const TimePoint now { 100s };
const std::string address = "127.0.0.1:7000";

PeerKey key(uint8_t id) { return { .id = id, .secret = std::string(32, static_cast<char>('a' + id)) }; }

PeerCodecOptions makeOptions(const std::string& name)
{
    return { .cluster = "test", .self = DaemonId(name), .address = address, .keys = { key(1) } };
}

MemberUpdate member(int number)
{
    return { .id = DaemonId("daemon-" + std::to_string(number)),
        .region = RegionId("r"),
        .dataCentre = DataCentreId("d"),
        .address = "10.0.0.1:7000",
        .incarnation = 1'700'000'000'000 + static_cast<uint64_t>(number) };
}

/// One message of each type, with representative content.
std::vector<PeerMessage> sampleMessages()
{
    const DataCentreDigest digest { .dataCentre = DataCentreId("d"),
        .region = RegionId("r"),
        .liveDaemons = 16,
        .hash = 0xfedcba9876543210,
        .ageMilliseconds = 12,
        .contacts = { { DaemonId("x"), "10.0.0.2:7000", 5 } } };
    EndpointUse use;
    use.endpoint = EndpointId("e");
    return { DemandReport { .sequence = 7,
                 .sentAt = -5,
                 .demands = { { .service = ServiceId("s"), .rank = 2, .waiting = 9 } },
                 .uses = { use } },
        GrantReport {
            .sequence = 8, .occupancyReports = { { .service = ServiceId("s"), .hasFreeSlot = true } } },
        Probe { .sequence = 3, .updates = { member(1), member(2) } }, ProbeReply { .sequence = 3 },
        ProbeRequest { .sequence = 4, .target = DaemonId("t") },
        StateExchange { .wantsReply = true, .members = { member(3) }, .digests = { digest } },
        DigestGossip { .digests = { digest, digest } } };
}

Packet expectPacket(std::variant<Packet, DropCause> decoded)
{
    if (const auto* cause = std::get_if<DropCause>(&decoded)) {
        ADD_FAILURE() << "dropped: " << printed(*cause);
        return {};
    }
    return std::get<Packet>(std::move(decoded));
}

void expectDropped(PeerCodec& codec, std::string_view bytes, DropCause cause)
{
    const auto before = codec.dropped(cause);
    const auto decoded = codec.decode(bytes, now);
    ASSERT_TRUE(std::holds_alternative<DropCause>(decoded));
    EXPECT_EQ(printed(std::get<DropCause>(decoded)), printed(cause));
    EXPECT_EQ(codec.dropped(cause), before + 1);
}

std::string onePacket(PeerCodec& codec, uint8_t version = currentPeerVersion)
{
    return codec.encode(address, 5, version, sampleMessages()).front().bytes;
}

class PeerVersions : public testing::TestWithParam<uint8_t> { };

TEST_P(PeerVersions, MessagesSurviveARoundTrip)
{
    PeerCodec sender(makeOptions("a"));
    PeerCodec receiver(makeOptions("b"));
    const auto packet = expectPacket(receiver.decode(onePacket(sender, GetParam()), now));
    EXPECT_EQ(packet.from, DaemonId("a"));
    EXPECT_EQ(packet.incarnation, 5U);
    EXPECT_EQ(packet.version, GetParam());
    EXPECT_EQ(packet.newestVersion, currentPeerVersion);
    EXPECT_EQ(packet.messages, sampleMessages());
}

INSTANTIATE_TEST_SUITE_P(Both, PeerVersions, testing::Values(oldestPeerVersion, currentPeerVersion));

TEST(PeerCodec, PeersNegotiateTheOlderVersion)
{
    auto older = makeOptions("old");
    older.version = currentPeerVersion - 1;
    PeerCodec oldDaemon(older);
    PeerCodec newDaemon(makeOptions("new"));
    // Neither has received a packet from the other yet, so both start with the oldest version.
    const auto first = expectPacket(oldDaemon.decode(onePacket(newDaemon, newDaemon.versionFor(0)), now));
    EXPECT_EQ(oldDaemon.versionFor(first.newestVersion), currentPeerVersion - 1);
    const auto second = expectPacket(newDaemon.decode(onePacket(oldDaemon, oldDaemon.versionFor(0)), now));
    EXPECT_EQ(newDaemon.versionFor(second.newestVersion), currentPeerVersion - 1);
    EXPECT_EQ(newDaemon.versionFor(currentPeerVersion), currentPeerVersion);
    EXPECT_EQ(newDaemon.versionFor(currentPeerVersion + 1), currentPeerVersion);
    expectDropped(oldDaemon, onePacket(newDaemon, currentPeerVersion), DropCause::Version);
}

TEST(PeerCodec, SplitsIntoDatagramsAndMarksLargePackets)
{
    PeerCodec sender(makeOptions("a"));
    PeerCodec receiver(makeOptions("b"));
    std::vector<PeerMessage> messages(100, Probe { .sequence = 1, .updates = { member(1), member(2) } });
    size_t received = 0;
    for (const auto& it : sender.encode(address, 1, currentPeerVersion, messages)) {
        EXPECT_LE(it.bytes.size(), maxDatagramBytes);
        EXPECT_FALSE(it.large);
        received += expectPacket(receiver.decode(it.bytes, now)).messages.size();
    }
    EXPECT_EQ(received, 100U);

    StateExchange state;
    for (int i = 0; i < 200; ++i)
        state.members.push_back(member(i));
    const std::vector<PeerMessage> large { state };
    const auto packets = sender.encode(address, 1, currentPeerVersion, large);
    ASSERT_EQ(packets.size(), 1U);
    EXPECT_TRUE(packets[0].large);
    EXPECT_EQ(expectPacket(receiver.decode(packets[0].bytes, now)).messages, large);
}

TEST(PeerCodec, DropsMessagesTooLargeForAFrame)
{
    PeerCodec sender(makeOptions("a"));
    StateExchange state;
    state.members.assign(30'000, member(1));
    const std::vector<PeerMessage> messages { state };
    EXPECT_TRUE(sender.encode(address, 1, currentPeerVersion, messages).empty());
    EXPECT_EQ(sender.oversizedMessages(), 1U);
}

TEST(PeerCodec, DropsByCause)
{
    PeerCodec sender(makeOptions("a"));
    PeerCodec receiver(makeOptions("b"));
    expectDropped(receiver, "", DropCause::Malformed);
    expectDropped(receiver, std::string(200, 'x'), DropCause::Malformed);
    expectDropped(receiver, std::string(maxFrameBytes + 1, 'x'), DropCause::Oversized);
    const auto bytes = onePacket(sender);
    EXPECT_EQ(expectPacket(receiver.decode(bytes, now)).messages.size(), sampleMessages().size());
    expectDropped(receiver, bytes, DropCause::Replayed);

    auto foreign = makeOptions("a");
    foreign.cluster = "other";
    PeerCodec foreignSender(foreign);
    expectDropped(receiver, onePacket(foreignSender), DropCause::ForeignCluster);

    auto otherDestination = sender.encode("127.0.0.1:7001", 5, currentPeerVersion, sampleMessages());
    expectDropped(receiver, otherDestination.front().bytes, DropCause::BadTag);
}

TEST(PeerCodec, KeysCanBeRotated)
{
    auto both = makeOptions("both");
    both.keys = { key(2), key(1) };
    auto onlyNew = makeOptions("new");
    onlyNew.keys = { key(2) };
    PeerCodec oldDaemon(makeOptions("old"));
    PeerCodec bothDaemon(both);
    PeerCodec newDaemon(onlyNew);
    expectPacket(bothDaemon.decode(onePacket(oldDaemon), now));
    expectPacket(newDaemon.decode(onePacket(bothDaemon), now));
    expectDropped(oldDaemon, onePacket(bothDaemon), DropCause::UnknownKey);
    auto forged = makeOptions("forger");
    forged.keys = { { .id = 2, .secret = std::string(32, 'z') } };
    PeerCodec forger(forged);
    expectDropped(newDaemon, onePacket(forger), DropCause::BadTag);
}

TEST(PeerCodec, NoMutatedPacketIsAccepted)
{
    PeerCodec sender(makeOptions("a"));
    PeerCodec receiver(makeOptions("b"));
    Random random(42);
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = onePacket(sender);
        const auto flips = 1 + random.below(4);
        const auto original = bytes;
        for (uint64_t n = 0; n < flips; ++n)
            bytes[random.below(bytes.size())] ^= static_cast<char>(1 + random.below(255));
        if (random.chance(0.2))
            bytes.resize(random.below(bytes.size()));
        if (random.chance(0.1))
            bytes.append(random.below(3000), 'x');
        if (bytes != original) {
            ASSERT_TRUE(std::holds_alternative<DropCause>(receiver.decode(bytes, now))) << "round " << i;
        }
    }
}

/// Replaces the tag by a valid one for the modified content.
void replaceTag(std::string& bytes, const std::string& secret)
{
    constexpr size_t tagOffset = 8;
    constexpr size_t tagBytes = 16;
    const auto bytesOf
        = [](const std::string& text) { return reinterpret_cast<const unsigned char*>(text.data()); };
    std::string covered = bytes.substr(0, tagOffset);
    for (size_t i = 0; i < sizeof(uint64_t); ++i)
        covered.push_back(static_cast<char>(static_cast<uint8_t>(address.size() >> (8 * i))));
    covered += address + bytes.substr(tagOffset + tagBytes);
    crypto_generichash(reinterpret_cast<unsigned char*>(bytes.data() + tagOffset), tagBytes, bytesOf(covered),
        covered.size(), bytesOf(secret), secret.size());
}

TEST(PeerCodec, MutatedContentWithAValidTagIsDecodedOrDroppedWithinBounds)
{
    PeerCodec sender(makeOptions("a"));
    Random random(43);
    size_t decoded = 0;
    uint64_t malformed = 0;
    constexpr size_t contentOffset = 24;
    for (int i = 0; i < 20'000; ++i) {
        auto bytes = onePacket(sender, random.chance(0.5) ? oldestPeerVersion : currentPeerVersion);
        const auto changes = random.below(6);
        for (uint64_t n = 0; n < changes; ++n)
            bytes[contentOffset + random.below(bytes.size() - contentOffset)]
                = static_cast<char>(random.below(256));
        if (random.chance(0.2))
            bytes.resize(contentOffset + random.below(bytes.size() - contentOffset));
        replaceTag(bytes, key(1).secret);
        // A new receiver for each packet: a mutated incarnation would make it reject all later packets as
        // replayed.
        PeerCodec receiver(makeOptions("b"));
        const auto result = receiver.decode(bytes, now);
        malformed += receiver.dropped(DropCause::Malformed);
        ASSERT_EQ(receiver.dropped(DropCause::BadTag), 0U);
        if (const auto* packet = std::get_if<Packet>(&result)) {
            ++decoded;
            // Each message takes at least one byte.
            ASSERT_LE(packet->messages.size(), bytes.size());
        }
    }
    EXPECT_GT(decoded, 1000U);
    EXPECT_GT(malformed, 1000U);
    EXPECT_EQ(decoded + malformed, 20'000U);
}

// Guards against allocating the announced size before checking that the packet has that many bytes.
TEST(PeerCodec, ASizeBeyondThePacketIsMalformed)
{
    PeerCodec sender(makeOptions("a"));
    PeerCodec receiver(makeOptions("b"));
    const std::vector<PeerMessage> messages { DigestGossip {} };
    auto bytes = sender.encode(address, 1, oldestPeerVersion, messages).front().bytes;
    // The last byte is the number of digests; 255 marks a size that follows in four bytes.
    bytes.back() = '\xff';
    bytes.append(4, '\xff');
    replaceTag(bytes, key(1).secret);
    expectDropped(receiver, bytes, DropCause::Malformed);
}

} // namespace
} // namespace lentilbay
