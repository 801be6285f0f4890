// Tests that only complete events are relayed, each once, for any segmentation of the input.
#include "lentilbay/Edge/EventSplitter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace lentilbay::edge {
namespace {

std::string eventOf(int id)
{
    return "id: " + std::to_string(id) + "\ndata: x" + std::to_string(id) + "\n\n";
}

RC_GTEST_PROP(EventSplitter, RelaysTheSameBytesHoweverTheyAreCut, ())
{
    std::string stream;
    for (int id = 1; id <= 5; ++id)
        stream += eventOf(id);
    EventSplitter splitter;
    std::string relayed;
    size_t events = 0;
    for (size_t at = 0; at < stream.size();) {
        const auto n = *rc::gen::inRange<size_t>(1, 9);
        auto piece = splitter.feed(std::string_view(stream).substr(at, n));
        RC_ASSERT(piece.bytes.empty() || piece.bytes.ends_with("\n\n"));
        relayed += piece.bytes;
        events += piece.events;
        at += n;
    }
    RC_ASSERT(relayed == stream);
    RC_ASSERT(events == 5U);
    RC_ASSERT(splitter.lastId() == "5");
    RC_ASSERT(!splitter.hasPartialEvent());
}

TEST(EventSplitter, HoldsBackAnIncompleteEvent)
{
    EventSplitter splitter;
    EXPECT_EQ(splitter.feed(eventOf(1) + "id: 2\nda").bytes, eventOf(1));
    EXPECT_TRUE(splitter.hasPartialEvent());
    EXPECT_EQ(splitter.lastId(), "1");
    splitter.beginAnswer();
    EXPECT_EQ(splitter.feed(eventOf(2)).bytes, eventOf(2));
}

TEST(EventSplitter, DropsEventsThatWereRelayed)
{
    EventSplitter splitter;
    splitter.feed(eventOf(9) + eventOf(10));
    EXPECT_EQ(splitter.feed(eventOf(10) + eventOf(11)).bytes, eventOf(11));
}

TEST(EventSplitter, ReadsCarriageReturnsAndEventsWithoutId)
{
    EventSplitter splitter;
    const std::string text = "x-weight-versions: 2\r\nid:4\r\ndata: a\r\n\r\n";
    EXPECT_EQ(splitter.feed(text).bytes, text);
    EXPECT_EQ(splitter.lastId(), "4");
    EXPECT_EQ(splitter.feed("data: b\n\n").events, 1U);
    EXPECT_EQ(splitter.lastId(), "4");
}

TEST(EventSplitter, ErrorEventInAResumedStreamWasRelayed)
{
    EventSplitter splitter;
    splitter.feed(eventOf(1));
    splitter.beginAnswer();
    const std::string error = "event: error\ndata: overloaded\n\n";
    const auto piece = splitter.feed(": keep-alive\n\n" + eventOf(2) + error + eventOf(3));
    EXPECT_EQ(piece.bytes, ": keep-alive\n\n" + eventOf(2));
    EXPECT_TRUE(piece.isInterrupted);
    EXPECT_EQ(splitter.lastId(), "2");
    splitter.beginAnswer();
    const auto rest = splitter.feed(eventOf(3));
    EXPECT_EQ(rest.bytes, eventOf(3));
    EXPECT_FALSE(rest.isInterrupted);
}

TEST(EventSplitter, FindsAnEventThatArrivesByteByByte)
{
    EventSplitter splitter;
    const std::string event = "id: 1\ndata: " + std::string(EventSplitter::maxEventBytes / 2, 'x') + "\n\n";
    size_t events = 0;
    for (const char c : event)
        events += splitter.feed({ &c, 1 }).events;
    EXPECT_EQ(events, 1U);
    EXPECT_FALSE(splitter.isTooLong());
    splitter.feed("data: " + std::string(EventSplitter::maxEventBytes, 'x'));
    EXPECT_TRUE(splitter.isTooLong());
}

} // namespace
} // namespace lentilbay::edge
