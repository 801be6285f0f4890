// Tests the encoding of datagrams and rows about rollouts.
#include "lentilbay/Edge/RolloutMessages.h"

#include "lentilbay/Edge/PeerHeartbeat.h"
#include "lentilbay/Edge/StreamDirectory.h"

#include <cmath>
#include <gtest/gtest.h>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

RolloutReportMessage sampleReport()
{
    return { .service = 11,
        .sentMicroseconds = -5,
        .orderAgeMicroseconds = 7'000'000,
        .orderContent = 12,
        .report = { .daemon = "edge-1",
            .incarnation = 13,
            .sequence = 300,
            .order = { .era = 2, .number = 400 },
            .phase = RolloutPhase::Switching,
            .requests = 500,
            .sentToTarget = 20,
            .formerInFlight = 3,
            .routes = { { .route = 21,
                .former = { .responses = 9, .bad = 1, .slow = 2 },
                .target = { .responses = 4 } } },
            .endpoints = { { .endpoint = 31, .counts = { .responses = 4, .bad = 0, .slow = 1 } } } } };
}

RolloutPermitMessage samplePermit()
{
    return { .service = 11,
        .incarnation = 13,
        .sentMicroseconds = 1'000'000,
        .daemon = "edge-2",
        .isStoreAway = true,
        .hasPermit = true,
        .permit = { .order = { .era = 2, .number = 400 },
            .phase = RolloutPhase::Canary,
            .share = 0.04,
            .rotation = 6 },
        .formerVersions = { 41, 42 } };
}

RolloutRow sampleRow()
{
    return { .order = { .id = { .era = 2, .number = 400 }, .service = {}, .version = "v2", .duration = 40s },
        .state = { .order = { .era = 2, .number = 400 },
            .phase = RolloutPhase::Complete,
            .elapsedAtWrite = 39s,
            .requests = 1000,
            .sentToTarget = 90,
            .responses = 89,
            .badResponses = 1,
            .slowResponses = 2,
            .formerResponses = 900,
            .formerBadResponses = 3,
            .formerSlowResponses = 4 },
        .begunMilliseconds = 123'456,
        .formerVersions = { 41 } };
}

template <class T> std::optional<T> decodedAs(std::string_view datagram)
{
    const auto decoded = outcomeOf<RolloutMessage>([&] { return decodeRolloutMessage(datagram); });
    const auto* message = std::get_if<RolloutMessage>(&decoded);
    const auto* out = message ? std::get_if<T>(message) : nullptr;
    return out ? std::optional(*out) : std::nullopt;
}

std::optional<RolloutRow> decodedRow(std::string_view value)
{
    const auto decoded = outcomeOf<RolloutRow>([&] { return decodeRolloutRow(value); });
    const auto* out = std::get_if<RolloutRow>(&decoded);
    return out ? std::optional(*out) : std::nullopt;
}

std::string hexOf(std::string_view bytes)
{
    std::string out;
    for (const char c : bytes) {
        char text[3];
        std::snprintf(text, sizeof text, "%02x", static_cast<unsigned char>(c));
        out += text;
    }
    return out;
}

// Guards against fields that are lost or mixed up on their way to the coordinator and back.
TEST(RolloutMessages, MessagesAndRowsAreReadBackUnchanged)
{
    EXPECT_EQ(decodedAs<RolloutReportMessage>(encodeRolloutMessage(sampleReport())), sampleReport());
    EXPECT_EQ(decodedAs<RolloutPermitMessage>(encodeRolloutMessage(samplePermit())), samplePermit());
    EXPECT_EQ(decodedRow(encodeRolloutRow(sampleRow())), sampleRow());
}

