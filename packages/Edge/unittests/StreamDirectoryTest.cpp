// Tests how daemons find the origin of a stream, with fleets of directories and daemons that are lost.
#include "lentilbay/Edge/StreamDirectory.h"

#include <array>
#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>
#include <set>

namespace lentilbay::edge {
namespace {

using namespace std::chrono_literals;

const StreamOrigin origin { .service = 5, .version = 6 };

TimePoint at(Duration since) { return TimePoint {} + 1h + since; }

/// Directories whose messages arrive unless their sender or receiver is lost.
class Fleet {
public:
    explicit Fleet(size_t n)
    {
        std::vector<std::string> names;
        for (size_t i = 0; i < n; ++i)
            names.push_back("d" + std::to_string(i));
        for (const auto& name : names) {
            auto others = names;
            std::erase(others, name);
            auto& it = m_daemons[name];
            it.setDaemons(name, others);
            it.setSender([this, name](const auto& to, const auto& message) {
                m_sent.push_back({ name, to, message });
            });
        }
    }

    StreamDirectory& operator[](size_t i) { return m_daemons.at("d" + std::to_string(i)); }
    void lose(size_t i) { m_lost.insert("d" + std::to_string(i)); }

    /// Records a stream and returns the number of messages sent for it.
    size_t record(size_t daemon, uint64_t stream, bool isShared)
    {
        (*this)[daemon].record(stream, origin, isShared, at(0s));
        const size_t n = m_sent.size();
        deliver();
        return n;
    }

    /// The origin that a daemon finds, with the time that it takes.
    std::optional<StreamOrigin> find(size_t daemon, uint64_t stream, TimePoint now)
    {
        if (const auto known = (*this)[daemon].known(stream))
            return known;
        std::optional<std::optional<StreamOrigin>> out;
        (*this)[daemon].find(
            stream, origin.service, [&](const auto& it) { out = it; }, now);
        for (auto t = now; !out && t < now + 1s; t += 40ms) {
            deliver();
            (*this)[daemon].poll(t);
        }
        EXPECT_TRUE(out) << "every query ends";
        return out.value_or(std::nullopt);
    }

private:
    struct Sent {
        std::string from;
        std::string to;
        StreamMessage message;
    };

    void deliver()
    {
        while (!m_sent.empty()) {
            const auto [from, to, message] = m_sent.front();
            m_sent.pop_front();
            if (m_lost.contains(from) || m_lost.contains(to))
                continue;
            auto& receiver = m_daemons.at(to);
            if (message.kind != StreamMessage::Kind::Query)
                receiver.apply(message, at(0s));
            else
                m_sent.push_back({ to, from,
                    { .kind = StreamMessage::Kind::Answer,
                        .stream = message.stream,
                        .origin = receiver.known(message.stream) } });
        }
    }

