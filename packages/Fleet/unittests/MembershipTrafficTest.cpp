// What membership costs on the wire: bytes a second of each daemon, counted with the real codec.
#include "../../Control/unittests/MemberNetwork.h"

#include "lentilbay/Fleet/PeerCodec.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr double udpAndIpBytes = 28;
constexpr double seconds = 60;

struct Traffic {
    double greatest = 0;
    double mean = 0;
};

/// Bytes a second that a daemon sends at rest, over all daemons.
Traffic trafficOf(int regions, int dataCentresPerRegion, int daemonsPerDataCentre)
{
    MemberNetwork network({ .seed = 21, .mostDelay = 5ms });
    std::map<DaemonId, double> bytes;
    std::map<DaemonId, std::unique_ptr<PeerCodec>> codecs;
    bool counting = false;
    network.onSend = [&](const MemberNetwork::Node& from, const OutgoingMessage& message) {
        if (!counting)
            return;
        auto& codec = codecs[from.blackboard.self];
        if (!codec)
            codec = std::make_unique<PeerCodec>(PeerCodecOptions { .cluster = "test",
                .self = from.blackboard.self,
                .address = "10.0.0.1:7000",
                .keys = { { .id = 1, .secret = std::string(32, 'k') } } });
        const std::vector<PeerMessage> one { message.message };
        for (const auto& it : codec->encode("10.0.0.2:7000", 1, currentPeerVersion, one))
            bytes[from.blackboard.self] += static_cast<double>(it.bytes.size()) + udpAndIpBytes;
    };
    for (int r = 0; r < regions; ++r) {
        for (int d = 0; d < dataCentresPerRegion; ++d) {
            for (int n = 0; n < daemonsPerDataCentre; ++n)
                network.start(fmt::format("host-{}-{}-{}", r, d, n), fmt::format("region-{}", r),
                    fmt::format("dc-{}-{}", r, d), { "host-0-0-0", fmt::format("host-{}-0-0", r) });
        }
    }
    network.run(60s);
    counting = true;
    network.run(fromSeconds(seconds));
    Traffic out;
    for (const auto& [id, count] : bytes) {
        out.greatest = std::max(out.greatest, count / seconds);
        out.mean += count / seconds / static_cast<double>(bytes.size());
    }
    return out;
}

TEST(MembershipTraffic, OneDataCentreOfSixteen)
{
    const auto traffic = trafficOf(1, 1, 16);
    RecordProperty("meanBytesPerSecond", static_cast<int>(traffic.mean));
    RecordProperty("greatestBytesPerSecond", static_cast<int>(traffic.greatest));
    EXPECT_LT(traffic.greatest, 1500);
}

TEST(MembershipTraffic, TheWholeFleetOfTheLetter)
{
    // 26 data centres of 16 daemons; here 13 regions of two.
    const auto traffic = trafficOf(13, 2, 16);
    RecordProperty("meanBytesPerSecond", static_cast<int>(traffic.mean));
    RecordProperty("greatestBytesPerSecond", static_cast<int>(traffic.greatest));
    EXPECT_LT(traffic.greatest, 3000);
}

} // namespace
} // namespace lentilbay