// Guards against a changed layout, which daemons of this revision could not read.
TEST(RolloutMessages, LayoutsAreThoseOfTheirRevision)
{
    EXPECT_EQ(hexOf(encodeRolloutMessage(samplePermit())),
        "010252424c0b000000000000000d0000000000000040420f000000000006656467652d320302900300bfc8ea8bfec8ab8a7b"
        "0602290000000000"
        "0000"
        "2a00000000000000");
    EXPECT_EQ(hexOf(encodeRolloutMessage(sampleReport())),
        "010152424c0b00000000000000fbffffffffffffff0c00000000000000c19fab0306656467652d310d000000000000000290"
        "03ac"
        "0201f4031403011500000000000000090102040000011f00000000000000040001");
    EXPECT_EQ(hexOf(encodeRolloutRow(sampleRow())),
        "010102763280b4891302900302c0afcc12e8075a59010284070304c0c407012900000000000000");
}

// Guards against datagrams of one kind that are applied as another one.
TEST(RolloutMessages, KindsOfDatagramsAreToldApart)
{
    const auto report = encodeRolloutMessage(sampleReport());
    EXPECT_TRUE(isRolloutMessage(report));
    EXPECT_FALSE(isStreamMessage(report));
    EXPECT_FALSE(isRolloutMessage(encodeStreamMessage({ .stream = 1 })));
    EXPECT_FALSE(isRolloutMessage(encodePeerHeartbeat({ .daemon = "d" })));
    EXPECT_FALSE(isRolloutMessage({}));
}

// Guards against a daemon that ends, or acts on what was never sent, because of a damaged datagram or row.
TEST(RolloutMessages, DamagedBytesAreNoMessages)
{
    for (const auto& whole : { encodeRolloutMessage(sampleReport()), encodeRolloutMessage(samplePermit()) }) {
        for (size_t n = 0; n < whole.size(); ++n) {
            const auto part = std::string_view(whole).substr(0, n);
            EXPECT_FALSE(decodedAs<RolloutReportMessage>(part) || decodedAs<RolloutPermitMessage>(part)) << n;
        }
        for (size_t i = 0; i < whole.size(); ++i) {
            auto changed = whole;
            changed[i] = static_cast<char>(0xff);
            // Any outcome but a crash is right.
            (void)outcomeOf<RolloutMessage>([&] { return decodeRolloutMessage(changed); });
        }
    }
    const auto row = encodeRolloutRow(sampleRow());
    for (size_t n = 0; n < row.size(); ++n)
        EXPECT_FALSE(decodedRow(std::string_view(row).substr(0, n))) << n;
    EXPECT_FALSE(decodedRow("\x01\x02" + row.substr(2))) << "another layout";
    auto permit = samplePermit();
    permit.permit.phase = static_cast<RolloutPhase>(4);
    EXPECT_FALSE(decodedAs<RolloutPermitMessage>(encodeRolloutMessage(permit))) << "an unknown phase";
}

// Guards against an order that seems to be over, times that overflow, and a version that gets all requests,
// because of a value that nobody can have sent.
TEST(RolloutMessages, ValuesOutOfTheirRangeAreRefused)
{
    constexpr int64_t longest = 1'000'000'000'000'000;
    for (const int64_t age : { longest + 1, INT64_MAX, INT64_MIN, int64_t(-2) }) {
        auto report = sampleReport();
        report.orderAgeMicroseconds = age;
        EXPECT_FALSE(decodedAs<RolloutReportMessage>(encodeRolloutMessage(report))) << age;
        auto row = sampleRow();
        row.state.elapsedAtWrite = Duration(age);
        EXPECT_FALSE(decodedRow(encodeRolloutRow(row))) << age;
        row = sampleRow();
        row.order.duration = Duration(age);
        EXPECT_FALSE(decodedRow(encodeRolloutRow(row))) << age;
    }
    for (const int64_t age : { int64_t(-1), int64_t(0), longest }) {
        auto report = sampleReport();
        report.orderAgeMicroseconds = age;
        EXPECT_EQ(decodedAs<RolloutReportMessage>(encodeRolloutMessage(report)), report);
    }
    for (const double share : { -0.01, 1.01, std::nan(""), HUGE_VAL }) {
        auto permit = samplePermit();
        permit.permit.share = share;
        EXPECT_FALSE(decodedAs<RolloutPermitMessage>(encodeRolloutMessage(permit))) << share;
    }
}

} // namespace
} // namespace lentilbay::edge
