// Expectations are met or named with their line, and breaches are never overlooked.
#include "Judge.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

using namespace lentilbay;
using namespace lentilbay::scenario;
using namespace std::chrono_literals;
using testing::ElementsAre;
using testing::HasSubstr;
using testing::IsEmpty;

namespace {

CallerRecord answered(const std::string& id, const std::string& service, Duration time)
{
    return { .id = RequestId(id),
        .tier = TierId("desk"),
        .rank = 4,
        .service = ServiceId(service),
        .sentAt = TimePoint(1h),
        .endedAt = TimePoint(1h) + time,
        .end = CallerEnd::Answered,
        .whole = true,
        .own = true };
}

RunRecords run()
{
    RunRecords records;
    records.callers = { answered("a", "lot-checks", 10ms), answered("b", "grade-summaries", 30ms) };
    records.callers.push_back(answered("c", "lot-checks", 5ms));
    records.callers.back().end = CallerEnd::Refused;
    records.callers.back().code = ResultCode::RequestRateLimit;
    records.dispatches = { { .id = RequestId("a"), .endpoint = EndpointId("app"), .prefillComputed = 10 } };
    return records;
}

std::vector<std::string> judged(const Expectation& expectation)
{
    return judge({ .name = "s.lua", .expectations = { expectation } }, run());
}

} // namespace

TEST(Judge, findsNothingWhereAllIsMet)
{
    using Kind = Expectation::Kind;
    EXPECT_THAT(judged({ .kind = Kind::Goodput, .subject = "desk", .least = 0.6, .most = 0.7 }), IsEmpty());
    EXPECT_THAT(judged({ .subject = "refused", .least = 1, .most = 1 }), IsEmpty());
    EXPECT_THAT(judged({ .subject = "LB-2001", .other = "lot-checks", .least = 1 }), IsEmpty());
    EXPECT_THAT(judged({ .subject = "answered", .other = "lot-checks", .most = 1 }), IsEmpty());
    EXPECT_THAT(judged({ .kind = Kind::Dispatches, .subject = "app", .least = 1, .most = 1 }), IsEmpty());
    EXPECT_THAT(judged({ .kind = Kind::WastedPrefill, .most = 0 }), IsEmpty());
    EXPECT_THAT(
        judged({ .kind = Kind::Sooner, .subject = "lot-checks", .other = "grade-summaries" }), IsEmpty());
}

TEST(Judge, namesWhatIsNotMet)
{
    using Kind = Expectation::Kind;
    EXPECT_THAT(judged({ .kind = Kind::Goodput, .subject = "desk", .least = 0.9, .line = 7 }),
        ElementsAre("s.lua:7: desk: 0.6667, expected at least 0.9"));
    EXPECT_THAT(judged({ .subject = "lost", .least = 1, .most = 2 }),
        ElementsAre("s.lua:0: lost: 0, expected at least 1 and at most 2"));
    EXPECT_THAT(judged({ .kind = Kind::Sooner, .subject = "grade-summaries", .other = "lot-checks" }),
        ElementsAre(HasSubstr("expected sooner than lot-checks")));
    EXPECT_THAT(judged({ .kind = Kind::Goodput, .subject = "proof", .least = 0 }),
        ElementsAre(HasSubstr("no request of tier proof")));
    EXPECT_THAT(judged({ .kind = Kind::Sooner, .subject = "none", .other = "lot-checks" }),
        ElementsAre(HasSubstr("no request of none")));
}

TEST(Judge, reportsBreachesWithoutBeingAsked)
{
    auto records = run();
    records.dispatches.push_back(records.dispatches.front());
    EXPECT_THAT(judge({ .name = "s.lua" }, records), ElementsAre(HasSubstr("dispatched-at-most-once: a")));
}