    std::map<std::string, StreamDirectory> m_daemons;
    std::set<std::string> m_lost;
    std::deque<Sent> m_sent;
};

TEST(StreamDirectory, FindsTheOriginAfterItsDaemonWasKilled)
{
    for (const size_t n : { 2, 3, 8, 88 }) {
        Fleet fleet(n);
        EXPECT_LE(fleet.record(0, 7, true), 3U) << "the cost does not grow with the fleet";
        fleet.lose(0);
        for (size_t i = 1; i < n; ++i)
            EXPECT_EQ(fleet.find(i, 7, at(1s)), origin) << n;
    }
}

TEST(StreamDirectory, ThreeOfEightDaemonsThatAreKilledTakeFewOriginsWithThem)
{
    Fleet fleet(8);
    constexpr uint64_t streams = 400;
    for (uint64_t i = 0; i < streams; ++i)
        fleet.record(i % 3, i, true);
    for (size_t i = 0; i < 3; ++i)
        fleet.lose(i);
    size_t found = 0;
    for (uint64_t i = 0; i < streams; ++i)
        found += fleet.find(3 + i % 5, i, at(1s)).has_value();
    EXPECT_GT(found, streams * 9 / 10);
}

TEST(StreamDirectory, OriginThatWasNotSharedIsFoundAtItsDaemon)
{
    Fleet fleet(8);
    EXPECT_EQ(fleet.record(0, 7, false), 0U);
    EXPECT_EQ(fleet.find(5, 7, at(1s)), origin);
}

TEST(StreamDirectory, UnknownOriginStaysUnknown)
{
    Fleet fleet(8);
    fleet.record(0, 7, true);
    EXPECT_FALSE(fleet.find(1, 8, at(1s)));
    EXPECT_EQ(fleet[1].openQueries(), 0U);
    Fleet alone(1);
    EXPECT_FALSE(alone.find(0, 7, at(1s)));
}

TEST(StreamDirectory, OriginsAreDroppedAndBounded)
{
    Fleet fleet(1);
    for (uint64_t i = 0; i < 100'000; ++i)
        fleet[0].record(i, origin, false, at(0s));
    size_t known = 0;
    for (uint64_t i = 0; i < 100'000; ++i)
        known += fleet[0].known(i).has_value();
    EXPECT_LE(known, 2U * 16'384);
    EXPECT_TRUE(fleet[0].known(99'999));
}

TEST(StreamMessage, FlagOfAnyValueIsDecoded)
{
    auto datagram
        = encodeStreamMessage({ .kind = StreamMessage::Kind::Answer, .stream = 3, .origin = origin });
    // The byte order, the magic number and the flags come first.
    datagram[1 + sizeof(uint32_t)] = '\xec';
    const auto decoded = outcomeOf<StreamMessage>([&] { return decodeStreamMessage(datagram); });
    ASSERT_TRUE(std::holds_alternative<StreamMessage>(decoded));
    EXPECT_FALSE(std::get<StreamMessage>(decoded).origin);
}

RC_GTEST_PROP(StreamMessage, DecodesAnyInputWithoutThrowing, (const std::string& bytes))
{
    outcomeOf<StreamMessage>([&] { return decodeStreamMessage(bytes); });
    const StreamMessage message { .kind = StreamMessage::Kind::Answer, .stream = 3, .origin = origin };
    const auto datagram = encodeStreamMessage(message);
    RC_ASSERT(isStreamMessage(datagram));
    RC_ASSERT(std::get<StreamMessage>(outcomeOf<StreamMessage>([&] { return decodeStreamMessage(datagram); }))
        == message);
    for (size_t n = 0; n < datagram.size(); ++n)
        RC_ASSERT(std::holds_alternative<Failure>(
            outcomeOf<StreamMessage>([&] { return decodeStreamMessage(datagram.substr(0, n)); })));
}

TEST(StreamMessage, EarlierBuildsAndThisOneReadEachOther)
{
    // Datagrams as 4a08036 and c0e4a65 wrote them, in hexadecimal digits.
    struct Recorded {
        WireRevision revision;
        std::string_view answer;
        std::string_view query;
    };
    constexpr std::array recorded {
        Recorded { WireRevision::Base,
            "010154424c02030000000000000000000000000000000004000000000000000500000000000000",
            "010154424c010300000000000000040000000000000001" },
        Recorded { WireRevision::RejectionLimits,
            "010254424c01020300000000000000000000000000000004000000000000000500000000000000",
            "010254424c000103000000000000000400000000000000" },
    };
    const StreamMessage answer { .kind = StreamMessage::Kind::Answer,
        .stream = 3,
        .origin = StreamOrigin { .service = 4, .version = 5 } };
    const StreamMessage query { .kind = StreamMessage::Kind::Query, .stream = 3, .service = 4 };
    const auto digitsOf = [](std::string_view bytes) {
        std::string out;
        for (const char it : bytes)
            out += fmt::format("{:02x}", static_cast<uint8_t>(it));
        return out;
    };
    for (const auto& it : recorded) {
        EXPECT_EQ(digitsOf(encodeStreamMessage(answer, it.revision)), it.answer);
        EXPECT_EQ(digitsOf(encodeStreamMessage(query, it.revision)), it.query);
        for (const auto& message : { answer, query }) {
            const auto datagram = encodeStreamMessage(message, it.revision);
            EXPECT_TRUE(isStreamMessage(datagram));
            EXPECT_LE(revisionOfStreamMessage(datagram), it.revision);
            EXPECT_EQ(std::get<StreamMessage>(
                          outcomeOf<StreamMessage>([&] { return decodeStreamMessage(datagram); })),
                message);
        }
    }
}

} // namespace
} // namespace lentilbay::edge
