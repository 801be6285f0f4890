// PeerLinks over loopback: small and large packets arrive complete, invalid datagrams are counted and
// dropped, and the byte budget defers messages.
#include "lentilbay/Fleet/PeerLinks.h"

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/ip/udp.hpp>
#include <asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <optional>
#include <random>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

/// Limits the wait for an expected event, so that a fault fails the test instead of hanging it.
constexpr auto eventTimeout = 10s;

/// Returns a port that is free for both UDP and TCP, below the ephemeral port range of the system.
uint16_t freePort(asio::io_context& context)
{
    static std::mt19937 generator(std::random_device {}());
    const auto loopback = asio::ip::address_v4::loopback();
    while (true) {
        const auto port = std::uniform_int_distribution<uint16_t>(10'000, 32'000)(generator);
        asio::error_code ec;
        asio::ip::udp::socket udp(context, asio::ip::udp::v4());
        asio::ip::tcp::acceptor tcp(context, asio::ip::tcp::v4());
        udp.bind({ loopback, port }, ec);
        if (!ec)
            tcp.bind({ loopback, port }, ec);
        if (!ec)
            return port;
    }
}

struct TestPeer {
    TestPeer(asio::io_context& context, const std::string& name, uint64_t bytesPerSecond = 0)
    {
        address = fmt::format("127.0.0.1:{}", freePort(context));
        blackboard.self = DaemonId(name);
        blackboard.region = RegionId("r");
        blackboard.dataCentre = DataCentreId("d");
        PeerLinksOptions options { .codec = { .cluster = "test",
                                       .self = DaemonId(name),
                                       .address = address,
                                       .keys = { { .id = 1, .secret = std::string(32, 'k') } } },
            .bytesPerSecond = { bytesPerSecond, 0, 0 } };
        links = std::make_unique<PeerLinks>(
            context, blackboard, options, [this](const Packet& packet, const std::string& from) {
                source = from;
                received.insert(received.end(), packet.messages.begin(), packet.messages.end());
            });
    }

    void addMember(const TestPeer& other)
    {
        blackboard.members[other.blackboard.self] = { .id = other.blackboard.self,
            .region = RegionId("r"),
            .dataCentre = DataCentreId("d"),
            .address = other.address };
    }

    Blackboard blackboard;
    std::string address;
    std::unique_ptr<PeerLinks> links;
    std::vector<PeerMessage> received;
    std::optional<std::string> source;
};

class PeerLinksTest : public testing::Test {
protected:
    PeerLinksTest()
    {
        a.addMember(b);
        b.addMember(a);
        a.links->open().value();
        b.links->open().value();
    }

    template <class Condition> bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + eventTimeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
            context.run_one_for(10ms);
        return condition();
    }

    asio::io_context context;
    TestPeer a { context, "a" };
    TestPeer b { context, "b" };
};

StateExchange largeState()
{
    StateExchange state;
    for (int i = 0; i < 500; ++i)
        state.members.push_back({ .id = DaemonId(fmt::format("daemon-{}", i)), .address = "10.0.0.1:7000" });
    return state;
}

TEST_F(PeerLinksTest, SmallMessagesShareADatagram)
{
    a.links->send({ { .to = DaemonId("b"), .message = Probe { .sequence = 1 } },
                      { .to = DaemonId("b"), .message = Probe { .sequence = 2 } } },
        1);
    ASSERT_TRUE(runUntil([&] { return b.received.size() == 2; }));
    EXPECT_EQ(b.source, a.address);
    EXPECT_EQ(a.links->counters().classes[0].packetsSent, 1U);
    EXPECT_EQ(a.links->counters().classes[0].bytesSent, b.links->counters().classes[0].bytesReceived);
}

TEST_F(PeerLinksTest, LargeMessagesGoOverTcp)
{
    for (int i = 0; i < 3; ++i)
        a.links->send({ { .to = DaemonId("b"), .message = largeState() } }, 1);
    ASSERT_TRUE(runUntil([&] { return b.received.size() == 3; }));
    EXPECT_EQ(b.received[0], PeerMessage(largeState()));
    EXPECT_EQ(b.source, "");
}

