// The [peers] section: valid values are read, every error is reported, and no secret is printed.
#include "lentilbay/Fleet/PeerSettings.h"

#include <gtest/gtest.h>

namespace lentilbay {
namespace {

const std::string secret(64, 'a');

TEST(PeerSettings, ReadsTheSection)
{
    Diagnostics diagnostics;
    const auto document = parseIni("[peers]\naddress = 127.0.0.1:7000\nseeds = 127.0.0.1:7001, [::1]:7002\n"
                                   "cluster = north\nkeys = 2:"
            + secret + ", 1:" + secret + "\ninter_region_bytes_per_second = 4KiB\n",
        "x.ini", diagnostics);
    const auto settings = readPeerSettings(document, diagnostics);
    EXPECT_TRUE(diagnostics.empty());
    EXPECT_EQ(settings.address, "127.0.0.1:7000");
    EXPECT_EQ(settings.seeds, (std::vector<std::string> { "127.0.0.1:7001", "[::1]:7002" }));
    EXPECT_EQ(settings.cluster, "north");
    ASSERT_EQ(settings.keys.size(), 2U);
    EXPECT_EQ(settings.keys[0].id, 2);
    EXPECT_EQ(settings.keys[0].secret, std::string(32, '\xaa'));
    EXPECT_EQ(settings.bytesPerSecond[2], 4096U);
    const auto printed = printPeerSettings(settings);
    EXPECT_NE(printed.find("inter_region_bytes_per_second = 4096B"), std::string::npos);
    EXPECT_EQ(printed.find(secret), std::string::npos);
}

TEST(PeerSettings, WithoutTheSectionTheDaemonHasNoPeers)
{
    Diagnostics diagnostics;
    const auto document = parseIni("[other]\nx = 1\n", "x.ini", diagnostics);
    EXPECT_TRUE(readPeerSettings(document, diagnostics).address.empty());
    EXPECT_TRUE(diagnostics.empty());
}

TEST(PeerSettings, ReportsEveryErrorWithoutPrintingKeys)
{
    Diagnostics diagnostics;
    const auto document = parseIni("[peers]\naddress = host:7000\nseeds = 127.0.0.1:0, 127.0.0.1\n"
                                   "keys = 1:secretsecret, 256:"
            + secret + "\nport = 1\n",
        "x.ini", diagnostics);
    readPeerSettings(document, diagnostics);
    // The address, two seeds, two malformed keys, no valid key, and an unknown setting.
    EXPECT_EQ(diagnostics.size(), 7U);
    for (const auto& it : diagnostics) {
        EXPECT_EQ(printed(it).find("secretsecret"), std::string::npos);
        EXPECT_EQ(printed(it).find(secret), std::string::npos);
    }
}

} // namespace
} // namespace lentilbay
