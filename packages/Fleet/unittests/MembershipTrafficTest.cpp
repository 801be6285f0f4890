// Network traffic of the membership protocol: bytes per second sent by each daemon, measured with the real
// codec.
#include "../../Control/unittests/MemberNetwork.h"

#include "lentilbay/Fleet/PeerCodec.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

using namespace std::chrono_literals;

constexpr double udpAndIpBytes = 28;
constexpr double seconds = 60;

struct Traffic {
    double maximum = 0;
    double mean = 0;
};

/// Bytes per second that a daemon sends in steady state: maximum and mean over all daemons.
Traffic measureTraffic(int regions, int dataCentresPerRegion, int daemonsPerDataCentre)
{
    MemberNetwork network({ .seed = 21, .maxDelay = 5ms });
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
        const std::vector<PeerMessage> single { message.message };
        for (const auto& it : codec->encode("10.0.0.2:7000", 1, currentPeerVersion, single))
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
        out.maximum = std::max(out.maximum, count / seconds);
        out.mean += count / seconds / static_cast<double>(bytes.size());
    }
    return out;
}

TEST(MembershipTraffic, OneDataCentreOfSixteen)
{
    const auto traffic = measureTraffic(1, 1, 16);
    RecordProperty("meanBytesPerSecond", static_cast<int>(traffic.mean));
    RecordProperty("greatestBytesPerSecond", static_cast<int>(traffic.maximum));
    EXPECT_LT(traffic.maximum, 1500);
}

TEST(MembershipTraffic, TwentySixDataCentresOfSixteen)
{
    // 13 regions of two data centres.
    const auto traffic = measureTraffic(13, 2, 16);
    RecordProperty("meanBytesPerSecond", static_cast<int>(traffic.mean));
    RecordProperty("greatestBytesPerSecond", static_cast<int>(traffic.maximum));
    EXPECT_LT(traffic.maximum, 3000);
}

} // namespace
} // namespace lentilbay