TEST_F(PeerLinksTest, NoPacketIsDeliveredAfterClose)
{
    PeerCodec codec({ .cluster = "test",
        .self = DaemonId("x"),
        .address = "127.0.0.1:1",
        .keys = { { .id = 1, .secret = std::string(32, 'k') } } });
    const std::vector<PeerMessage> messages { largeState() };
    // Encodes two packets, since sending the same one twice would be dropped as replayed.
    const auto nextFrame = [&] {
        const auto packet = codec.encode(b.address, 1, currentPeerVersion, messages).front().bytes;
        std::string frame;
        for (size_t i = 0; i < 4; ++i)
            frame.push_back(static_cast<char>(static_cast<uint8_t>(packet.size() >> (8 * i))));
        return frame + packet;
    };
    const auto first = nextFrame();
    const auto second = nextFrame();
    asio::ip::tcp::socket socket(context);
    const auto port = static_cast<uint16_t>(std::stoi(b.address.substr(b.address.rfind(':') + 1)));
    socket.connect({ asio::ip::address_v4::loopback(), port });
    asio::write(socket, asio::buffer(first));
    asio::write(socket, asio::buffer(second.data(), second.size() - 1));
    ASSERT_TRUE(runUntil([&] { return b.received.size() == 1; }));
    // Allows the second frame to be read up to its last byte.
    for (int i = 0; i < 20; ++i)
        context.run_one_for(5ms);
    b.links->close();
    asio::write(socket, asio::buffer(second.data() + second.size() - 1, 1));
    for (int i = 0; i < 20; ++i)
        context.run_one_for(5ms);
    EXPECT_EQ(b.received.size(), 1U);
}

TEST_F(PeerLinksTest, AnUnreachablePeerLosesOnlyItsOwnMessages)
{
    a.links->send({ { .message = largeState(), .address = "127.0.0.1:1" },
                      { .message = Probe {}, .address = "127.0.0.1:1" },
                      { .to = DaemonId("unknown"), .message = Probe {} } },
        1);
    ASSERT_TRUE(runUntil([&] { return a.links->counters().notSent == 2; }));
    a.links->send({ { .to = DaemonId("b"), .message = Probe {} } }, 1);
    EXPECT_TRUE(runUntil([&] { return b.received.size() == 1; }));
}

TEST_F(PeerLinksTest, GarbageIsCountedAndDropped)
{
    asio::ip::udp::socket socket(context, { asio::ip::address_v4::loopback(), 0 });
    const auto port = static_cast<uint16_t>(std::stoi(b.address.substr(b.address.rfind(':') + 1)));
    const asio::ip::udp::endpoint target(asio::ip::address_v4::loopback(), port);
    const std::string garbage = "GET / HTTP/1.1";
    for (int i = 0; i < 100; ++i)
        socket.send_to(asio::buffer(garbage), target);
    const auto malformed = static_cast<size_t>(DropCause::Malformed);
    ASSERT_TRUE(runUntil([&] { return b.links->counters().dropped[malformed] == 100; }));
    EXPECT_TRUE(b.received.empty());
}

TEST_F(PeerLinksTest, TheBudgetDefersDigestsButNotProbes)
{
    TestPeer c(context, "c", 1);
    c.addMember(b);
    c.links->open().value();
    const DigestGossip gossip { .digests = std::vector<DataCentreDigest>(10, { .region = RegionId("x") }) };
    // The burst admits the first digests; at 1 byte/s the debt then blocks the rest for the duration of the
    // test.
    for (int i = 0; i < 40; ++i)
        c.links->send({ { .to = DaemonId("b"), .message = gossip } }, 1);
    c.links->send({ { .to = DaemonId("b"), .message = Probe { .sequence = 9 } } }, 1);
    ASSERT_TRUE(runUntil(
        [&] { return !b.received.empty() && b.received.back() == PeerMessage(Probe { .sequence = 9 }); }));
    EXPECT_LT(b.received.size(), 41U);
    EXPECT_GT(c.links->counters().classes[0].deferred, 0U);
}

} // namespace
} // namespace lentilbay
